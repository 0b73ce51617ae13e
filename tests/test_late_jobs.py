"""Classification of jobs that were not served in time, by the log of a day."""

import pytest

from bench.late import Day, class_of


def answered(at, answer, node="e0", verb="submit", state="", patience_s=3.0):
    fields = {"message_type": "call_answered", "verb": verb, "path": "/q/a1"}
    fields |= {"answer": answer, "state": state, "patience_s": patience_s}
    return at, node, {**fields, "took_ms": 0.0}


def event(at, kind, node="e0", **fields):
    return at, node, {"message_type": kind, **fields}


def started(at, node="e0"):
    return [
        event(at, "entry_started", node),
        event(at + 0.1, "configuration_in_force", node),
    ]


def store_unresponsive(begin, end, node="e0"):
    return [
        event(begin + 1.0, "follower_failing", node, table="work", age_s=1.0),
        event(end, "follower_regained", node, table="work", age_s=end - begin),
    ]


def completed(at, read_at, objective_s=4.0, storing_s=0.0):
    ended = {"state": "completed", "objective_s": objective_s, "storing_s": storing_s}
    return [
        answered(at, "accepted"),
        event(read_at, "job_ended", job="a1", **ended),
        answered(read_at, "state", verb="look", state="completed"),
    ]


def classify(*events):
    day = Day(sorted(events, key=lambda one: one[0]))
    return class_of(day.jobs["a1"], day)


def test_refusal_is_unavoidable_if_no_entry_reaches_the_store_before_the_deadline():
    refused = answered(19.0, "not-done")
    assert classify(*started(0), *store_unresponsive(18, 22.2), refused) == "outage"


def test_refusal_is_avoidable_if_the_store_returns_before_the_deadline():
    refused = [answered(20.0, "not-done"), event(23.0, "job_seen", job="b", unseen_s=0)]
    assert classify(*started(0), *store_unresponsive(18, 22.2), *refused) == "refused"


def test_refusal_is_avoidable_if_another_entry_reaches_the_store():
    both = [*started(0), *started(0, "e1"), event(30.0, "scheduler_missed", "e1")]
    refused = answered(19.0, "not-done")
    assert classify(*both, *store_unresponsive(18, 22.2), refused) == "refused"


def test_store_of_a_stopping_entry_does_not_count_for_callers():
    stopping = [event(18.0, "drain_begun", "e1"), event(30.0, "drain_ended", "e1")]
    both = [*started(0), *started(0, "e1"), *stopping]
    refused = answered(19.0, "not-done")
    assert classify(*both, *store_unresponsive(17, 22.2), refused) == "outage"


def test_store_of_a_starting_entry_counts_only_with_a_configuration_in_force():
    refused = [answered(10.0, "not-done"), answered(12.9, "not-done", patience_s=0.1)]
    late_start = [event(12.0, "entry_started"), event(13.2, "configuration_in_force")]
    assert classify(*late_start, *refused) == "outage"


def test_job_in_time_has_no_class():
    assert classify(*started(0), *completed(5.0, 8.0)) is None


@pytest.mark.parametrize(
    "cause, logged",
    [
        ("unseen", event(6.0, "job_seen", job="a1", unseen_s=1.5)),
        ("room", event(6.0, "unit_placed", job="a1", waited_s=2.0)),
        ("work", event(6.0, "unit_placed", job="a1", waited_s=0.0)),
    ],
)
def test_late_job_has_the_class_of_its_longest_delay(cause, logged):
    assert classify(*started(0), *completed(5.0, 12.0), logged) == cause


@pytest.mark.parametrize(
    "cause, reason",
    [("hung", "it stands still"), ("displaced", "its room is reclaimed")],
)
def test_stopped_run_counts_for_the_reason_of_its_stop(cause, reason):
    run = {"task": "a1.0.0.0", "run": 1}
    events = [
        event(5.1, "run_start", outcome="started", **run),
        event(7.0, "unit_stopped", job="a1", unit="0.0.0", run=1, reason=reason),
        event(7.2, "run_ended", how="stopped", **run),
    ]
    assert classify(*started(0), *completed(5.0, 12.0), *events) == cause


def test_job_seen_by_a_second_scheduler_has_waited_since_the_first():
    seen = [
        event(5.1, "job_seen", job="a1", unseen_s=0.01),
        event(9.0, "job_seen", job="a1", unseen_s=4.0),
        event(9.1, "unit_placed", job="a1", waited_s=0.2),
    ]
    assert classify(*started(0), *completed(5.0, 12.0), *seen) == "room"


def test_completion_that_waits_for_the_store_is_an_outage():
    assert classify(*started(0), *completed(5.0, 12.0, storing_s=3.0)) == "outage"
