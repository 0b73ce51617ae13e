"""Chances to end in time, and choices of urgent work by them.

The pattern: an estimate against a fixed share of the objective calls work safe that
then ends late, and has work that is late anyway displace others.
"""

import pytest
from graph_builders import make_facts, make_record, make_report, make_step
from uneven_builders import make_uneven_scheduler, places_of

from samphiredeal.model.runs import Ended, Running
from samphiredeal.policy.graphs.chances import Outlook, RunSpread, in_time_chance

SLOW, FAST = -0.22, 0.22
FRESH = Outlook(age_s=0.0, run_s=5.0, rest_s=0.0, scaled_s=7.5, fixed_s=0.0)


def fill(scheduler, name, now):
    """Fill a worker with work that has just begun."""
    step = make_step(1, 8, estimate_ms=20_000)
    scheduler.add_job(make_record("n1", [step]), None, now)
    scheduler.plan(now, round(now * 1000))
    for job in scheduler.take_dirty():
        for unit in job.units.values():
            for placement in unit.placements.values():
                placement.committed = True
    assert places_of(scheduler, "n1") == [name]
    running = tuple(
        Running(task, run, "", 1) for task, run in scheduler.workers[name].placements
    )
    report = make_report(make_facts(name), looks=5, running=running)
    scheduler.apply_report(name, report, now + 0.4)


def add_urgent(scheduler, accepted_s, now, stretch=1.5):
    record = make_record(
        "u1", [make_step(1, 8, estimate_ms=5000)], priority=0, stretch=stretch,
        target_latency_ms=250, accepted_ms=round(accepted_s * 1000),
    )  # fmt: skip
    scheduler.add_job(record, None, now)
    scheduler.plan(now, round(now * 1000))


def is_displacing(scheduler):
    return any(
        placement.stopping
        for worker in scheduler.workers.values()
        for placement in worker.placements.values()
    )


def test_chance_is_even_where_run_and_objective_are_equal():
    assert in_time_chance(FRESH._replace(run_s=7.5), 0.2) == pytest.approx(0.5)


@pytest.mark.parametrize("factor", [0.25, 0.5, 2.0, 4.0])
def test_chance_does_not_depend_on_the_scale_of_time(factor):
    scaled = Outlook(*(factor * one for one in FRESH._replace(age_s=1.0)))
    expected = in_time_chance(FRESH._replace(age_s=1.0), 0.2)
    assert in_time_chance(scaled, 0.2) == pytest.approx(expected)


@pytest.mark.parametrize(
    "worse", [{"age_s": 2.0}, {"run_s": 6.0}, {"rest_s": 1.0}, {"scaled_s": 6.5}]
)
def test_chance_falls_with_age_and_length(worse):
    assert in_time_chance(FRESH._replace(**worse), 0.2) < in_time_chance(FRESH, 0.2)


def test_chance_of_work_that_is_over_its_objective_is_none():
    assert in_time_chance(FRESH._replace(age_s=20.0), 0.2) < 0.01


def test_spread_grows_with_runs_that_take_longer_than_expected():
    spread = RunSpread()
    first = spread.deviation
    for _ in range(40):
        spread.record(5.0, 5.0 * 1.8)
    assert spread.deviation > 2 * first


def test_spread_shrinks_with_runs_that_take_as_long_as_expected():
    spread = RunSpread()
    first = spread.deviation
    for _ in range(40):
        spread.record(5.0, 5.2)
    assert 0 < spread.deviation < first


@pytest.mark.parametrize(("expected_s", "took_s"), [(0.0, 5.0), (5.0, 0.0)])
def test_run_without_duration_tells_nothing_of_the_spread(expected_s, took_s):
    spread = RunSpread()
    first = spread.deviation
    spread.record(expected_s, took_s)
    assert spread.deviation == first


def test_spread_is_learnt_from_the_ends_of_urgent_work():
    scheduler = make_uneven_scheduler({"w0": 0.0})
    add_urgent(scheduler, 0.0, 0.0)
    (placement,) = scheduler.workers["w0"].placements.values()
    placement.committed = True
    ended = (Ended(1, placement.task, placement.run, "done", ""),)
    report = make_report(make_facts("w0"), looks=9, ended=ended)
    before = scheduler.run_spread.deviation
    scheduler.apply_report("w0", report, 11.0)
    assert scheduler.run_spread.deviation > before


# Urgent work that could not end in time any more displaced other work to end sooner.
def test_urgent_work_that_is_late_anyway_displaces_nothing():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": SLOW})
    fill(scheduler, "w0", 0.0)
    add_urgent(scheduler, accepted_s=-9.0, now=0.5)
    assert places_of(scheduler, "u1") == ["w1"]
    assert not is_displacing(scheduler)


def test_urgent_work_with_little_time_left_displaces_other_work():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": SLOW})
    fill(scheduler, "w0", 0.0)
    add_urgent(scheduler, accepted_s=-2.0, now=0.5)
    assert places_of(scheduler, "u1") == []
    assert is_displacing(scheduler)


# It ends after 0.83 of its objective by the estimate; a fixed share called it unsafe.
def test_urgent_work_that_ends_in_time_by_far_the_most_often_starts_at_once():
    scheduler = make_uneven_scheduler({"w0": FAST, "w1": -0.1})
    fill(scheduler, "w0", 0.0)
    add_urgent(scheduler, accepted_s=0.5, now=0.5)
    assert places_of(scheduler, "u1") == ["w1"]
