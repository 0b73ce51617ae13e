"""Gangs whose members fail together, with reports in parts and losses between them.

A run of a gang costs its job one attempt, however many members fail in it, whoever
reports them and whichever scheduler counts.
"""

import pytest
from graph_builders import STEP
from graph_world import check_invariants, make_graph_world

from samphiredeal.model import runs

ENTRIES = ("e0", "e1", "e2")
# Each member needs a worker of its own, of the four.
GANG = {
    **STEP,
    "count": 3,
    "gang": True,
    "cpu": 8000,
    "mem-mb": 8000,
    "gpu": 8,
    "estimated-ms": 2000,
}


def fail_starts(world, count):
    """Let each worker fail as many of its next runs."""
    for worker in world.workers.values():
        worker.faults.fail_starts = count


def failed_ends(world, run=None):
    """Return the ends of members that have failed, in a run or in all."""
    return [
        event
        for event in world.event_log.events
        if event.kind == "end" and event.how == runs.FAILED and run in (None, event.run)
    ]


def fail_first_run(world, unheard=0, failing=None):
    """Run the gang a1 once on workers that fail; some agents are not heard meanwhile.

    With `failing`, the members on these workers fail and the others end as broken.
    Returns when all members have ended and the heard ones are recorded.
    """
    for name in failing or world.workers:
        world.workers[name].faults.fail_starts = 1
    world.submit("e0", "a1", [GANG])
    world.run_until(lambda: len(world.event_log.starts()) == 3, 3.0)
    fail_starts(world, 0)
    placed = [start.worker for start in world.event_log.starts()]
    for worker in placed[:unheard]:
        for name in ENTRIES:
            world.network.cut(worker, name)
    world.run_until(lambda: len(failed_ends(world)) == len(failing or placed), 1.0)
    assert len([one for one in world.event_log.events if one.kind == "end"]) == 3
    heard = 3 - unheard
    world.run_until(lambda: len(world.event_log.recorded) >= heard, 1.0)
    assert len(world.event_log.recorded) == heard


def lose_scheduler(world):
    world.kill(world.scheduler())


def lose_entries(world):
    for name in ENTRIES:
        world.kill(name)
    world.run(1.0)
    for name in ENTRIES:
        world.restart(name)


def lose_nothing(_world):
    pass


# Guards against a job that is shown as failed after one run of its gang: its members
# fail together on several workers, their ends come in one or several reports, and the
# scheduler or all entries are lost between these.
@pytest.mark.parametrize("lose", [lose_nothing, lose_scheduler, lose_entries])
@pytest.mark.parametrize("unheard", [0, 1, 2])
def test_run_that_fails_in_all_members_costs_one_attempt(unheard, lose):
    world = make_graph_world()
    fail_first_run(world, unheard)
    lose(world)
    world.run(0.3)
    world.network.heal()
    world.run(12.0)
    alive = next(n for n in ENTRIES if not world.nodes[n].clock.dead)
    assert world.state(alive, "a1") == "completed"
    assert {start.run for start in world.event_log.starts()} == {1, 2}
    check_invariants(world)


# Guards against attempts that are not counted: as many failed runs as there are
# attempts end the job, and nothing of it starts after them.
@pytest.mark.parametrize("lose", [lose_nothing, lose_scheduler, lose_entries])
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_job_fails_once_its_attempts_are_used_up_by_runs(max_attempts, lose):
    world = make_graph_world()
    world.configure(**{"max-attempts": max_attempts})
    world.run(1.0)
    fail_starts(world, 10)
    world.submit("e0", "a1", [GANG])
    world.run_until(lambda: len(failed_ends(world)) == 3, 5.0)
    lose(world)
    world.run(25.0)
    alive = next(n for n in ENTRIES if not world.nodes[n].clock.dead)
    assert world.state(alive, "a1") == "failed"
    failed_runs = {event.run for event in failed_ends(world)}
    assert len(failed_runs) == max_attempts
    assert {start.run for start in world.event_log.starts()} == failed_runs
    check_invariants(world)


def starts_over_budget(world, max_attempts):
    """Return the starts that follow as many failed runs as there are attempts.

    By the platform's rules a failed end counts if it is recorded, before or after the
    start, and the lease of its worker has not expired in between.
    """
    ends = {(one.worker, one.task, one.run): one.at for one in failed_ends(world)}
    recorded = [
        one for one in world.event_log.recorded_in_time() if one.how == runs.FAILED
    ]
    over = []
    for start in world.event_log.starts():
        failed = {
            one.run
            for one in recorded
            if gang_of(one) == gang_of(start)
            and ends[one.worker, one.task, one.run] < start.at
        }
        if len(failed) >= max_attempts:
            over.append(start)
    return over


def gang_of(event):
    """Return the job, occurrence and step of a task."""
    return event.task.rsplit(".", 1)[0]


