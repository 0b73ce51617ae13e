"""Runs that agents list and the rows do not name.

A scheduler that has concluded too much, or reads too little, must not start a task
while an agent lists another run of it.
"""

import pytest
from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

from samphiredeal.model import runs
from samphiredeal.policy.graphs.records import PlaceRecord, Progress, UnitRecord

TASK = "a.0.0.0"


def take_over(stored, workers=2, **fields):
    """Return a bench of which the scheduler has read this `UnitRecord`."""
    bench = Bench(make_workers(workers))
    record = make_record("a", [make_step(1, 8, estimate_ms=60_000, **fields)])
    progress = Progress("running", True, units={"0.0.0": stored})
    bench.scheduler.add_job(record, progress, 0.0)
    return bench


def begun(bench):
    """Return the runs at work: ``[(worker, run)]``."""
    return sorted(
        (name, run)
        for name, listed in bench.running.items()
        for task, run in listed
        if task == TASK
    )


def find_run_that_stops_slowly(bench, run):
    """List a run on w0, and check that no other begins while it is stopped."""
    bench.running["w0"][(TASK, run)] = 0.0
    bench.stopping_slowly.add("w0")
    for _ in range(4):
        bench.step(0.1)
        assert begun(bench) == [("w0", run)]
    bench.stopping_slowly.clear()


# Guards against TWICE: a run older than the unit's last one was only stopped, and the
# next run began elsewhere in the same round.
@pytest.mark.parametrize("last_run", [1, 2, 3])
def test_next_run_waits_until_a_found_run_is_gone(last_run):
    bench = take_over(UnitRecord(last_run))
    find_run_that_stops_slowly(bench, 1)
    bench.step(0.6).step(0.1)
    ((_name, run),) = begun(bench)
    assert run == last_run + 1


# Guards against TWICE: the rows name a place that has not begun its run, and another
# agent lists an older or a newer one.
@pytest.mark.parametrize("found_run", [1, 3])
def test_placed_run_waits_until_a_found_run_is_gone(found_run):
    bench = take_over(UnitRecord(2, places=(PlaceRecord(0, "w1", "i-w1/1"),)))
    find_run_that_stops_slowly(bench, found_run)
    bench.step(0.6).step(0.1)
    assert begun(bench) == [("w1", 2)]


def test_found_run_counts_until_its_agent_knows_better():
    """A report without a worker says nothing of runs; an expired lease does."""
    bench = take_over(UnitRecord(2), workers=2)
    bench.facts, facts = {"w0": bench.facts["w0"]}, bench.facts
    bench.running["w0"][(TASK, 1)] = 0.0
    bench.report("w0")
    bench.facts = {"w0": None, "w1": facts["w1"]}
    bench.running["w0"].clear()
    for _ in range(3):
        bench.step(0.1)
    assert begun(bench) == []
    bench.scheduler.mark_worker_failed("w0", "its lease has expired")
    bench.step(0.1)
    assert begun(bench) == [("w1", 3)]


def test_found_run_of_a_finished_task_holds_nothing():
    bench = take_over(UnitRecord(1, done=True))
    bench.running["w0"][(TASK, 1)] = 0.0
    bench.step(0.1)
    assert [one.how for one in bench.completions["w0"]] == [runs.STOPPED]
    bench.add(make_record("b", [make_step(1, 8)]))
    assert bench.step(0.1).places("b")
