"""Modelled days of job graphs: what users earn under the real scheduler.

Proves: on a heavy day it earns more than arrival order and first fit, and the
model gives the same day each time.
"""

import pytest

from bench import graph_load
from bench.graph_baseline import FirstFitScheduler
from bench.graph_drive import GraphDrive
from samphiredeal.policy.graphs.scheduler import GraphScheduler

SMALL = graph_load.TIDEWATER_GROWN._replace(workers=21, zones=3, length_s=12.0)
LOAD = 0.6


def play(seed, scheduler):
    return GraphDrive(SMALL, seed, scheduler, LOAD).run()


@pytest.mark.parametrize("seed", [1, 2])
def test_heavy_day_earns_more_than_arrival_order(seed):
    ours, baseline = play(seed, GraphScheduler()), play(seed, FirstFitScheduler())
    assert ours.worth > baseline.worth
    assert ours.by_kind["price-check"] > baseline.by_kind["price-check"]


def test_same_seed_gives_the_same_day():
    assert play(1, GraphScheduler()) == play(1, GraphScheduler())
