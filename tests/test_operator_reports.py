"""What went wrong for operators of similar systems, tried here.

Each section takes one of their reports; docs/PROOFS.md lists them with further tests.
"""

import random

import msgspec
import pytest
from graph_builders import GANG, STEP
from graph_world import (
    HEARTBEAT_S,
    KEY,
    LEASE_S,
    check_invariants,
    make_graph_world,
)
from twisted.internet.defer import ensureDeferred

from samphiredeal.agent.graphs.run_manager import POLL_WAIT_S
from samphiredeal.model import answers, runs

LONG_S = 12.0
LONG = {**STEP, "count": 3, "estimated-ms": int(LONG_S * 1000)}
LONG_GANG = {**GANG, "estimated-ms": int(LONG_S * 1000)}


def encode_job(steps):
    return msgspec.json.encode({"spec": "payload", "steps": steps})


def start_work(world):
    """Start a gang and single tasks, and let them run for a while."""
    world.submit("e0", "a1", [LONG])
    world.submit("e1", "b2", [LONG_GANG])
    world.run_until(lambda: len(world.event_log.starts()) == 6, 5.0)
    world.run(1.0)


def check_ran_once(world):
    """Check that all work ran to its end without a restart."""
    world.run(LONG_S)
    check_invariants(world)
    assert len(world.event_log.starts()) == 6
    assert {e.how for e in world.event_log.events if e.kind == "end"} == {runs.DONE}
    entry = world.scheduler()
    assert [world.state(entry, job) for job in ("a1", "b2")] == ["completed"] * 2


# A machine that was only silent had its running work started again or given up


def cut_agent(world, seconds, to_entries=True, from_entries=True):
    """Drop the messages between an agent that runs work and all entries."""
    worker = world.event_log.starts()[-1].worker
    for entry in ("e0", "e1", "e2"):
        if to_entries:
            world.network.cut(worker, entry, both=False)
        if from_entries:
            world.network.cut(entry, worker, both=False)
    world.clock.callLater(seconds, world.network.heal)


def cut_agent_to_entries(world, seconds):
    cut_agent(world, seconds, from_entries=False)


def cut_entries_to_agent(world, seconds):
    cut_agent(world, seconds, to_entries=False)


def cut_all_agents(world, seconds):
    for worker in world.workers:
        for entry in ("e0", "e1", "e2"):
            world.network.cut(worker, entry)
    world.clock.callLater(seconds, world.network.heal)


def freeze(world, name, seconds):
    clock = world.nodes[name].clock
    clock.freeze()
    world.clock.callLater(seconds, clock.thaw)


def freeze_agent(world, seconds):
    freeze(world, world.event_log.starts()[-1].worker, seconds)


def freeze_scheduler(world, seconds):
    freeze(world, world.scheduler(), seconds)


def freeze_all_entries(world, seconds):
    for name in ("e0", "e1", "e2"):
        freeze(world, name, seconds)


def delay_reports(world, seconds):
    """Deliver the messages of all agents late."""
    for worker in world.workers:
        world.network.delay_s[worker] = 1.2
    world.clock.callLater(seconds, world.network.heal)


SILENCES = [
    cut_agent,
    cut_agent_to_entries,
    cut_entries_to_agent,
    cut_all_agents,
    freeze_agent,
    freeze_scheduler,
    freeze_all_entries,
    delay_reports,
]
# A frozen agent cannot extend leases, so its last one may end the work after this.
FROZEN_AGENT_MAX_S = LEASE_S - POLL_WAIT_S


@pytest.mark.parametrize(
    "silence, seconds",
    [
        (silence, seconds)
        for silence in SILENCES
        for seconds in (1.0, 2.0, 3.0, 4.0, 5.0, 5.8)
        if silence is not freeze_agent or seconds < FROZEN_AGENT_MAX_S
    ],
)
def test_work_on_a_silent_machine_runs_on(silence, seconds):
    world = make_graph_world()
    start_work(world)
    silence(world, seconds)
    world.run(seconds + 1.0)
    check_ran_once(world)


# Around a hand-over both acted for a moment, and orders went out twice


def hand_over_by_drain(world):
    node = world.nodes[world.scheduler()]
    ensureDeferred(node.process.drain())


def hand_over_by_freeze(world):
    freeze(world, world.scheduler(), 3.0)


def hand_over_by_drain_and_cut(world):
    """The resignation is not heard by agents, which still have the old links."""
    name = world.scheduler()
    for worker in ("w0", "w1"):
        world.network.cut(name, worker, both=False)
    world.clock.callLater(2.0, world.network.heal)
    hand_over_by_drain(world)


def hand_over_beside_a_silent_store(world):
    name = world.scheduler()
    world.cut_store(name)
    world.clock.callLater(4.0, world.cut_store, name, False)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "hand_over",
    [
        hand_over_by_drain,
        hand_over_by_freeze,
        hand_over_by_drain_and_cut,
        hand_over_beside_a_silent_store,
    ],
)
def test_each_task_is_ordered_once_around_a_hand_over(hand_over, seed):
    drawn = random.Random(seed)
    world = make_graph_world(seed=seed)
    names = [f"{number:x}" for number in range(10, 16)]
    hand_over_at = drawn.randrange(len(names))
    for number, name in enumerate(names):
        if number == hand_over_at:
            hand_over(world)

        world.specs[name] = {"steps": [STEP]}
        body = encode_job([STEP])
        for entry in ("e0", "e1", "e2"):
            world.call(entry, answers.SUBMIT, f"/normal/{name}", body)
        world.run(drawn.uniform(0.02, 0.3))
    world.run(15.0)
    check_invariants(world)
    started = [event.task for event in world.event_log.starts()]
    assert sorted(started) == sorted(set(started))
    assert len(started) == 2 * len(names)


