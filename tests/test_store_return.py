"""Serving again as soon as a silent store is back."""

import pytest
from graph_world import make_graph_world

from samphiredeal.model import answers

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
# Outages end at any moment of the calls that are waited for meanwhile.
OUTAGES_S = [3.0 + 0.13 * number for number in range(10)]
# The time for which a caller's last tries are apart near its deadline.
NOTICED_S = 0.3


def silence(world, silent):
    for node in world.nodes.values():
        node.faults.silent = silent


# inc-short, trouble-3 --seed 30576760390: refused 0.07 and 0.39 s after the return.
@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_job_is_accepted_soon_after_the_return(outage_s):
    world = make_graph_world()
    silence(world, True)
    world.run(outage_s)
    silence(world, False)
    world.run(NOTICED_S)
    assert world.submit("e0", "a1", [STEP]).kind == answers.ACCEPTED


# inc-short, trouble-3 --seed 10559705366: ends of an outage were shown 0.9 s after it.
@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_end_during_the_outage_is_shown_soon_after_the_return(outage_s):
    world = make_graph_world()
    world.submit("e0", "a1", [STEP])
    world.run_until(lambda: world.ledger.starts("a1.0.0.0"), 5.0)
    silence(world, True)
    world.run(outage_s)
    silence(world, False)
    world.run(2 * NOTICED_S)
    assert world.state("e0", "a1") == "completed"


# A scheduler that outlives an outage vouches for its workers at once.
def test_scheduler_beats_soon_after_the_return():
    world = make_graph_world()
    scheduler = world.scheduler()
    silence(world, True)
    world.run(OUTAGES_S[-1])
    silence(world, False)
    world.run(2 * NOTICED_S)
    assert world.scheduler() == scheduler
    assert world.nodes[scheduler].process.leadership.vouches
