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


def fail_first_run(world, unheard=0):
    """Run the gang a1 once on workers that fail; some agents are not heard meanwhile.

    Returns when all members have failed and the heard ones are recorded.
    """
    fail_starts(world, 1)
    world.submit("e0", "a1", [GANG])
    world.run_until(lambda: len(world.event_log.starts()) == 3, 3.0)
    fail_starts(world, 0)
    placed = [start.worker for start in world.event_log.starts()]
    for worker in placed[:unheard]:
        for name in ENTRIES:
            world.network.cut(worker, name)
    world.run_until(lambda: len(failed_ends(world)) == 3, 1.0)
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
