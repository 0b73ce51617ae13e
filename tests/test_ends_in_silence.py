"""Ends of jobs while the store is silent.

The pattern: a job ends in time while the store answers nobody. Its end cannot be
stored, but its worker lists it, and the scheduler knows it. Callers who ask must be
told of it as long as no single loss can make it forgotten, and no task may run again.
"""

from typing import NamedTuple

import msgspec
import pytest
from graph_builders import make_record
from graph_world import make_graph_world, set_store_silent
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from samphiredeal.entry.graphs import unstored_ends
from samphiredeal.entry.graphs.unstored_ends import Offer, Response, UnstoredEnds
from samphiredeal.entry.graphs.work import EntryRecord, Versioned, WorkView
from samphiredeal.model import answers, runs
from samphiredeal.platform.memory_worker import Work
from samphiredeal.wire.messages import Ask, AskReply

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
ENTRIES = ("e0", "e1", "e2")
TASK = "a1.0.0.0"


class Holder(NamedTuple):
    """The part of an entry in the election of the scheduler."""

    epoch: int


class ReplyingLink:
    """A link to an entry that accepts all offers, or is silent."""

    def __init__(self, is_silent):
        self._is_silent = is_silent

    def send(self, message):
        if not self._is_silent:
            response = msgspec.msgpack.encode(Response(is_accepted=True))
            self.on_message(self, AskReply(message.query_id, response))

    def close(self):
        pass


def make_world_with_end(silent=None, entries=3, steps=(STEP,)):
    """Return a world in which the task of a1 ends while the store is silent.

    `silent` are the entries that do not hear it, by default all nodes.
    """
    world = make_graph_world(entries=entries)
    world.submit("e0", "a1", list(steps))
    world.run_until(lambda: world.event_log.starts(TASK), 5.0)
    set_store_silent(world, True, silent and silent(world))
    world.run_until(lambda: len(world.event_log.events) > 1, 3.0)
    return world


def shown_states(world, entries=ENTRIES, job_id="a1"):
    return [world.nodes[name].process.view.state_of(job_id) for name in entries]


def other_entries(world, scheduler):
    return [name for name in ENTRIES if name != scheduler]


def offer_to(world, entry, offer):
    """Send a document to an entry as the offer of another one; return its reply."""
    replies = []
    node = next(
        name for name in ENTRIES if name != entry and not world.nodes[name].clock.dead
    )
    opened = world.network.connect(world.nodes[node], world.address_of(entry))

    def send(link):
        link.on_message = lambda _link, message: replies.append(message)
        link.on_lost = lambda _link: None
        document = offer if isinstance(offer, bytes) else msgspec.msgpack.encode(offer)
        link.send(Ask(node, unstored_ends.TOPIC, document))

    opened.addCallback(send)
    world.run(0.2)
    assert isinstance(replies[0], AskReply)
    return msgspec.msgpack.decode(replies[0].document, type=Response)


# An urgent job that had ended in time was told 3.5 s later, when the store was back,
# and counted as late (inc-short, fifth report).
def test_end_in_a_silent_store_is_shown_by_all_entries():
    world = make_world_with_end()
    world.run(0.6)
    assert shown_states(world) == ["completed"] * 3
    for entry in ENTRIES:
        began_at = world.clock.seconds()
        assert world.state(entry, "a1") == "completed"
        assert world.clock.seconds() - began_at <= 0.6


def test_caller_who_asks_as_the_job_ends_is_told_once_the_end_is_held():
    world = make_world_with_end()
    world.run(0.45)
    answer = world.wait_for_answer(
        world.call("e1", answers.GET_STATE, "/normal/a1", wait_s=1.0)
    )
    assert answer.state == "completed"


def test_end_that_was_shown_is_stored_when_the_store_is_back():
    world = make_world_with_end()
    world.run(3.0)
    set_store_silent(world, False)
    world.run(0.6)
    for entry in ENTRIES:
        assert world.nodes[entry].process.view.is_end_stored("a1")
    assert len(world.event_log.starts(TASK)) == 1


