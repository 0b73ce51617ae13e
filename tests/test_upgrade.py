"""The compatibility check between builds, run with this build as both.

Guards against a check that fails for identical builds, or that passes although a
task runs twice.
"""

from samphiredeal.standins import upgrade


def test_scheduler_moves_between_entries(tmp_path):
    upgrade.hand_over(str(tmp_path), upgrade.THIS_BUILD, upgrade.THIS_BUILD)


def test_overlapping_runs_are_a_fault():
    events = [
        (1.0, "start", "a.0.0.0", 1, ""),
        (2.0, "start", "a.0.0.0", 2, ""),
        (3.0, "end", "a.0.0.0", 1, "done"),
    ]
    assert upgrade.faults_of(events) == ["a.0.0.0 is executed by runs [1, 2]"]


def test_second_completion_is_a_fault():
    events = [
        (1.0, "start", "a.0.0.0", 1, ""),
        (2.0, "end", "a.0.0.0", 1, "done"),
        (2.0, "start", "a.0.0.0", 2, ""),
        (3.0, "end", "a.0.0.0", 2, "done"),
    ]
    assert upgrade.faults_of(events) == ["a.0.0.0 completed twice"]


def test_run_that_replaces_an_ended_one_is_no_fault():
    events = [
        (1.0, "start", "a.0.0.0", 1, ""),
        (2.0, "end", "a.0.0.0", 1, "lapsed"),
        (2.0, "start", "a.0.0.0", 2, ""),
        (3.0, "end", "a.0.0.0", 2, "done"),
    ]
    assert upgrade.faults_of(events) == []
