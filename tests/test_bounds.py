"""Earliest ends that anybody could have reached, by the log of a day."""

import pytest
from test_late_jobs import answered, event, started, store_unresponsive

from bench.bound import BoundedDay, RunTimes, advance, verdict

STEP = (4.0, 1, False, ())


def job_events(read_at, steps=(STEP,), at=5.0, took_s=4.0, worker="w1"):
    """Return the events of a job of which only the last run of each step ended."""
    seen = {"unseen_s": 0.0, "stretch": 1.5, "target_s": 0.25, "steps": list(steps)}
    events = [answered(at, "accepted"), event(at, "job_seen", job="a1", **seen)]
    ended_at = read_at - 0.1
    for number in reversed(range(len(steps))):
        run = {"task": f"a1.0.{number}.0", "run": 1}
        events += [
            event(ended_at - took_s, "run_start", outcome="started", **run),
            event(ended_at, "run_ended", how="done", worker=worker, **run),
        ]
        ended_at -= took_s
    ended = {"state": "completed", "objective_s": 6.25, "storing_s": 0.0}
    return [
        *events,
        event(read_at, "job_ended", job="a1", **ended),
        answered(read_at, "state", verb="look", state="completed"),
    ]


def whole_loss(begin, end, worker_born_at=None):
    """Return the events of a loss of all VMs, and of the workers if they are born."""
    events = [event(begin, "beat_unanswered"), *started(end)]
    events.append(event(end + 0.1, "agent_started", "w1"))
    if worker_born_at is not None:
        life = f"i-w1/{round(worker_born_at * 1000)}"
        line = event(end + 0.2, "worker_life", "w1", life=life, timestamp=end + 0.2)
        events.append(line)
    return events


def judge(*events):
    events = sorted([*started(0), *events], key=lambda one: one[0])
    times = RunTimes()
    times.read(0, events)
    times.settle()
    return verdict("a1", BoundedDay(events), times)


def test_job_in_time_has_no_verdict():
    assert judge(*job_events(read_at=9.5)) is None


def test_late_job_that_could_have_begun_at_once_is_ours():
    assert ": ours, possible after 4.00 s" in judge(*job_events(read_at=14.0))


def test_late_job_that_was_cut_by_a_loss_of_all_workers_is_nobodys():
    late = job_events(read_at=14.0)
    assert ": nobody's, possible after 8.00 s" in judge(*late, *whole_loss(8, 9, 9.0))


def test_loss_of_all_vms_without_the_workers_does_not_cut_the_job():
    late = job_events(read_at=14.0)
    assert ": ours" in judge(*late, *whole_loss(8, 9))


def test_steps_follow_one_another():
    steps = [STEP, (4.0, 1, False, (0,))]
    line = judge(*job_events(read_at=20.0, steps=steps))
    assert "possible after 8.00 s, objective 12.25 s" in line


def test_late_job_of_an_outage_begins_at_the_return_of_the_store():
    outage = store_unresponsive(3.0, 6.0)
    refused = answered(4.0, "not-done")
    line = judge(*outage, refused, *job_events(read_at=14.0, at=7.0))
    assert "possible after 6.00 s" in line


def test_refused_job_is_nobodys_if_no_entry_could_store_it():
    outage = store_unresponsive(18, 22.2)
    assert judge(*outage, answered(19.0, "not-done")).startswith("refused: nobody's")


def test_refused_job_is_ours_if_an_entry_could_store_it():
    refused = [answered(20.0, "not-done"), event(23.0, "beat_unanswered")]
    assert judge(*store_unresponsive(18, 22.2), *refused).startswith("refused: ours")


def test_caller_whose_key_was_withdrawn_meanwhile_is_owed_nothing():
    refused = [answered(20.0, "not-done"), answered(22.5, "unknown-key")]
    assert judge(*store_unresponsive(18, 22.2), *refused) is None


@pytest.mark.parametrize(
    "at, checkpointing, ended_at",
    [(1.0, False, 5.0), (5.0, False, 13.0), (5.0, True, 10.0), (8.5, False, 13.0)],
)
def test_work_ends_after_a_loss_of_all_by_what_it_had_saved(
    at, checkpointing, ended_at
):
    spans = BoundedDay(
        sorted([*started(0), *whole_loss(8, 9, 9.0)], key=lambda one: one[0])
    ).dark_spans
    assert abs(advance(at, 4.0, checkpointing, spans) - ended_at) < 1e-6


# A job whose tasks were done in a silent store was judged by their end alone: 1.85 s
# of 3.03 s, told after 4.3 s (inc-short, fourth report, trouble-2 --seed 71003).
def test_end_in_an_outage_is_told_at_the_return_of_the_store():
    outage = store_unresponsive(8.0, 16.0)
    line = judge(*outage, *job_events(read_at=17.0))
    assert ": nobody's, possible after 11.0" in line


def test_end_while_no_entry_is_up_is_told_at_the_return_of_the_first():
    dark = whole_loss(8.5, 16.0)
    line = judge(*dark, *job_events(read_at=22.0))
    # The entry also has to hear the store and to store the end.
    assert ": nobody's, possible after 11.10" in line


def test_end_before_an_outage_is_told_at_once():
    outage = store_unresponsive(9.5, 16.0)
    line = judge(*outage, *job_events(read_at=17.0))
    assert ": ours, possible after 4.00 s" in line


# A job of more tasks than fit was judged as if all ran at once.
def test_step_that_is_wider_than_all_workers_takes_rounds():
    step = (4.0, 12, False, (), 11)
    line = judge(*job_events(read_at=60.0, steps=[step]))
    # Two tasks at once are expected, so six waves.
    assert "possible after 8.00 s, objective 36.25 s" in line
