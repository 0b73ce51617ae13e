"""Gangs on sick workers, whose scheduler is lost while they wait for other room.

The workers on which a unit has failed, and the failures of a worker, are known to the
scheduler that has seen them.
"""

import pytest
from graph_world import make_graph_world
from test_gang_failures import (
    ENTRIES,
    GANG,
    fail_starts,
    failed_ends,
    lose_nothing,
    lose_scheduler,
)

FILL = {**GANG, "gang": False, "estimated-ms": 3000}


def starts_of(world, job_id, run):
    """Return the workers on which members of a job have started in a run."""
    return {
        start.worker
        for start in world.event_log.starts()
        if start.run == run and start.task.startswith(job_id + ".")
    }


# Guards against a gang, or single tasks, that use up their attempts on the workers that
# have failed them once, as a new scheduler does not know them.
@pytest.mark.parametrize("lose", [lose_nothing, lose_scheduler])
@pytest.mark.parametrize("sound", [3, 5])
@pytest.mark.parametrize("gang", [True, False])
def test_unit_is_not_run_again_where_it_has_failed(gang, sound, lose):
    world = make_graph_world(workers=3 + sound)
    world.submit("e0", "f1", [{**FILL, "count": sound}])
    world.run_until(lambda: len(starts_of(world, "f1", 1)) == sound, 5.0)
    world.run(0.5)
    fail_starts(world, 9)
    world.submit("e0", "a1", [{**GANG, "gang": gang}])
    world.run_until(lambda: len(starts_of(world, "a1", 1)) == 3, 5.0)
    sick = starts_of(world, "a1", 1)
    for name in world.workers.keys() - sick:
        world.workers[name].faults.fail_starts = 0
    world.run_until(lambda: len(failed_ends(world)) == 3, 1.0)
    world.run_until(lambda: len(world.event_log.recorded) == 3, 1.0)
    lose(world)
    world.run(15.0)
    alive = next(n for n in ENTRIES if not world.nodes[n].clock.dead)
    assert not starts_of(world, "a1", 2) & sick
    assert world.state(alive, "a1") == "completed"
