"""Attempts of gangs: a run that fails counts once, however many members fail in it."""

import pytest
from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

from samphiredeal.model import runs
from samphiredeal.policy.graphs.state import COMPLETED, FAILED


def make_bench(max_attempts=2):
    """Return a bench that runs the gang ``a`` of three members on one worker."""
    bench = Bench(make_workers())
    bench.add(make_record("a", [make_step(3, 2, gang=True)], max_attempts=max_attempts))
    bench.step().step()
    assert len(set(bench.places("a"))) == 1
    return bench


def list_runs(bench):
    """Return the (worker, task, run) of all members that run, in order."""
    return [(name, *run) for name, listed in bench.running.items() for run in listed]


def fail_members(bench, count=3):
    """Let that many members fail, and the others end with them."""
    for number, (name, task, run) in enumerate(list_runs(bench)):
        bench.end(name, task, run, runs.FAILED if number < count else runs.GANG_BROKEN)


# Guards against a job that is shown as failed with attempts left, because several
# members of one run of its gang have failed (review case 6).
@pytest.mark.parametrize("count", [1, 2, 3])
def test_run_with_several_failed_members_costs_one_attempt(count):
    bench = make_bench()
    fail_members(bench, count)
    bench.step().step()
    assert len(bench.places("a")) == 3
    bench.end_all("a")
    bench.step()
    assert bench.state("a") == COMPLETED


# Guards against the same where the ends come one report after another.
def test_members_that_fail_in_successive_reports_cost_one_attempt():
    bench = make_bench()
    bench.stopping_slowly = set(bench.facts)
    for name, task, run in list_runs(bench):
        bench.end(name, task, run, runs.FAILED)
        bench.step()
    bench.step()
    assert len(bench.places("a")) == 3


# Guards against an attempt too many: each run that fails still counts.
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_job_fails_with_the_last_run_of_its_gang(max_attempts):
    bench = make_bench(max_attempts)
    for _ in range(max_attempts):
        assert bench.state("a") != FAILED
        fail_members(bench)
        bench.step().step()
    assert bench.state("a") == FAILED
    assert bench.places("a") == []


# Guards against an attempt that is charged for a run which did not fail.
def test_run_that_is_broken_or_stopped_costs_no_attempt():
    bench = make_bench(max_attempts=1)
    fail_members(bench, count=0)
    bench.step().step()
    assert len(bench.places("a")) == 3
