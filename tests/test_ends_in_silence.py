"""Ends of jobs while the store is silent.

The pattern: a job ends in time while the store answers nobody. Its end cannot be
stored, so no caller may be told of it yet: whoever knows it may be lost. Its worker
keeps it, and callers are told soon after the store is back.
"""

import msgspec
import pytest
from eliot import add_destinations, remove_destination
from graph_world import make_graph_world, set_store_silent
from outside_view import OutsideView

from samphiredeal.model import answers, runs
from samphiredeal.platform.memory_worker import Work
from samphiredeal.wire.messages import Ask, AskReply

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
ENTRIES = ("e0", "e1", "e2")
TASK = "a1.0.0.0"
# From the return of the store to the last entry that tells an end.
MAX_TOLD_AFTER_S = 0.6
# The same after an outage of under 2.6 s.
MAX_TOLD_AFTER_SHORT_S = 1.6


def make_world_with_end(silent=None, steps=(STEP,)):
    """Return a world in which the task of a1 ends while the store is silent.

    `silent` are the entries that do not hear it, by default all nodes.
    """
    world = make_graph_world()
    world.submit("e0", "a1", list(steps))
    world.run_until(lambda: world.event_log.starts(TASK), 5.0)
    set_store_silent(world, True, silent and silent(world))
    world.run_until(lambda: len(world.event_log.events) > 1, 3.0)
    return world


def shown_states(world, entries=ENTRIES, job_id="a1"):
    return [world.nodes[name].process.view.state_of(job_id) for name in entries]


def stored_state(world, job_id="a1"):
    """Return the state that the store's row of a job's progress holds."""
    row = world.table.rows.get(f"progress/{job_id}")
    return "queued" if row is None else row.value.decode()


def other_entries(world, scheduler):
    return [name for name in ENTRIES if name != scheduler]


# Guards against an end that is told from memory and forgotten (inc-twice).
def test_end_in_a_silent_store_is_told_once_it_is_stored():
    world = make_world_with_end()
    view = OutsideView(world, ["a1"])
    world.run(3.0)
    assert view.told
    assert view.first_told("a1", "completed") is None
    set_store_silent(world, False)
    world.run(MAX_TOLD_AFTER_S)
    assert shown_states(world) == ["completed"] * 3
    assert view.violations() == []
    assert len(world.event_log.starts(TASK)) == 1


# A write that was sent into a short outage is awaited for up to 1.4 s.
@pytest.mark.parametrize("silence_s", [0.6, 1.2, 1.6, 2.0, 2.4])
@pytest.mark.parametrize("end_after_s", [0.05, 0.3, 0.55])
def test_end_in_a_short_outage_is_told_soon_after_it(silence_s, end_after_s):
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.event_log.starts(TASK), 5.0)
    world.run(1.0 - end_after_s)
    set_store_silent(world, True)
    world.run(silence_s)
    assert len(world.event_log.events) > 1
    set_store_silent(world, False)
    world.run(MAX_TOLD_AFTER_SHORT_S)
    assert shown_states(world) == ["completed"] * 3


# Guards against an end that one entry tells because it alone does not hear the store,
# or because another one does.
@pytest.mark.parametrize("deaf", [(0,), (1,), (0, 1), (1, 2)])
def test_entry_tells_an_end_only_after_the_store_has_it(deaf):
    def silent(world):
        scheduler = world.scheduler()
        names = [scheduler, *other_entries(world, scheduler)]
        return [names[number] for number in deaf]

    world = make_world_with_end(silent)
    for _ in range(120):
        world.run(0.05)
        if "completed" not in stored_state(world):
            assert "completed" not in shown_states(world)
    set_store_silent(world, False)
    world.run(2.0)
    assert shown_states(world) == ["completed"] * 3
    assert len(world.event_log.starts(TASK)) == 1


def test_caller_who_asks_at_the_return_is_told_once_the_end_is_stored():
    world = make_world_with_end()
    world.run(3.0)
    set_store_silent(world, False)
    world.run(0.3)
    assert world.state("e1", "a1") == "completed"


# The worker keeps its end until it is recorded, so the loss of the scheduler costs
# nothing; without the worker the task has to run again, once.
@pytest.mark.parametrize(("is_worker_lost", "starts"), [(False, 1), (True, 2)])
def test_end_in_the_silence_after_a_loss_of_its_scheduler(is_worker_lost, starts):
    world = make_world_with_end()
    world.run(0.6)
    scheduler = world.scheduler()
    worker = world.event_log.starts(TASK)[0].worker
    world.kill(scheduler)
    if is_worker_lost:
        world.kill(worker)
        world.lose_worker(worker)
    view = OutsideView(world, ["a1"])
    world.run(2.0)
    set_store_silent(world, False)
    world.run(20.0)
    assert world.scheduler() in other_entries(world, scheduler)
    assert view.violations() == []
    assert view.unfinished() == []
    assert len(world.event_log.starts(TASK)) == starts


def test_failure_in_the_silence_is_told_once_it_is_stored():
    world = make_graph_world()
    world.work_of[TASK] = Work(0.3, runs.FAILED)
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: len(world.event_log.starts(TASK)) == 2, 5.0)
    set_store_silent(world, True)
    world.run(1.5)
    assert "failed" not in shown_states(world)
    set_store_silent(world, False)
    world.run(MAX_TOLD_AFTER_S)
    assert shown_states(world) == ["failed"] * 3


# The next step starts only after its placement is stored: a scheduler that takes over
# has to know where a task may run.
def test_next_step_waits_for_the_store():
    steps = [STEP, {**STEP, "after": [0]}]
    world = make_world_with_end(steps=steps)
    world.run(3.0)
    assert not world.event_log.starts("a1.0.1.0")
    assert "completed" not in shown_states(world)
    set_store_silent(world, False)
    world.run(0.6)
    assert len(world.event_log.starts("a1.0.1.0")) == 1


def test_job_that_ended_is_not_counted_as_waiting_once_its_end_is_stored():
    world = make_world_with_end()
    set_store_silent(world, False)
    world.run(MAX_TOLD_AFTER_S)
    for entry in ENTRIES:
        assert world.nodes[entry].process.view.count_waiting("normal") == 0


# Guards against a scheduler of an earlier build that tells ends from memory beside
# entries of this one: it shows them if one entry holds them and none refuses, and takes
# an entry that does not reply for lost (inc-twice, in a rolling upgrade).
@pytest.mark.parametrize("document", [b"", b"\xff" * 40, b"\x93\x09\x81\xa2a1\xa9"])
def test_offer_of_unstored_ends_by_an_earlier_build_is_refused(document):
    logged = []
    world = make_graph_world()
    world.submit("e0", "a1", [{**STEP, "estimated-ms": 9000}])
    opened = world.network.connect(world.nodes["e1"], world.address_of("e2"))
    replies = []

    def send(link):
        link.on_message = lambda _link, message: replies.append(message)
        link.send(Ask("e1", "ends", document))

    add_destinations(logged.append)
    opened.addCallback(send)
    world.run(0.5)
    remove_destination(logged.append)
    (reply,) = replies
    assert isinstance(reply, AskReply)
    # The response of that build: (is_accepted, reason).
    assert msgspec.msgpack.decode(reply.document) == [False, "unknown topic 'ends'"]
    assert any(m.get("message_type") == "ask_refused" for m in logged)
    assert world.state("e2", "a1") == "running"
    assert world.submit("e2", "a2", [STEP]).kind == answers.ACCEPTED
