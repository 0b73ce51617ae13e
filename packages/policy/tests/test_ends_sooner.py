"""Urgent work and work that can be resumed, on workers of unequal speed.

The pattern: the fastest workers are full of work that could wait or run elsewhere, and
only slow ones have room; at the beginning of a day no speed is known.
"""

import pytest
from graph_builders import (
    make_facts,
    make_record,
    make_report,
    make_step,
)
from uneven_builders import make_uneven_scheduler, places_of, start_urgent

from samphiredeal.model.runs import Ended, Running

SLOW, FAST = -0.22, 0.22


def commit(scheduler):
    """Mark all placements as stored."""
    for job in scheduler.take_dirty():
        for unit in job.units.values():
            for placement in unit.placements.values():
                placement.committed = True


def report(scheduler, name, at, percent, ended=()):
    """Report the runs of a worker at one percentage, without those that ended."""
    gone = {one.task for one in ended}
    running = tuple(
        Running(task, run, "saved", percent)
        for task, run in scheduler.workers[name].placements
        if task not in gone
    )
    scheduler.apply_report(
        name,
        make_report(
            make_facts(name), looks=int(at * 10) + 1, running=running, ended=ended
        ),
        at,
    )


def begin(scheduler, job_id, now, **step):
    """Start a job that is not urgent, and let it show some progress."""
    scheduler.add_job(make_record(job_id, [make_step(**step)]), None, now)
    scheduler.plan(now, round(now * 1000))
    commit(scheduler)


def begin_on_slow_worker(stretch, checkpointing):
    """Return a scheduler with a task on w0, which is slow; w1 is fast, and idle."""
    scheduler = make_uneven_scheduler({"w0": SLOW, "w1": FAST})
    scheduler.mark_worker_unreachable("w1")
    step = make_step(estimate_ms=20_000, checkpointing=checkpointing)
    scheduler.add_job(make_record("n1", [step], stretch=stretch), None, 0.0)
    scheduler.plan(0.0, 0)
    commit(scheduler)
    assert places_of(scheduler, "n1") == ["w0"]
    report(scheduler, "w1", 2.0, 0)
    return scheduler


def stopping(scheduler):
    """Return the names of the workers with a run that is being stopped."""
    return {
        name
        for name, worker in scheduler.workers.items()
        if any(placement.stopping for placement in worker.placements.values())
    }


# Urgent work started at once on a slow worker, and ended late, while work that had just
# begun filled the fast one (inc-short, fourth report, trouble-1 --seed 71004).
def test_urgent_work_displaces_recent_work_on_a_faster_worker():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": SLOW})
    begin(scheduler, "n1", 0.0, accelerators=8, estimate_ms=20_000)
    assert places_of(scheduler, "n1") == ["w0"]
    report(scheduler, "w0", 0.4, 1)
    start_urgent(scheduler, "u1", 0.5, accelerators=8, estimate_ms=5000)
    assert places_of(scheduler, "u1") == []
    assert stopping(scheduler) == {"w0"}


def test_urgent_work_displaces_no_work_that_would_lose_more_than_it_gains():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": SLOW})
    begin(scheduler, "n1", 0.0, accelerators=8, estimate_ms=60_000)
    report(scheduler, "w0", 30.0, 50)
    start_urgent(scheduler, "u1", 30.5, accelerators=8, estimate_ms=5000)
    assert places_of(scheduler, "u1") == ["w1"]
    assert stopping(scheduler) == set()


# It did not wait for a run that was about to end on a faster worker.
def test_urgent_work_waits_for_a_run_that_is_about_to_end_on_a_faster_worker():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": SLOW})
    begin(scheduler, "n1", 0.0, accelerators=8, estimate_ms=25_000)
    report(scheduler, "w0", 20.0, 98)
    start_urgent(scheduler, "u1", 20.0, accelerators=8, estimate_ms=5000)
    assert places_of(scheduler, "u1") == []
    assert stopping(scheduler) == set()
    ended = (Ended(1, "n1.0.0.0", 1, "done", ""),)
    report(scheduler, "w0", 20.4, 99, ended)
    scheduler.plan(20.4, 20_400)
    assert places_of(scheduler, "u1") == ["w0"]


