"""Jobs whose progress outgrows a row of the store, beside other work.

Guards against RECLAIM and LOST (inc-progress-rows): the store refused the row of one
large job, the scheduler wrote it again and again together with all others, and no task
of any job was started any more.
"""

import pytest
from graph_builders import STEP
from graph_world import check_invariants, make_graph_world

from samphiredeal.model import answers
from samphiredeal.platform.memory import MemoryTable

RECLAIM_S = 2.7
LARGE_ID = "1a"
LARGE = {"count": 230, "cpu": 10, "mem-mb": 10, "gpu": 0, "estimated-ms": 8000}
URGENT = {**STEP, "count": 3, "gpu": 1}


def submit_large(world, job_id=LARGE_ID):
    """Submit a job of 2,760 tasks, of which most are at work at the same time."""
    fields = {
        "repetitions": 4,
        "start-at-ms": int(world.clock.seconds() * 1000) + 500,
        "interval-ms": 1500,
    }
    answer = world.submit("e0", job_id, [LARGE] * 3, **fields)
    assert answer.kind == answers.ACCEPTED


def check_urgent_jobs(world, count, interval_s=2.5):
    """Submit guaranteed jobs one after another; each has to begin in time."""
    for number in range(count):
        job_id = f"b{number}"
        world.submit("e1", job_id, [URGENT], prefix="/urgent/")
        names = [f"{job_id}.0.0.{index}" for index in range(3)]
        world.run_until(
            lambda names=names: all(world.event_log.starts(one) for one in names),
            RECLAIM_S,
        )
        world.run(interval_s)


def test_urgent_work_begins_beside_a_job_that_outgrows_its_row():
    world = make_graph_world(guaranteed=8)
    submit_large(world)
    world.run(4.0)
    check_urgent_jobs(world, 4)
    world.run(14.0)
    assert world.state("e1", LARGE_ID) == "completed"
    assert world.table.faults.rejected == 0
    starts = [e.task for e in world.event_log.starts() if e.task.startswith(LARGE_ID)]
    assert len(starts) == len(set(starts)) == 2760
    check_invariants(world)


def test_new_scheduler_goes_on_with_a_job_that_outgrows_its_row():
    world = make_graph_world(guaranteed=8)
    submit_large(world)
    world.run(5.0)
    world.kill(world.scheduler())
    world.run(20.0)
    assert world.state("e1" if world.scheduler() == "e1" else "e2", LARGE_ID) == (
        "completed"
    )
    starts = [e.task for e in world.event_log.starts() if e.task.startswith(LARGE_ID)]
    assert len(starts) == len(set(starts)) == 2760
    check_invariants(world)


def reject_progress_of(monkeypatch, job_id, with_units_only):
    """Make the store reject rows of a job's progress."""
    excess = MemoryTable._excess

    def excess_of(table, conditions, puts, deletes):
        for key, value in puts:
            if key != f"progress/{job_id}":
                continue
            if not with_units_only or b"0.0.0" in value:
                return f"{key}: rejected by a test"
        return excess(table, conditions, puts, deletes)

    monkeypatch.setattr(MemoryTable, "_excess", excess_of)


@pytest.mark.parametrize("with_units_only", [True, False])
def test_job_whose_progress_is_rejected_does_not_hold_up_the_others(
    monkeypatch, with_units_only
):
    world = make_graph_world(guaranteed=8)
    reject_progress_of(monkeypatch, "bad", with_units_only)
    scheduler = world.scheduler()
    world.submit("e0", "bad", [STEP])
    for number in range(5):
        world.submit("e0", f"a{number}", [STEP])
    check_urgent_jobs(world, 2)
    assert world.scheduler() == scheduler
    assert [e for e in world.event_log.starts() if e.task.startswith("bad")] == []
    states = {world.state("e1", f"a{number}") for number in range(5)}
    assert states == {"completed"}
    if with_units_only:
        assert world.state("e1", "bad") == "failed"
    # It is not written again and again.
    rejected = sum(node.faults.rejected for node in world.nodes.values())
    assert rejected <= 4
    world.kill(scheduler)
    world.run(4.0)
    check_urgent = f"c{int(with_units_only)}"
    world.submit("e2" if scheduler == "e1" else "e1", check_urgent, [STEP])
    world.run(4.0)
    assert world.state("e2" if scheduler == "e1" else "e1", check_urgent) == (
        "completed"
    )
    assert [e for e in world.event_log.starts() if e.task.startswith("bad")] == []


def test_job_that_cannot_fit_is_refused_with_its_size():
    world = make_graph_world()
    step = {**STEP, "data-rack": "r" * 190, "requirements": "l" * 190}
    steps = [{**step, "after": list(range(number))} for number in range(150)]
    answer = world.submit("e0", "a1", steps)
    assert answer.kind == answers.MALFORMED
    assert "bytes exceed the limit" in answer.reason
    assert world.state("e0", "a1") == answers.NO_JOB


def test_thousands_of_occurrences_due_at_once_do_not_hold_up_urgent_work():
    world = make_graph_world(guaranteed=8)
    step = {**STEP, "count": 9, "mem-mb": 100, "gpu": 0, "estimated-ms": 4000}
    fields = {"repetitions": 3000, "start-at-ms": 1, "interval-ms": 0}
    answer = world.submit("e0", LARGE_ID, [step], **fields)
    assert answer.kind == answers.ACCEPTED
    check_urgent_jobs(world, 2, interval_s=1.0)
    check_invariants(world)
