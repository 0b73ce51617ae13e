"""Writes of progress stay within the limits of the store, whatever the jobs.

Guards against RECLAIM and LOST (inc-progress-rows): the progress of one large repeated
job outgrew its row, and from then on no task of any job was started.
"""

import pytest
from graph_builders import make_facts, make_record, make_scheduler, make_step
from progress_rows_store import LIMITS, make_large, make_store
from twisted.internet.task import Clock

from samphiredeal.entry.graphs.work import WorkView
from samphiredeal.model import runs
from samphiredeal.model.runs import Ended
from samphiredeal.platform.table import Row
from samphiredeal.policy.graphs import records


def state_of(job):
    return {
        key: (unit.run, unit.done, unit.failures, unit.checkpoint, places_of(unit))
        for key, unit in job.units.items()
        if unit.run
    }


def places_of(unit):
    return sorted((p.index, p.worker, p.life) for p in unit.placements.values())


def committed_places(job):
    """Return ``{(task, run): worker}`` of the runs that may have been sent."""
    return {
        (placement.task, placement.run): placement.worker
        for unit in job.units.values()
        for placement in unit.placements.values()
        if placement.committed
    }


def add_workers(scheduler, names):
    for name in names:
        scheduler.add_worker(name, "a")
        scheduler.apply_report(name, runs.Report(make_facts(name)), 1.0)
    scheduler.plan(1.0, 1000)


def end(scheduler, job, keys, number=1):
    """End some units as done; return the number of the next completion."""
    for key in keys:
        for placement in list(job.units[key].placements.values()):
            worker = scheduler.workers[placement.worker]
            ended = Ended(number, placement.task, placement.run, runs.DONE, "")
            name = next(n for n, one in scheduler.workers.items() if one is worker)
            report = runs.Report(
                make_facts(name),
                ended=(ended,),
                running=tuple(
                    runs.Running(p.task, p.run, "", 1)
                    for p in worker.placements.values()
                    if p is not placement
                ),
            )
            scheduler.apply_report(name, report, 1.0)
            number += 1
    return number


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("count", [1, 30, 100, 230])
def test_progress_of_any_size_is_stored_within_the_limits(count, gang):
    record = make_large(count, gang)
    store = make_store(record)
    store.write_all()
    job = store.scheduler.jobs["a"]
    assert len(job.units) == (1 if gang else count)
    assert state_of(store.restored(record)) == state_of(job)
    assert all(p.committed for u in job.units.values() for p in u.placements.values())


def test_progress_that_fits_is_one_row_of_the_format_of_earlier_builds():
    record = make_large(10, repeats=3)
    store = make_store(record)
    store.write_all()
    head = store.rows.pop("progress/a")
    assert [key for key in store.rows if key.startswith("units/")] == []
    assert len(records.msgspec.json.decode(head)) == 5


# Guards against TWICE: the head row lost its units before all of them had rows of their
# own, and a scheduler that took over between the two writes started them once more.
@pytest.mark.parametrize(("count", "repeats"), [(1, 230), (4, 55), (9, 25)])
def test_every_write_that_splits_a_job_keeps_what_was_stored(count, repeats):
    record = make_large(count, repeats=repeats)
    store = make_store(record, workers=5)
    store.write_all()
    job = store.scheduler.jobs["a"]
    assert not [key for key in store.rows if key.startswith("units/")]
    end(store.scheduler, job, ["0.0.0"])
    store.write_all()
    add_workers(store.scheduler, [f"w{number}" for number in range(5, 30)])
    writes = 0
    while store.write_next():
        writes += 1
        restored = store.restored(record)
        assert committed_places(job).items() <= committed_places(restored).items()
        assert job.is_finished(0) == restored.is_finished(0)
        if count > 1:
            assert restored.units["0.0.0"].done
    assert writes > 1
    assert state_of(store.restored(record)) == state_of(job)


