"""Highest shares of value that anybody could have reached, on days with known answers.

Each day has one urgent kind (value 4, late 0.8) and two zones; a job of mean size has a
weight of 1.
"""

import pytest
from test_bounds import STEP, job_events
from test_late_jobs import answered, event, store_unresponsive

from bench.bound import RunTimes
from bench.ceiling import Summary, ValuedDay, outcomes_of, shares_of
from bench.site_file import KindValue, SiteValues, read_site_values

VALUES = SiteValues(
    {0: KindValue("hold", 0, 4.0, 0.8), 1: KindValue("draft", 1, 3.0, 0.9)},
    ("a", "b"),
    {"day": (0.2, 0.4)},
    60.0,
)
SITE = """
zones = [{ name = "a" }, { name = "b" }]
classes = [
  { name = "hold", priority = 0, worth = 4.0, late_worth = 0.8 },
  { name = "draft", priority = %d, worth = 3.0, late_worth = 0.9 },
]
length_s = 34.0
timing = { finish_s = 14.0 }
bounds = { recover_s = 12.0, touch_ms = 3000 }
[[day]]
name = "day"
floor_classes = [0.2]
floor_zones = [0.37]
[[day]]
name = "calm"
"""


def renamed(events, job, zone="a", priority=0):
    """Return the events of a job under another id, from the entry of a zone."""
    found = []
    for at, node, fields in events:
        fields = dict(fields)
        if "path" in fields:
            fields["path"] = f"/q{priority}/{job}"
        if "job" in fields:
            fields["job"] = job
        if "task" in fields:
            fields["task"] = fields["task"].replace("a1", job)
        if fields["message_type"] in ("job_seen", "job_not_stored"):
            fields["priority"] = priority
        if fields["message_type"] == "call_answered":
            node = f"frontend-{zone}-1"
        found.append((at, node, fields))
    return found


def served(job, zone="a", at=5.0, age_s=4.5, cores=1.0, priority=0):
    """Return the events of a job of 4 s whose objective is 6.25 s."""
    step = (*STEP, 0, cores)
    events = job_events(read_at=at + age_s, steps=(step,), at=at)
    return renamed(events, job, zone, priority)


def refused(job, zone="a", at=20.0, priority=0, work_core_s=4.0):
    """Return the events of a job that was sent into the silence of the store.

    Nothing is logged of its work if that is None.
    """
    tries = [answered(at + later, "not-done") for later in (0.0, 1.0, 2.0)]
    if work_core_s is not None:
        about = {"job": "a1", "queue": "q", "priority": priority, "reason": "silent"}
        tries.append(event(at, "job_not_stored", work_core_s=work_core_s, **about))
    return renamed(tries, job, zone, priority)


def day_with(*jobs, extra=(), summary=None):
    """Return the shares by name of a day of 60 s, silent from 18 to 26 s."""
    events = [event(0.0, "entry_started", f"frontend-{zone}-1") for zone in "ab"]
    events += [
        event(0.1, "configuration_in_force", f"frontend-{zone}-1") for zone in "ab"
    ]
    for zone in "ab":
        events += store_unresponsive(18.0, 26.0, f"frontend-{zone}-1")
        events.append(event(60.0, "reloaded", f"frontend-{zone}-1"))
    for job in jobs:
        events += job
    events = sorted([*events, *extra], key=lambda one: one[0])
    times = RunTimes()
    times.read(0, events)
    times.settle()
    outcomes = outcomes_of(ValuedDay(events), times, VALUES)
    return {one.name: one for one in shares_of(outcomes, VALUES, "day", summary)}


def test_day_on_which_all_is_served_has_a_ceiling_of_one():
    shares = day_with(served("j1"), served("j2", zone="b"))
    assert [(one.earned, one.ceiling) for one in shares.values()] == [(1.0, 1.0)] * 3
    assert not any(one.is_short for one in shares.values())


# The report to the letter: the only job of a kind is sent into the silence.
def test_group_that_is_owed_one_job_in_the_silence_is_nobodys():
    shares = day_with(served("j1", priority=1), refused("j2"))
    hold = shares["hold"]
    assert (hold.earned, hold.ceiling, hold.lost) == (0.0, 0.0, ("j2",))
    assert hold.is_short
    assert not hold.is_avoidable


@pytest.mark.parametrize(("refusals", "ceiling"), [(1, 0.5), (2, 1 / 3), (3, 0.25)])
def test_ceiling_falls_with_each_job_in_the_silence(refusals, ceiling):
    lost = [refused(f"r{number}", at=20.0 + number / 10) for number in range(refusals)]
    shares = day_with(served("j1"), *lost)
    assert shares["hold"].ceiling == pytest.approx(ceiling)
    assert shares["a"].is_avoidable == (ceiling >= 0.4)


