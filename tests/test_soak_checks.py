"""The checks of the soak find violations that are made up, and pass what is allowed.

Guards against a soak that is green because a check sees nothing, and against outages
that never begin or never end.
"""

import collections
import random

import pytest

from samphiredeal.standins import soak_checks, soak_faults
from samphiredeal.standins.launch import wait_for
from samphiredeal.standins.soak_calls import StateAnswer
from samphiredeal.standins.soak_checks import Event, Record, RecordedEnd

ACCELERATORS = 2
TASK = "a1.0.0.0"
ENTRIES = ["entry-0", "entry-1", "entry-2"]
WORKERS = ["worker-0", "worker-1"]


def start(at, run=1, task=TASK, worker="worker-0"):
    return Event(at, "start", task, run, "", worker)


def end(at, run=1, how="done", worker="worker-0"):
    return Event(at, "end", TASK, run, how, worker)


def said(asked_at, state, entry="entry-0", status=200, answered_at=None):
    answered_at = asked_at + 0.01 if answered_at is None else answered_at
    return StateAnswer(asked_at, answered_at, entry, "a1", status, state)


def violations(events=(), recorded_ends=(), answers=(), refused=()):
    """Return the violations; a1 was accepted at 1.0."""
    record = Record(
        list(events), list(recorded_ends), {"a1": 1.0}, set(refused), list(answers)
    )
    return soak_checks.find_violations(record, ACCELERATORS)


def assert_one(lines, text):
    assert len(lines) == 1, lines
    assert text in lines[0]


def test_undisturbed_job_is_no_violation():
    answers = [
        said(at, state, entry)
        for at, state in ((2.0, "queued"), (3.0, "running"), (6.0, "completed"))
        for entry in ENTRIES
    ]
    recorded = [RecordedEnd(5.1, TASK, 1, "done")]
    assert not violations([start(2.5), end(5.0)], recorded, answers)


def test_run_beside_a_run_is_found():
    lines = violations([start(2.0), start(3.0, run=2, worker="worker-1")])
    assert_one(lines, "beside")


def test_run_after_a_run_at_the_same_time_is_allowed():
    assert not violations([start(2.0), start(3.0, run=2), end(3.0, how="crashed")])


def test_overfull_worker_is_found():
    events = [start(2.0 + number, task=f"a1.0.0.{number}") for number in range(3)]
    assert_one(violations(events), "overfull")
    assert not violations(events[:2])


def test_refused_job_that_runs_is_found():
    assert_one(violations([start(2.0)], refused=["a1"]), "refused")


@pytest.mark.parametrize("state", ["completed", "failed"])
def test_start_after_a_told_end_is_found(state):
    answers = [said(5.0, state, "entry-1", answered_at=5.2)]
    assert_one(violations([start(5.3, run=2)], answers=answers), f"said {state}")
    # The answer may have been on its way as the task started.
    assert not violations([start(5.1, run=2)], answers=answers)


def test_first_told_end_counts():
    answers = [said(9.0, "completed"), said(5.0, "completed", "entry-1")]
    assert_one(violations([start(6.0, run=2)], answers=answers), "said completed")


@pytest.mark.parametrize("state", ["queued", "running", "cancelled"])
def test_start_after_other_states_is_allowed(state):
    assert not violations([start(6.0, run=2)], answers=[said(5.0, state)])


def test_start_after_a_recorded_end_is_found():
    recorded = [RecordedEnd(5.0, TASK, 1, "done")]
    lines = violations([start(5.1, run=2, worker="worker-1")], recorded)
    assert_one(lines, "was recorded")
    assert not violations([start(4.9)], recorded)


@pytest.mark.parametrize("how", ["lapsed", "stopped", "failed"])
def test_start_after_another_recorded_end_is_allowed(how):
    assert not violations([start(5.1, run=2)], [RecordedEnd(5.0, TASK, 1, how)])


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("running", "queued"),
        ("completed", "running"),
        ("failed", "queued"),
        ("completed", "cancelled"),
        ("cancelled", "completed"),
        ("failed", "completed"),
    ],
)
def test_state_that_falls_back_at_an_entry_is_found(before, after):
    answers = [said(5.0, before), said(5.02, after)]
    assert_one(violations(answers=answers), f"says {after}")


def test_state_that_falls_back_and_recovers_is_found():
    states = ("running", "queued", "running", "completed")
    answers = [said(5.0 + number, state) for number, state in enumerate(states)]
    assert_one(violations(answers=answers), "says queued")


def test_answers_to_overlapping_questions_may_be_received_in_any_order():
    answers = [said(5.0, "completed", answered_at=5.1), said(5.05, "running")]
    assert not violations(answers=answers)


def test_highest_of_the_earlier_answers_counts():
    # A slow answer is received after a quick one to a later question.
    answers = [
        said(5.0, "running", answered_at=6.0),
        said(5.1, "completed"),
        said(6.5, "running"),
    ]
    assert_one(violations(answers=answers), "says running")