# The same, for a scheduler that takes over before all units have rows of their own.
def test_new_scheduler_goes_on_splitting_a_job():
    record = make_large(1, repeats=230)
    store = make_store(record, workers=5)
    store.write_all()
    add_workers(store.scheduler, [f"w{number}" for number in range(5, 30)])
    store.write_next()
    for _ in range(3):
        places = committed_places(store.scheduler.jobs["a"])
        store = store.taken_over(record)
        job = store.scheduler.jobs["a"]
        assert places.items() <= committed_places(job).items()
        job.touch(job.units["9.0.0"])
        store.write_next()
    store.write_all()
    assert state_of(store.restored(record)) == state_of(job)
    assert records.decode(store.rows["progress/a"], records.Progress).units == {}


def test_only_changed_rows_are_written_again():
    store = make_store(make_large(200))
    store.write_all()
    before = dict(store.rows)
    job = store.scheduler.jobs["a"]
    end(store.scheduler, job, ["0.0.5"])
    assert store.write_all() == 1
    changed = {key for key in store.rows if store.rows[key] != before.get(key)}
    assert changed <= {"progress/a", "units/a/0.0.0", "beat"}
    assert "units/a/0.0.0" in changed


def test_rows_of_finished_occurrences_are_deleted():
    record = make_large(100, repeats=2)
    store = make_store(record)
    store.write_all()
    job = store.scheduler.jobs["a"]
    end(store.scheduler, job, [f"0.0.{index}" for index in range(100)])
    store.write_all()
    assert [key for key in store.rows if key.startswith("units/a/0.")] == []
    assert [key for key in store.rows if key.startswith("units/a/1.")]
    assert state_of(store.restored(record)) == state_of(job)


def test_rows_of_an_ended_job_are_deleted():
    record = make_large(100)
    store = make_store(record)
    store.write_all()
    job = store.scheduler.jobs["a"]
    end(store.scheduler, job, list(job.units))
    store.write_all()
    assert job.state == "completed"
    assert [key for key in store.rows if key.startswith("units/")] == []


def test_large_job_does_not_hold_up_the_others():
    """Something of it is always left to write."""
    large, small = make_large(230, id="a"), make_large(1, id="b")
    store = make_store(large, small)
    for _ in range(2):
        job = store.scheduler.jobs["a"]
        job.touch(job.units["0.0.0"])
        store.apply(store.progress.next_batch(store.scheduler.take_dirty()))
        for one in store.scheduler.jobs.values():
            one.dirty = True
    assert "progress/b" in store.rows


def test_jobs_of_a_rejected_write_are_written_one_by_one():
    jobs = [make_large(2, id=name) for name in "abc"]
    store = make_store(*jobs)
    batch = store.progress.next_batch(store.scheduler.take_dirty())
    assert len(batch.jobs) == 3
    store.progress.suspect(batch)
    for job in store.scheduler.jobs.values():
        job.dirty = True
    for _ in range(3):
        dirty = [one for one in store.scheduler.jobs.values() if one.dirty]
        batch = store.progress.next_batch(dirty)
        assert len(batch.jobs) == 1
        store.apply(batch)
        batch.jobs[0].dirty = False


def test_rejected_job_is_stored_without_its_units_and_then_not_at_all():
    store = make_store(make_large(100))
    job = store.scheduler.jobs["a"]
    store.progress.omit_units(job)
    batch = store.progress.next_batch([job])
    assert [put.key for put in batch.puts] == ["progress/a"]
    store.progress.omit_units(job)
    assert store.progress.next_batch([job]).writes == ()


@pytest.mark.parametrize("count", [5, 1000])
def test_rows_of_old_jobs_are_deleted_within_the_limits(count):
    store = make_store(make_large(count), workers=130)
    store.write_all()
    left = {key for key in store.rows if key.startswith("units/")}
    assert bool(left) == (count == 1000)
    for _ in range(40):
        keys = store.progress.keys_to_delete(["a"])
        assert len(keys) < LIMITS.operations
        left.difference_update(keys)
        assert not left or "job/a" not in keys
        if "job/a" in keys:
            break
    assert not left and "job/a" in keys


def test_late_occurrences_open_as_earlier_ones_finish():
    """Thousands that are due at once do not outgrow the state of one job."""
    record = make_large(9, repeats=3000)
    scheduler = make_scheduler({"w": make_facts("w", accelerators=100_000)})
    scheduler.add_job(record, None, 0.0)
    job = scheduler.jobs["a"]
    job.add_due_occurrences(10**9)
    assert 9 * 1000 <= len(job.units) <= 10_000
    for unit in list(job.units.values()):
        unit.done = True
    job.close_finished(0.0)
    assert job.finished_before == 1000
    job.add_due_occurrences(10**9)
    assert job.next_occurrence == 2000


