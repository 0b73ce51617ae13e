"""Attempts of gangs: a run that fails counts once, however many members fail in it."""

import pytest
from graph_bench import Bench, make_workers
from graph_builders import make_record, make_step

from samphiredeal.model import runs
from samphiredeal.policy.graphs import records
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


def take_over(bench):
    """Return a bench with the same workers and a scheduler that has read ``a``."""
    job = bench.scheduler.jobs["a"]
    stored = records.decode(records.encode(records.progress_of(job)), records.Progress)
    other = Bench(bench.facts)
    other.scheduler.add_job(job.record, stored, 0.0)
    other.running, other.completions = bench.running, bench.completions
    return other


# Guards against an end that a new scheduler counts again, as the one before had stored
# it and not acknowledged it, or loses, as that one had not stored it.
@pytest.mark.parametrize("is_stored", [False, True])
@pytest.mark.parametrize("step", [make_step(), make_step(3, 2, gang=True)])
def test_end_that_is_listed_to_two_schedulers_costs_one_attempt(step, is_stored):
    bench = Bench(make_workers())
    bench.add(make_record("a", [step], max_attempts=2))
    bench.step().step()
    before = take_over(bench)
    bench.end_all("a", runs.FAILED)
    if is_stored:
        bench.step()
    other = take_over(bench) if is_stored else before
    other.step().step()
    (unit,) = other.scheduler.jobs["a"].units.values()
    assert unit.failures == 1
    assert other.state("a") != FAILED


# Guards against a worker that has failed a gang and is forgotten, as many members fail
# on another one in a later run.
def test_worker_that_failed_a_gang_is_remembered_beyond_its_next_run():
    bench = Bench(make_workers())
    steps = [make_step(6, 1, gang=True)]
    bench.add(make_record("a", steps, max_attempts=4))
    failed_on = []
    for _ in range(3):
        bench.step().step()
        failed_on += set(bench.places("a"))
        bench.end_all("a", runs.FAILED)
    bench.step()
    (unit,) = bench.scheduler.jobs["a"].units.values()
    assert set(failed_on) == set(unit.failed_on)


# Guards against a charge that a row forgets with its last member, while another row may
# still list members of the charged run.
def test_charged_run_is_stored_with_every_row():
    bench = make_bench(max_attempts=3)
    bench.stopping_slowly = set(bench.facts)
    (unit,) = bench.scheduler.jobs["a"].units.values()
    for name, task, run in list_runs(bench):
        bench.end(name, task, run, runs.FAILED)
        bench.report(name)
        stored = records.unit_record(unit, unit.placements.values())
        assert stored.failures == 1
        assert stored.failed_run == 1
    assert not unit.placements