def test_late_job_that_could_have_been_in_time_is_ours():
    shares = day_with(served("j1", age_s=9.0))
    assert shares["hold"].earned == pytest.approx(0.2)
    assert shares["hold"].ceiling == 1.0
    assert shares["a"].is_short
    assert shares["a"].is_avoidable


def test_job_that_is_far_too_late_earns_nothing():
    assert day_with(served("j1", age_s=30.0))["hold"].earned == 0.0


def test_larger_jobs_weigh_more():
    shares = day_with(served("j1", cores=3.0, age_s=9.0), served("j2", at=30.0))
    # Mean work of two: weights of 0.3 + 0.7 * 1.5 and 0.3 + 0.7 * 0.5.
    assert shares["hold"].earned == pytest.approx((1.35 * 0.2 + 0.65) / 2)


def test_refused_job_has_the_work_that_its_refusal_logged():
    shares = day_with(served("j1", cores=1.0), refused("r1", work_core_s=12.0))
    # Works of 4 and 12 core-seconds.
    assert shares["hold"].ceiling == pytest.approx(0.65 / 2)


def test_job_that_is_cancelled_before_it_could_end_is_not_owed():
    cancel = event(
        6.0, "call_answered", "frontend-a-1", path="/q0/j1", verb="cancel",
        answer="cancelled", state="", took_ms=1.0, patience_s=3.0,
    )  # fmt: skip
    events = [one for one in served("j1", age_s=9.0) if one[0] < 6.0]
    assert "hold" not in day_with(events, extra=[cancel])


def test_cancelled_job_that_could_have_ended_before_counts_in_the_ceiling():
    cancel = event(
        12.0, "call_answered", "frontend-a-1", path="/q0/j1", verb="cancel",
        answer="cancelled", state="", took_ms=1.0, patience_s=3.0,
    )  # fmt: skip
    running = [one for one in served("j1", age_s=9.0) if one[0] < 12.0]
    shares = day_with(running, refused("r1"), extra=[cancel])
    assert (shares["hold"].earned, shares["hold"].ceiling) == (0.0, 0.5)


def test_jobs_from_before_the_traffic_are_not_counted():
    assert day_with(served("j1", at=-6.0, age_s=9.0), served("j2"))["hold"].owed == 1


def test_kind_of_a_refused_job_is_that_of_its_queue():
    unknown = refused("r1", priority=1, work_core_s=None)
    shares = day_with(served("j1"), served("d1", priority=1), unknown)
    assert shares["draft"].ceiling == 0.5


def test_job_that_ends_after_the_day_is_not_owed():
    shares = day_with(served("j1", at=59.0, age_s=4.5), served("j2"))
    assert shares["hold"].owed == 1


# Its caller has no right to be served, which a silent store kept from being told.
def test_job_that_is_refused_and_comes_back_with_an_invalid_key_is_not_owed():
    late = renamed([answered(23.0, "unknown-key")], "r1")
    shares = day_with(served("j1"), [*refused("r1"), *late])
    assert (shares["hold"].ceiling, shares["hold"].owed) == (1.0, 1)


def test_requests_that_reached_no_entry_are_those_of_the_summary_only():
    summary = {"hold": Summary(3, 2, 0.3), "a": Summary(2, 1, 0.5)}
    shares = day_with(served("j1"), refused("r1"), summary=summary)
    assert shares["hold"].unreached == 1
    assert shares["hold"].ceiling == pytest.approx(1 / 3)
    assert shares["a"].unreached == 0


def test_share_that_the_benchmark_counted_goes_first():
    summary = {"hold": Summary(1, 0, 0.66), "a": Summary(2, 0, 1.0)}
    shares = day_with(served("j1", age_s=9.0), summary=summary)
    assert (shares["hold"].earned, shares["hold"].ceiling) == (0.66, 1.0)
    assert (shares["hold"].is_complete, shares["a"].is_complete) == (True, False)


def test_site_file_is_read(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text(SITE % 1)
    values = read_site_values(path)
    assert values.kinds[1] == KindValue("draft", 1, 3.0, 0.9)
    assert values.floors == {"day": (0.2, 0.37), "calm": (None, None)}
    assert values.zones == ("a", "b")
    assert values.last_end_s == 63.0


def test_site_file_with_two_kinds_of_one_priority_is_refused(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text(SITE % 0)
    with pytest.raises(ValueError, match="two kinds of priority 0"):
        read_site_values(path)