def test_contradiction_of_another_entry_is_found_after_the_bound():
    first = said(5.0, "completed", answered_at=5.0)
    late = said(5.0 + soak_checks.MAX_CONTRADICTION_S + 0.01, "running", "entry-1")
    assert_one(violations(answers=[first, late]), "entry-0 said completed")
    in_time = late._replace(asked_at=5.0 + soak_checks.MAX_CONTRADICTION_S)
    assert not violations(answers=[first, in_time])


def test_bound_for_contradictions_is_the_documented_one():
    assert soak_checks.MAX_CONTRADICTION_S == 4.25


def test_unknown_job_is_found_after_the_bound():
    asked_at = 1.0 + soak_checks.MAX_UNKNOWN_S
    late = said(asked_at + 0.01, "", status=410)
    assert_one(violations(answers=[late]), "does not know a1")
    assert not violations(answers=[said(asked_at, "", status=410)])


def test_refusals_and_missing_responses_are_no_states():
    answers = [said(5.0, "completed")]
    answers += [said(6.0, "", status=status) for status in (0, 503, 504)]
    assert not violations(answers=answers)


def plan(seed, seconds=600.0):
    step = {"cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1500}
    return soak_faults.plan_outages(
        random.Random(seed), seconds, ENTRIES, WORKERS, step
    )


def spans(steps, kind):
    """Return (begin, end) of each fault of a kind, in seconds."""
    begun, found = collections.defaultdict(list), []
    for step in steps:
        if step.kind == kind and step.begins:
            begun[step.name].append(step.at_s)
        elif step.kind == kind:
            found.append((begun[step.name].pop(0), step.at_s))
    assert not any(begun.values())
    return found


def test_silences_last_one_to_six_seconds_and_end():
    silences = spans(plan(1), soak_faults.SILENCE)
    assert len(silences) > 50
    assert all(1.0 <= end_s - at_s <= 6.0 for at_s, end_s in silences)


def test_losses_come_in_silences_and_after_them_and_overlap():
    steps = plan(1)
    silences = spans(steps, soak_faults.SILENCE)
    downs = spans(steps, soak_faults.PROCESS)

    def is_silent(at_s):
        return any(begin_s <= at_s < end_s for begin_s, end_s in silences)

    kinds = {(is_silent(at_s), is_silent(end_s)) for at_s, end_s in downs}
    assert {(True, True), (True, False), (False, False)} <= kinds
    crashes = [step.at_s for step in steps if step.kind == soak_faults.CRASH]
    assert {is_silent(at_s) for at_s in crashes} == {True, False}
    # Power: everything at the same moment.
    lost = collections.defaultdict(set)
    for step in steps:
        if step.begins and step.kind in (soak_faults.PROCESS, soak_faults.CRASH):
            lost[step.at_s].add(step.name)
    everything = {*ENTRIES, *WORKERS, *(f"agent-{name}" for name in WORKERS)}
    assert everything in lost.values()
    assert set(ENTRIES) in lost.values()


def test_plan_depends_on_the_seed_alone():
    assert plan(1) == plan(1) != plan(2)


def record_steps():
    """Return (log, begin, end) that log the kinds and names of steps."""
    log = []
    kinds = (
        soak_faults.JOB,
        soak_faults.SILENCE,
        soak_faults.PROCESS,
        soak_faults.CRASH,
    )
    begin = dict.fromkeys(kinds, lambda step: log.append(("begin", step.name)))
    end = dict.fromkeys(kinds, lambda step: log.append(("end", step.name)))
    return log, begin, end


def test_stop_ends_what_has_begun_and_begins_nothing():
    log, begin, end_fault = record_steps()
    steps = [
        soak_faults.Step(0.0, soak_faults.SILENCE, "store"),
        soak_faults.Step(0.0, soak_faults.PROCESS, "entry-0"),
        soak_faults.Step(60.0, soak_faults.PROCESS, "entry-1"),
        soak_faults.Step(61.0, soak_faults.PROCESS, "entry-0", begins=False),
        soak_faults.Step(62.0, soak_faults.PROCESS, "entry-1", begins=False),
        soak_faults.Step(63.0, soak_faults.SILENCE, "store", begins=False),
    ]
    outages = soak_faults.Outages(steps, begin, end_fault)
    outages.start()
    wait_for(lambda: len(log) >= 2, 5, "two faults begin")
    outages.stop()
    assert log == [
        ("begin", "store"),
        ("begin", "entry-0"),
        ("end", "entry-0"),
        ("end", "store"),
    ]


def test_error_of_a_step_is_raised():
    def fail(_step):
        raise RuntimeError("no such process")

    steps = [soak_faults.Step(0.0, soak_faults.PROCESS, "entry-0")]
    outages = soak_faults.Outages(steps, {soak_faults.PROCESS: fail}, {})
    outages.start()
    with pytest.raises(RuntimeError, match="no such process"):
        outages.stop()