def test_finished_occurrences_beyond_a_thousand_are_stored_as_a_count():
    record = make_large(1, repeats=5000)
    scheduler = make_scheduler({"w": make_facts("w")})
    scheduler.add_job(record, None, 0.0)
    job = scheduler.jobs["a"]
    for _ in range(4):
        job.add_due_occurrences(10**9)
        for unit in list(job.units.values()):
            unit.done = True
        job.close_finished(0.0)
    data = records.encode(records.progress_of(job))
    assert len(data) < 1000
    restored, _placements = records.restore(
        record, records.decode(data, records.Progress), 0.0
    )
    assert restored.finished_before == job.finished_before == 4000


def failed_ends(job):
    """Return the ends of the gang 0.0, all of whose members fail, by worker."""
    ended = {}
    for placement in job.units["0.0"].placements.values():
        ended.setdefault(placement.worker, []).append(
            Ended(placement.index + 1, placement.task, 1, runs.FAILED, "")
        )
    return ended


def report_ends(scheduler, ended):
    """Apply a report of each worker, with the ends that it lists."""
    for name, ends in ended.items():
        report = runs.Report(make_facts(name), ended=tuple(ends))
        scheduler.apply_report(name, report, 1.0)


# Guards against a second attempt that is charged for one run of a gang: a write has
# room for some rows of the gang only, a new scheduler takes over, and the older rows
# list members of which the newer ones say that they have failed.
@pytest.mark.parametrize("others", range(7))
@pytest.mark.parametrize("count", [2, 40, 64, 128])
def test_run_of_a_gang_is_charged_once_by_rows_of_different_age(count, others):
    record = make_large(count, gang=True)
    smaller = [make_large(1, id=f"b{number}") for number in range(others)]
    store = make_store(*smaller, record, limits=LIMITS._replace(row_bytes=1000))
    store.write_all()
    job = store.scheduler.jobs["a"]
    ended = failed_ends(job)
    report_ends(store.scheduler, ended)
    assert job.units["0.0"].failures == 1
    for other in smaller:
        one = store.scheduler.jobs[other.id]
        one.touch(next(iter(one.units.values())))
    store.write_next()
    taken_over = store.taken_over(record)
    report_ends(taken_over.scheduler, ended)
    restored = taken_over.scheduler.jobs["a"]
    assert restored.units["0.0"].failures == 1
    assert restored.active


# Guards against work of a gang that is saved and done once more: some of its rows have
# the newest checkpoint, and the last one read has an older one.
@pytest.mark.parametrize("others", range(7))
def test_newest_checkpoint_is_restored_from_rows_of_different_age(others):
    step = make_step(128, 1, gang=True, estimate_ms=10_000, checkpointing=True)
    record = make_record("a", [step])
    smaller = [make_large(1, id=f"b{number}") for number in range(others)]
    store = make_store(*smaller, record, limits=LIMITS._replace(row_bytes=1000))
    store.write_all()
    job = store.scheduler.jobs["a"]
    running = {}
    for placement in job.units["0.0"].placements.values():
        running.setdefault(placement.worker, []).append(
            runs.Running(placement.task, 1, "saved", 30)
        )
    for name, listed in running.items():
        report = runs.Report(make_facts(name), running=tuple(listed))
        store.scheduler.apply_report(name, report, 1.0)
    for other in smaller:
        one = store.scheduler.jobs[other.id]
        one.touch(next(iter(one.units.values())))
    store.scheduler.mark_new_checkpoints()
    store.write_next()
    view = WorkView(Clock(), lambda: None)
    view.on_rows(
        [Row(key, store.versions[key], store.rows[key]) for key in store.rows], True
    )
    rows = view.unit_rows_of("a").values()
    stored = {row.units["0.0"].checkpoint for row in rows}
    joined = records.join(view.progress["a"].value, rows)
    assert joined.units["0.0"].checkpoint == max(stored)
