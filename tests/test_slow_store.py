"""A store that applies writes at once but answers them late, or applies them slowly."""

import pytest
from graph_world import make_graph_world

from samphiredeal.model import answers

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
MAX_URGENT_START_S = 2.7
# Duration of a transaction at a store slowed by a factor of 90.
TRANSACTION_S = 0.455
# Such a store answers a write after 0.5 s, or later if other writes are queued.
WRITE_DELAY_S = 2.0


@pytest.fixture
def world():
    """Return a world whose scheduler receives the answers to its writes late."""
    world = make_graph_world()
    world.nodes[world.scheduler()].faults.write_delay_s = WRITE_DELAY_S
    return world


def other_entry(world):
    return next(name for name in ("e0", "e1") if name != world.scheduler())


# A placed task was started only 3.1 s later (inc-short, hunt-33c3-15: run_start after
# unit_placed).
def test_start_does_not_wait_for_a_late_answer(world):
    assert world.submit(other_entry(world), "a1", [STEP]).kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 0.5)


# A job was shown as "running" for 2.8 s after its last task had ended (inc-short,
# hunt-33c3-39).
def test_completion_is_shown_although_its_write_is_answered_late(world):
    entry = other_entry(world)
    world.submit(entry, "a1", [STEP])
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    world.run(STEP["estimated-ms"] / 1000 + 0.5)
    assert world.state(entry, "a1") == "completed"


# A job that had been stored and placed was answered as "unsettled" (inc-short,
# hunt-33c3-15).
def test_stored_job_is_accepted_although_its_write_is_answered_late():
    world = make_graph_world()
    entry = other_entry(world)
    world.nodes[entry].faults.write_delay_s = WRITE_DELAY_S
    began_at = world.clock.seconds()
    assert world.submit(entry, "a1", [STEP]).kind == answers.ACCEPTED
    assert world.clock.seconds() - began_at < 0.5


def test_scheduler_stays_while_its_heartbeats_are_answered_late(world):
    scheduler = world.scheduler()
    world.run(10.0)
    assert world.scheduler() == scheduler
    assert world.nodes[scheduler].process.leadership.may_extend_leases


# Heartbeats and repeated writes filled the store's queue (inc-short, hunt-33c3-15).
@pytest.mark.parametrize("seed", range(3))
def test_jobs_start_in_time_while_each_write_takes_half_a_second(seed):
    world = make_graph_world(seed=seed)
    lengths = (2000, 2600, 3300, 4100, 4700, 5200)
    for number, length_ms in enumerate(lengths):
        world.submit("e0", f"b{number}", [{**STEP, "estimated-ms": length_ms}])
    world.run(1.0)
    for node in world.nodes.values():
        node.faults.transaction_s = TRANSACTION_S
    accepted_at = {}
    for number in range(4):
        job_id = f"a{number}"
        answer = world.submit("e1", job_id, [STEP], prefix="/urgent/")
        assert answer.kind == answers.ACCEPTED
        accepted_at[job_id] = world.clock.seconds()
        world.run(0.8)
    world.run(MAX_URGENT_START_S)
    for job_id, at in accepted_at.items():
        (start,) = world.event_log.starts(f"{job_id}.0.0.0")
        assert start.at - at <= MAX_URGENT_START_S, job_id
    assert world.event_log.overlaps() == []