# Guards against a run that is counted twice, or not at all, as some members end failed
# and the others broken, with reports in parts and losses between them.
@pytest.mark.parametrize("lose", [lose_nothing, lose_scheduler])
@pytest.mark.parametrize("unheard", [0, 1, 2])
@pytest.mark.parametrize("failing", [("w0",), ("w1", "w2")])
@pytest.mark.parametrize(
    ("max_attempts", "state", "last_run"), [(1, "failed", 1), (2, "completed", 2)]
)
def test_run_that_fails_in_some_members_costs_one_attempt(
    max_attempts, state, last_run, failing, unheard, lose
):
    world = make_graph_world(workers=3)
    world.configure(**{"max-attempts": max_attempts})
    world.run(1.0)
    fail_first_run(world, unheard, failing)
    lose(world)
    world.run(0.3)
    world.network.heal()
    world.run(12.0)
    alive = next(n for n in ENTRIES if not world.nodes[n].clock.dead)
    assert world.state(alive, "a1") == state
    assert max(start.run for start in world.event_log.starts()) == last_run
    assert starts_over_budget(world, max_attempts) == []
    check_invariants(world)


# Guards against a charge for a run that was given up: the agents of its members are
# gone until long after their workers' leases have expired, and list its ends then.
@pytest.mark.parametrize("lose", [lose_nothing, lose_scheduler, lose_entries])
def test_run_that_fails_unheard_and_is_given_up_costs_no_attempt(lose):
    world = make_graph_world(workers=8)
    world.configure(**{"max-attempts": 1})
    world.run(1.0)
    fail_first_run(world, unheard=3)
    placed = [start.worker for start in world.event_log.starts()]
    for name in placed:
        world.kill(name)
    lose(world)
    world.network.heal()
    world.run(16.0)
    assert {start.run for start in world.event_log.starts()} == {1, 2}
    assert {lapse.worker for lapse in world.event_log.lapses} >= set(placed)
    for name in placed:
        world.restart(name)
    world.run(10.0)
    alive = next(n for n in ENTRIES if not world.nodes[n].clock.dead)
    assert world.state(alive, "a1") == "completed"
    assert len(failed_ends(world, run=1)) == 3
    assert starts_over_budget(world, 1) == []
    check_invariants(world)


# Guards against attempts of one gang that are charged to another: of the next step, or
# of the next occurrence of a job that repeats.
@pytest.mark.parametrize("lose", [lose_nothing, lose_scheduler])
@pytest.mark.parametrize(
    ("steps", "fields"),
    [
        ([GANG, {**GANG, "after": [0]}], {}),
        ([GANG], {"repetitions": 2, "start-at-ms": 4000, "interval-ms": 9000}),
    ],
    ids=["next step", "next occurrence"],
)
def test_each_gang_of_a_job_has_attempts_of_its_own(steps, fields, lose):
    world = make_graph_world()
    world.submit("e0", "a1", steps, **fields)
    for number in (1, 2):
        fail_starts(world, 1)
        starts = 6 * number
        world.run_until(lambda n=starts: len(world.event_log.starts()) == n - 3, 15.0)
        fail_starts(world, 0)
        world.run_until(lambda n=number: len(failed_ends(world)) == 3 * n, 1.0)
        if number == 1:
            lose(world)
        world.run_until(lambda n=starts: len(world.event_log.starts()) == n, 10.0)
    world.run(8.0)
    alive = next(n for n in ENTRIES if not world.nodes[n].clock.dead)
    assert world.state(alive, "a1") == "completed"
    assert {event.run for event in failed_ends(world)} == {1}
    assert {event.run for event in world.event_log.starts()} == {1, 2}
    check_invariants(world)


# Guards against a run that goes on from a checkpoint and is counted as the one before,
# or not at all, beyond a takeover.
@pytest.mark.parametrize("lose", [lose_nothing, lose_scheduler])
@pytest.mark.parametrize("max_attempts", [2, 3])
def test_runs_from_a_checkpoint_use_up_attempts(max_attempts, lose):
    world = make_graph_world()
    world.configure(**{"max-attempts": max_attempts})
    world.run(1.0)
    fail_starts(world, 9)
    for worker in world.workers.values():
        worker.faults.fail_after_s = 1.5
    world.submit("e0", "a1", [{**GANG, "checkpointing": True, "estimated-ms": 8000}])
    world.run_until(lambda: len(failed_ends(world)) == 3, 5.0)
    lose(world)
    world.run(30.0)
    alive = next(n for n in ENTRIES if not world.nodes[n].clock.dead)
    assert world.state(alive, "a1") == "failed"
    assert {event.run for event in failed_ends(world)} == set(
        range(1, max_attempts + 1)
    )
    assert starts_over_budget(world, max_attempts) == []
    check_invariants(world)
