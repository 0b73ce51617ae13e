"""Simulated days of job graphs: the value of the completed work.

On a heavy day the scheduler yields more value than first fit in arrival order, and
the simulation is deterministic.
"""

import pytest

from bench import graph_load
from bench.graph_baseline import FirstFitScheduler
from bench.graph_drive import GraphSimulation
from samphiredeal.policy.graphs.scheduler import GraphScheduler

SMALL = graph_load.TIDEWATER_GROWN._replace(workers=21, zones=3, length_s=12.0)
LOAD = 0.6


def run_day(seed, scheduler):
    return GraphSimulation(SMALL, seed, scheduler, LOAD).run()


@pytest.mark.parametrize("seed", [1, 2])
def test_heavy_day_yields_more_value_than_arrival_order(seed):
    result, baseline = (
        run_day(seed, GraphScheduler()),
        run_day(seed, FirstFitScheduler()),
    )
    assert result.net_value > baseline.net_value
    assert result.by_kind["price-check"] > baseline.by_kind["price-check"]


def test_same_seed_gives_the_same_day():
    assert run_day(1, GraphScheduler()) == run_day(1, GraphScheduler())
