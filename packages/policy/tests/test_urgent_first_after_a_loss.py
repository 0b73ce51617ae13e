"""Urgent work after a loss of all VMs, beside work that could wait.

The pattern: the workers report one after another within some tenths of a second. An
urgent gang waits for the second worker of its fast rack; what runs anywhere must not
take the first one meanwhile.
"""

import pytest
from graph_builders import make_facts, make_record, make_report, make_step
from uneven_builders import places_of, start_urgent

from samphiredeal.policy.graphs.scheduler import GraphScheduler
from samphiredeal.policy.graphs.speeds import Belief

RACKS = {f"w{number}": f"r{number // 2 + 1}" for number in range(8)}
SPEEDS = {name: 0.22 if rack == "r1" else -0.22 for name, rack in RACKS.items()}
SLOW = [name for name, rack in RACKS.items() if rack != "r1"]
GANG = {"count": 2, "accelerators": 8, "gang": True, "one_rack": True}


def report(scheduler, name, now):
    facts = make_facts(name, rack=RACKS[name])
    scheduler.apply_report(name, make_report(facts), now)


def make_returning_scheduler(*reported):
    """Return a scheduler that knows the speeds of all, of which some have reported."""
    scheduler = GraphScheduler()
    for name, log_speed in SPEEDS.items():
        scheduler.add_worker(name, "a")
        scheduler.restore_speed(name, Belief(log_speed, 150.0))
    for name in reported:
        report(scheduler, name, 0.0)
    return scheduler


def add_checks(scheduler, count=6):
    step = make_step(count, 1, estimate_ms=20_000)
    scheduler.add_job(make_record("n1", [step]), None, 0.0)


# A check took the fast worker 0.03 s before the second one of its rack had reported;
# the gang started on slow workers and ended late (inc-short, scale-2 --seed 83021).
def test_urgent_gang_that_awaits_reports_finds_its_rack_free():
    scheduler = make_returning_scheduler("w0", *SLOW)
    add_checks(scheduler)
    start_urgent(scheduler, "u1", 0.0, estimate_ms=5000, **GANG)
    assert places_of(scheduler, "u1") == []
    assert "w0" not in places_of(scheduler, "n1")
    report(scheduler, "w1", 0.1)
    scheduler.plan(0.1, 100)
    assert places_of(scheduler, "u1") == ["w0", "w1"]


def test_work_that_can_wait_starts_once_the_urgent_work_has_begun():
    scheduler = make_returning_scheduler("w0", *SLOW)
    add_checks(scheduler)
    start_urgent(scheduler, "u1", 0.0, estimate_ms=5000, **GANG)
    report(scheduler, "w1", 0.1)
    scheduler.plan(0.1, 100)
    scheduler.plan(0.2, 200)
    assert len(places_of(scheduler, "n1")) == 6


def test_work_that_can_wait_does_not_wait_for_long():
    scheduler = make_returning_scheduler("w0", *SLOW)
    add_checks(scheduler)
    start_urgent(scheduler, "u1", 0.0, estimate_ms=5000, **GANG)
    for tenths in range(1, 6):
        scheduler.plan(tenths / 10, tenths * 100)
    assert set(places_of(scheduler, "u1")) <= set(SLOW)
    # Room is kept for the next urgent work for a while.
    for tenths in range(6, 21):
        scheduler.plan(tenths / 10, tenths * 100)
    assert len(places_of(scheduler, "n1")) == 6


# Work that has no time to spare is as late as the urgent work would be.
def test_work_without_time_to_spare_does_not_wait():
    scheduler = make_returning_scheduler("w0", *SLOW)
    late = make_record("n1", [make_step(1, 1, estimate_ms=20_000)], stretch=1.1)
    scheduler.add_job(late, None, 0.0)
    start_urgent(scheduler, "u1", 0.0, estimate_ms=5000, **GANG)
    assert places_of(scheduler, "n1")


# A new scheduler knew nothing of urgent work before the first one that it started, and
# left no fast worker to it.
@pytest.mark.parametrize("wait_s", [0.0, 0.2])
def test_urgent_work_that_waits_counts_for_the_room_kept(wait_s):
    scheduler = make_returning_scheduler("w0", *SLOW)
    start_urgent(scheduler, "u1", 0.0, estimate_ms=5000, **GANG)
    scheduler.plan(wait_s, round(wait_s * 1000))
    assert scheduler._headroom.share(wait_s) > 0


# A claim for want of room kept the gang from looking for a better place.
def test_claim_without_victims_does_not_hold_a_gang_to_slow_workers():
    scheduler = make_returning_scheduler("w0", "w1", *SLOW)
    add_checks(scheduler)
    scheduler.plan(0.0, 0)
    for job in scheduler.take_dirty():
        for unit in job.units.values():
            for placement in unit.placements.values():
                placement.committed = True
    fast = [name for name in places_of(scheduler, "n1") if RACKS[name] == "r1"]
    assert fast
    unit_step = make_step(2, 8, estimate_ms=5000, gang=True, one_rack=True)
    record = make_record(
        "u1", [unit_step], priority=0, stretch=1.2, target_latency_ms=0,
        accepted_ms=1000,
    )  # fmt: skip
    scheduler.add_job(record, None, 1.0)
    job = scheduler.jobs["u1"]
    job.add_due_occurrences(1000)
    (unit,) = job.units.values()
    scheduler._claim(unit, {"w2": 1, "w3": 1})
    unit.claimed_until = 1.5
    scheduler.plan(1.0, 1000)
    assert set(unit.claim) == {"w0", "w1"}