def test_urgent_work_does_not_wait_for_longer_than_it_would_gain():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": SLOW})
    begin(scheduler, "n1", 0.0, accelerators=8, estimate_ms=25_000)
    report(scheduler, "w0", 20.0, 98)
    start_urgent(scheduler, "u1", 20.0, accelerators=8, estimate_ms=5000)
    assert places_of(scheduler, "u1") == []
    for tenths in range(1, 16):
        scheduler.plan(20.0 + tenths / 10, 20_000 + 100 * tenths)
    assert places_of(scheduler, "u1") == ["w1"]


# The claim on capacity that did not become free kept urgent work from preempting.
def test_urgent_work_preempts_if_the_awaited_run_goes_on_and_no_room_is_left():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": SLOW})
    begin(scheduler, "n1", 0.0, accelerators=8, estimate_ms=25_000)
    report(scheduler, "w0", 20.0, 98)
    start_urgent(scheduler, "u1", 20.0, accelerators=8, estimate_ms=5000)
    begin(scheduler, "n2", 20.1, accelerators=8, estimate_ms=25_000)
    assert places_of(scheduler, "n2") == ["w1"]
    report(scheduler, "w1", 20.2, 1)
    for tenths in range(3, 20):
        scheduler.plan(20.0 + tenths / 10, 20_000 + 100 * tenths)
    assert stopping(scheduler)


@pytest.mark.parametrize("speed", [0.0, 0.1])
def test_urgent_work_that_ends_in_time_starts_at_once(speed):
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": speed})
    begin(scheduler, "n1", 0.0, accelerators=8, estimate_ms=20_000)
    report(scheduler, "w0", 0.4, 1)
    record = make_record(
        "u1", [make_step(accelerators=8)], priority=0, stretch=3.0, accepted_ms=500
    )
    scheduler.add_job(record, None, 0.5)
    scheduler.plan(0.5, 500)
    assert places_of(scheduler, "u1") == ["w1"]


def test_urgent_gang_displaces_recent_work_on_faster_workers():
    speeds = {"w0": FAST, "w1": FAST, "w2": SLOW, "w3": SLOW}
    scheduler = make_uneven_scheduler(speeds)
    begin(scheduler, "n1", 0.0, count=2, accelerators=8, estimate_ms=20_000)
    for name in ("w0", "w1"):
        report(scheduler, name, 0.4, 1)
    start_urgent(
        scheduler, "u1", 0.5, count=2, accelerators=4, estimate_ms=5000, gang=True
    )
    assert places_of(scheduler, "u1") == []
    assert stopping(scheduler) == {"w0"}


# A run that would end late stayed on a slow worker although a fast one became idle.
def test_late_run_that_can_be_resumed_moves_to_an_idle_faster_worker():
    scheduler = begin_on_slow_worker(stretch=1.1, checkpointing=True)
    report(scheduler, "w0", 2.0, 10)
    scheduler.plan(2.0, 2000)
    assert stopping(scheduler) == {"w0"}
    ended = (Ended(1, "n1.0.0.0", 1, "stopped", "saved"),)
    report(scheduler, "w0", 2.2, 10, ended)
    scheduler.plan(2.2, 2200)
    assert places_of(scheduler, "n1") == ["w1"]


@pytest.mark.parametrize(
    ("percent", "stretch", "checkpointing"),
    [(10, 1.1, False), (95, 1.1, True), (10, 3.0, True)],
    ids=["unsaved", "near end", "in time"],
)
def test_run_that_gains_too_little_stays(percent, stretch, checkpointing):
    scheduler = begin_on_slow_worker(stretch, checkpointing)
    report(scheduler, "w0", 2.0, percent)
    scheduler.plan(2.0, 2000)
    assert stopping(scheduler) == set()