# Nothing that was shown is forgotten with the scheduler, nor with the worker as well.
@pytest.mark.parametrize("is_worker_lost", [False, True])
def test_end_that_was_shown_outlasts_its_scheduler(is_worker_lost):
    world = make_world_with_end()
    world.run(0.6)
    scheduler = world.scheduler()
    worker = world.event_log.starts(TASK)[0].worker
    world.kill(scheduler)
    if is_worker_lost:
        world.kill(worker)
        world.workers[worker].faults.down = True
    others = other_entries(world, scheduler)
    world.run(2.0)
    assert shown_states(world, others) == ["completed"] * 2
    set_store_silent(world, False)
    for _ in range(200):
        world.run(0.1)
        assert shown_states(world, others) == ["completed"] * 2
    assert world.scheduler() in others
    assert len(world.event_log.starts(TASK)) == 1


# The others may elect another scheduler, which may not reach the worker and start its
# task again.
def test_scheduler_that_alone_does_not_hear_the_store_shows_nothing():
    world = make_world_with_end(lambda world: [world.scheduler()])
    view = world.nodes[world.scheduler()].process.view
    for _ in range(60):
        world.run(0.05)
        assert not view._shown_ends


def test_end_is_not_shown_while_an_entry_hears_the_store():
    world = make_world_with_end(
        lambda world: (
            [name for name in world.nodes if name != "e2"]
            if world.scheduler() != "e2"
            else [name for name in world.nodes if name != "e1"]
        )
    )
    for _ in range(20):
        world.run(0.05)
        for name in ENTRIES:
            assert not world.nodes[name].process.view._shown_ends


def test_end_that_only_the_scheduler_holds_is_not_shown():
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.event_log.starts(TASK), 5.0)
    scheduler = world.scheduler()
    for other in other_entries(world, scheduler):
        world.network.cut(scheduler, other)
    set_store_silent(world, True)
    world.run(3.0)
    assert "completed" not in shown_states(world)


# A scheduler that was paused may have been replaced meanwhile.
@pytest.mark.parametrize(("pause_s", "is_shown"), [(0.3, True), (2.0, False)])
def test_offer_that_took_too_long_is_not_confirmed(pause_s, is_shown):
    clock, view = Clock(), WorkView(Clock(), lambda: None)
    view.jobs["a1"] = Versioned(make_record(), 1)
    for name in ENTRIES:
        view.entries[name] = Versioned(EntryRecord(name), 1)

    def connect(address):
        return succeed(ReplyingLink(is_silent=address == "e2"))

    ends = UnstoredEnds(clock, "e0", connect, view, Holder(1), None)
    ends.offer({"a1": "completed"})
    clock.advance(pause_s)
    assert (view.state_of("a1") == "completed") == is_shown


def test_failed_job_is_shown_as_failed():
    world = make_graph_world()
    world.work_of[TASK] = Work(0.3, runs.FAILED)
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: len(world.event_log.starts(TASK)) == 2, 5.0)
    set_store_silent(world, True)
    world.run(1.5)
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


def test_job_that_ended_is_not_counted_as_waiting():
    world = make_world_with_end()
    world.run(0.6)
    assert world.nodes["e1"].process.view.count_waiting("normal") == 0


@pytest.mark.parametrize(
    ("offer", "reason"),
    [
        (b"\xff" * 40, "unreadable"),
        (Offer(0, {"a1": "completed"}), "epoch"),
        (Offer(2**70 // 2**10, {"a1": "completed"}), "epoch"),
        (Offer(9, {"a1": "running"}), "not a state"),
        (Offer(9, {"a1": "cancelled"}), "not a state"),
    ],
    ids=["bytes", "no epoch", "large epoch", "running", "cancelled"],
)
def test_malformed_offer_is_refused(offer, reason):
    world = make_graph_world()
    set_store_silent(world, True)
    world.run(1.0)
    response = offer_to(world, "e1", offer)
    assert not response.is_accepted
    assert reason in response.reason


def test_offer_of_an_older_scheduler_is_refused():
    world = make_graph_world()
    world.kill(world.scheduler())
    world.run(3.0)
    entry = world.scheduler()
    set_store_silent(world, True)
    world.run(1.0)
    other = next(
        name for name in ENTRIES if name != entry and not world.nodes[name].clock.dead
    )
    response = offer_to(world, other, Offer(1, {"a1": "completed"}))
    assert "epoch 2 is known here" in response.reason


def test_confirmation_of_ends_that_were_not_offered_shows_nothing():
    world = make_graph_world()
    world.submit("e0", "a1", [{**STEP, "estimated-ms": 9000}])
    set_store_silent(world, True)
    world.run(1.0)
    offer_to(world, "e1", Offer(9, {"a1": "completed"}, is_confirmed=True))
    assert world.nodes["e1"].process.view.state_of("a1") != "completed"
