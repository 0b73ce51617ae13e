"""Starts are sent to an agent as fast as it can pass them on.

Guards against RECLAIM (inc-progress-rows): 600 tasks of a large job were ordered on one
worker at once, and the starts of an urgent job waited behind them until they expired.
"""

from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

MANY = 300
# The agent has 64 calls in flight at the most, polls and stops among them.
AGENT_CALLS = 64


def make_crowded_bench():
    bench = Bench(make_workers(1, accelerators=MANY + 8))
    bench.add(make_record("b", [make_step(MANY, 1)], priority=2))
    return bench


def count_placed(bench, job_id):
    units = bench.scheduler.jobs[job_id].units.values()
    return sum(len(unit.placements) for unit in units)


def test_starts_wait_until_earlier_ones_are_reported():
    bench = make_crowded_bench()
    counts = []
    for _ in range(MANY):
        before = len(bench.places("b"))
        bench.step(0.01)
        counts.append(len(bench.places("b")) - before)
    assert sum(counts) == MANY
    assert max(counts) < AGENT_CALLS
    # Without any report of the starts no more of them are sent.
    bench = make_crowded_bench().step()
    assert bench.scheduler.orders_for("w0", 0.01) == ([], [])


def test_urgent_starts_go_first():
    bench = make_crowded_bench().step()
    bench.add(make_record("u", [make_step(4, 1)], priority=0))
    bench.step(0.01)
    assert count_placed(bench, "u") == 4
    assert len(bench.places("u")) == 4
    assert len(bench.places("b")) < MANY
