"""Attempts of gangs: a run that fails counts once, however many members fail in it."""

from typing import NamedTuple

import msgspec
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


class EarlierUnitRecord(NamedTuple):
    """A unit's record as ae33cb2 reads it."""

    run: int
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    places: tuple[tuple[int, str, str], ...] = ()


class EarlierUnitRows(NamedTuple):
    """A row of units as ae33cb2 reads it."""

    units: dict[str, EarlierUnitRecord] = {}


# Guards against a charge that the rows forget while an end of the charged run can still
# be reported, and against rows that earlier builds refuse, as they take a job whose
# progress they cannot read for one that has not begun.
def test_charge_is_stored_with_every_row_in_a_form_that_earlier_builds_read():
    bench = make_bench(max_attempts=3)
    bench.stopping_slowly = set(bench.facts)
    (unit,) = bench.scheduler.jobs["a"].units.values()
    members = list_runs(bench)
    for number, (name, task, run) in enumerate(members):
        bench.end(name, task, run, runs.FAILED)
        bench.report(name)
        record = records.unit_record(unit, unit.placements.values())
        row = records.encode(records.UnitRows({"0.0": record}))
        assert records.decode(row, records.UnitRows).units == {"0.0": record}
        assert (record.failures, record.failed_run) == (1, 1)
        earlier = msgspec.json.decode(row, type=EarlierUnitRows).units.pop("0.0")
        assert earlier == tuple(record[:5])
        assert len(earlier.places) == len(members) - number - 1
    assert not unit.placements


def test_row_without_a_charge_is_as_earlier_builds_write_it():
    bench = make_bench()
    (unit,) = bench.scheduler.jobs["a"].units.values()
    record = records.unit_record(unit, unit.placements.values())
    earlier = EarlierUnitRecord(*record[:5])
    row = records.encode(records.UnitRows({"0.0": record}))
    assert row == msgspec.json.encode(EarlierUnitRows({"0.0": earlier}))


# Guards against a second attempt that is charged for a run which an earlier build has
# charged: be1a70d stores the run in a sixth field, ae33cb2 only the failures.
@pytest.mark.parametrize(
    ("row", "failures"),
    [
        (b'[{"0.0":[2,false,1,"",[[0,"w0","i-w0/1"]],2]}]', 1),
        (b'[{"0.0":[1,false,1,"",[[0,"w0","i-w0/1"]]]}]', 1),
        (b'[{"0.0":[2,false,1,"",[[0,"w0","i-w0/1"]]]}]', 2),
    ],
)
def test_charge_of_an_earlier_build_is_read(row, failures):
    units = records.decode(row, records.UnitRows).units
    run = units["0.0"].run
    bench = Bench(make_workers())
    spec = make_record("a", [make_step(3, 2, gang=True)], max_attempts=3)
    progress = records.Progress("running", True, units=units)
    bench.scheduler.add_job(spec, progress, 0.0)
    bench.end("w0", "a.0.0.0", run, runs.FAILED)
    bench.report("w0")
    assert bench.scheduler.jobs["a"].units["0.0"].failures == failures


def test_charge_without_its_unit_is_passed_over():
    row = b'[{"0.1":[1,false,0,"",[]],"0.0/charged":[1,false,1]}]'
    assert set(records.decode(row, records.UnitRows).units) == {"0.1"}
