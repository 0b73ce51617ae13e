"""Counting of thrown-away work by cause, by the log of a day."""

import pytest

from bench.lost import RESUME_S, Day, totals


def event(at, kind, **fields):
    return at, "e0", {"message_type": kind, **fields}


def placed(at, unit="0.0.0", run=1, cores=10.0):
    return event(at, "unit_placed", job="a1", unit=unit, run=run, cores=cores)


def started(at, index=0, run=1):
    task = f"a1.0.0.{index}"
    return event(at, "run_start", task=task, run=run, outcome="started")


def ended(at, how="stopped", reason="", index=0, saved=False):
    fields = {"task": f"a1.0.0.{index}", "run": 1, "worker": "w0", "saved": saved}
    return event(at, "run_ended", how=how, reason=reason, **fields)


def lost(at, reason, index=0, saved=False):
    fields = {"task": f"a1.0.0.{index}", "run": 1, "worker": "w0", "saved": saved}
    return event(at, "run_lost", reason=reason, **fields)


def count(*events):
    return totals(Day(events).lost_runs())


@pytest.mark.parametrize(
    "cause, end",
    [
        ("cancelled", ended(5.0, reason="its job is cancelled")),
        ("reclaimed", ended(5.0, reason="its room is reclaimed for job b")),
        ("leaving", ended(5.0, reason="its worker is leaving")),
        ("hung", ended(5.0, reason="it stands still")),
        ("incomplete", ended(5.0, reason="its gang did not start as a whole")),
        ("failed", ended(5.0, "failed")),
        ("lapsed", ended(5.0, "lapsed", "its room is reclaimed for job b")),
        ("evicted", lost(5.0, "no response until its lease had expired")),
        ("crashed", lost(5.0, "its worker's incarnation has ended")),
    ],
)
def test_unfinished_run_counts_under_its_cause(cause, end):
    assert count(placed(1.0), started(1.0), end) == {cause: (1, 1, 40.0)}


def test_finished_run_loses_nothing():
    assert count(placed(1.0), started(1.0), ended(5.0, "done")) == {}


def test_run_lost_with_a_worker_that_had_announced_it_counts_as_leaving():
    leaving = event(2.0, "worker_leaving", worker="w0")
    end = lost(5.0, "its worker's incarnation has ended")
    assert count(placed(1.0), started(1.0), leaving, end) == {"leaving": (1, 1, 40.0)}


def test_run_with_a_checkpoint_loses_the_time_to_restore_it():
    end = ended(5.0, reason="its job is cancelled", saved=True)
    expected = {"cancelled": (1, 1, 10.0 * RESUME_S)}
    assert count(placed(1.0), started(1.0), end) == expected


def test_all_members_of_a_gang_count_under_the_cause_of_the_first():
    events = [placed(1.0, unit="0.0"), started(1.0), started(1.0, 1)]
    events += [lost(5.0, "no response until its lease had expired")]
    events += [ended(6.0, "broken", "a member of its gang was lost", 1)]
    assert count(*events) == {"evicted": (2, 1, 90.0)}


def test_member_that_is_reported_late_gives_its_gang_the_cause():
    events = [placed(1.0, unit="0.0"), started(1.0), started(1.0, 1)]
    events += [ended(5.0, "broken", "broken", 1)]
    events += [lost(6.0, "its worker's incarnation has ended")]
    assert count(*events) == {"crashed": (2, 1, 90.0)}


def test_completion_reported_to_a_second_scheduler_counts_once():
    end = ended(5.0, reason="its job is cancelled")
    again = ended(7.0, reason="its job is cancelled")
    assert count(placed(1.0), started(1.0), end, again) == {"cancelled": (1, 1, 40.0)}