# A paused process acted on a permission that had run out meanwhile


@pytest.mark.parametrize("delay_s", [0.0, 0.005, 0.01, 0.02, 0.05])
@pytest.mark.parametrize("who", ["scheduler", "agents"])
def test_order_is_not_carried_out_after_a_pause(who, delay_s):
    """The job is cancelled while its start order waits in a paused process."""
    world = make_graph_world()
    world.specs["a1"] = {"steps": [STEP]}
    scheduler = world.scheduler()
    other = next(name for name in ("e0", "e1", "e2") if name != scheduler)
    accepted = world.call(
        other, answers.SUBMIT, "/normal/a1", encode_job(world.specs["a1"]["steps"])
    )
    world.wait_for_answer(accepted)
    world.run(delay_s)
    started_before = len(world.event_log.starts())
    for name in [scheduler] if who == "scheduler" else list(world.workers):
        freeze(world, name, 6.0)
    cancelled = world.call(other, answers.CANCEL, "/normal/a1")
    assert world.wait_for_answer(cancelled).kind == answers.CANCELLED
    cancelled_at = world.clock.seconds()
    world.run(12.0)
    late = [e for e in world.event_log.starts() if e.at > cancelled_at + 3.0]
    assert late == []
    assert len(world.event_log.starts()) - started_before <= 2
    assert all(not worker.running for worker in world.workers.values())


def test_zone_that_was_taken_out_during_a_pause_gets_no_start():
    world = make_graph_world()
    scheduler = world.scheduler()
    freeze(world, scheduler, 6.0)
    world.take_zone_out("a")
    taken_out_at = world.clock.seconds()
    other = next(name for name in ("e0", "e1", "e2") if name != scheduler)
    world.submit(other, "a1", [{**STEP, "count": 8}])
    world.run(12.0)
    late = [e for e in world.event_log.starts() if e.at > taken_out_at + 5.0]
    assert {e.worker for e in late} <= {"w1", "w3"}
    assert len(world.event_log.starts()) == 8


# After a restart a server that had left, or a withdrawn key, was in use again


def restart_entries(world, **fields):
    for name in ("e0", "e1", "e2"):
        world.kill(name)
    for name in ("e0", "e1", "e2"):
        world.add_entry(name, **fields)


def test_withdrawn_key_is_refused_by_restarted_entries():
    world = make_graph_world()
    world.configure(keys=("other",))
    world.run(2.0)
    restart_entries(world)
    for _ in range(20):
        received = world.call("e0", answers.GET_STATE, "/normal/a1", key=KEY)
        answer = world.wait_for_answer(received)
        assert answer.kind in (answers.UNKNOWN_KEY, answers.NOT_DONE)
        world.run(0.1)
    assert answer.kind == answers.UNKNOWN_KEY


def test_leaving_worker_gets_no_start_after_restarts():
    world = make_graph_world(workers=2)
    worker = world.workers["w0"]
    worker.facts = worker.facts._replace(leaving=True, leaving_in_ms=60_000)
    world.run(2 * HEARTBEAT_S)
    world.kill("w0")
    world.add_agent("w0")
    restart_entries(world)
    world.run_until(world.scheduler, 5.0)
    world.submit("e0", "a1", [{**STEP, "count": 8}])
    world.run(6.0)
    assert {e.worker for e in world.event_log.starts()} == {"w1"}


def test_late_heartbeat_of_a_dead_incarnation_names_no_worker():
    world = make_graph_world(workers=2)
    worker, agent = world.workers["w0"], world.nodes["w0"]
    old = worker.facts
    worker.crash()
    world.run(2 * HEARTBEAT_S)
    world.kill("w0")
    world.add_agent("w0")
    agent = world.nodes["w0"]
    agent.clock.run(agent.process.run_manager.record_heartbeat, old, 99)
    world.run(2 * HEARTBEAT_S)
    assert agent.process.run_manager.facts == worker.facts
    world.submit("e0", "a1", [{**STEP, "count": 8}])
    world.run(6.0)
    assert world.state("e0", "a1") == "completed"
    check_invariants(world)


# After a lost answer work was run again, or the caller was told that it had not run


@pytest.mark.parametrize("lost", [1, 3, 6])
@pytest.mark.parametrize("late_s", [0.0, 2.0])
def test_job_is_never_refused_and_runs_once_if_answers_are_lost(lost, late_s):
    world = make_graph_world()
    world.specs["a1"] = {"steps": [STEP]}
    node = world.nodes["e0"]
    node.faults.lose_answers = lost
    for worker in world.workers.values():
        worker.faults.lose_answers = lost
        worker.faults.late_s = late_s
    received = world.call("e0", answers.SUBMIT, "/normal/a1", encode_job([STEP]))
    answer = world.wait_for_answer(received)
    world.run(3.0)
    for worker in world.workers.values():
        worker.faults.late_s = 0.0
    world.run(12.0)
    started = {event.task for event in world.event_log.starts()}
    if started:
        assert answer.kind != answers.NOT_DONE
    assert world.state("e1", "a1") == "completed"
    done = [e.task for e in world.event_log.events if e.how == runs.DONE]
    assert sorted(done) == sorted(set(done))
    check_invariants(world)
