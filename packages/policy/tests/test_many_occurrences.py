"""A repeated job of which thousands of occurrences are due at once.

Guards against a scheduler that hangs: each completion looked at all units once for each
occurrence, and one round took 97 s.
"""

import time

import pytest
from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

from samphiredeal.model.graph import GraphSpec

# Urgent work has to begin within this time of its acceptance.
RECLAIM_S = 2.7


@pytest.mark.parametrize("gang", [False, True])
def test_round_leaves_time_for_urgent_work(gang):
    bench = Bench(make_workers(4))
    step = make_step(9, 0, estimate_ms=4000, gang=gang)
    bench.add(make_record("a", spec=GraphSpec("payload", (step,), 3000, 0, 0)))
    for _ in range(3):
        began_at = time.process_time()
        bench.step(1.0)
        assert time.process_time() - began_at < RECLAIM_S
        assert bench.places("a")
        bench.end_all("a")


def test_all_occurrences_run_in_the_end():
    bench = Bench(make_workers(2, accelerators=200))
    step = make_step(1, 1, estimate_ms=1000)
    bench.add(make_record("a", spec=GraphSpec("payload", (step,), 2500, 0, 0)))
    for _ in range(40):
        bench.step(0.1)
        bench.end_all("a")
    assert bench.step(0.1).state("a") == "completed"
