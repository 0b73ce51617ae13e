"""The compatibility check between builds: its steps, its checks, and a part of it.

With this build as both, it guards against a check that fails for identical builds, or
that passes although a task runs twice. Beside the last landing, whose sources are in
the history of the repository, it guards against a build that cannot be rolled out or
back (issue 58).
"""

import random
import signal
import subprocess

import pytest

from samphiredeal.standins import (
    landings,
    upgrade,
    upgrade_cluster,
    upgrade_jobs,
    upgrade_roll,
)

SEED = 1


def test_scheduler_moves_between_entries(tmp_path):
    upgrade.hand_over(str(tmp_path), upgrade.THIS_BUILD, upgrade.THIS_BUILD)


def test_overlapping_runs_are_a_fault():
    events = [
        (1.0, "start", "a.0.0.0", 1, ""),
        (2.0, "start", "a.0.0.0", 2, ""),
        (3.0, "end", "a.0.0.0", 1, "done"),
    ]
    assert upgrade_cluster.faults_of(events) == ["a.0.0.0 is executed by runs [1, 2]"]


def test_second_completion_is_a_fault():
    events = [
        (1.0, "start", "a.0.0.0", 1, ""),
        (2.0, "end", "a.0.0.0", 1, "done"),
        (2.0, "start", "a.0.0.0", 2, ""),
        (3.0, "end", "a.0.0.0", 2, "done"),
    ]
    assert upgrade_cluster.faults_of(events) == ["a.0.0.0 completed twice"]


def test_run_that_replaces_an_ended_one_is_no_fault():
    events = [
        (1.0, "start", "a.0.0.0", 1, ""),
        (2.0, "end", "a.0.0.0", 1, "lapsed"),
        (2.0, "start", "a.0.0.0", 2, ""),
        (3.0, "end", "a.0.0.0", 2, "done"),
    ]
    assert upgrade_cluster.faults_of(events) == []


# Guards against a number that a scheduler of another build, which could not read the
# rows of a job, has used once more.
def test_second_run_of_one_number_is_a_fault():
    events = [
        (1.0, "start", "a.0.0.0", 1, ""),
        (2.0, "end", "a.0.0.0", 1, "lapsed"),
        (3.0, "start", "a.0.0.0", 1, ""),
        (4.0, "end", "a.0.0.0", 1, "done"),
    ]
    assert upgrade_cluster.faults_of(events) == ["a.0.0.0 has two runs 1"]


# Guards against a play that blames a build for what only stand-in workers do.
@pytest.mark.parametrize(("last_start", "is_told"), [(2.0, False), (5.0, True)])
def test_gang_that_is_done_before_its_last_start_is_told(last_start, is_told):
    events = [
        (1.0, "start", "a1.0.0.0", 1, ""),
        (last_start, "start", "a1.0.0.1", 1, ""),
        (4.0, "end", "a1.0.0.0", 1, "done"),
        (1.0, "start", "b1.0.0.0", 1, ""),
        (2.0, "end", "b1.0.0.0", 1, "done"),
    ]
    told = upgrade_cluster.gangs_unlike_the_platform(events, "a", 2)
    line = "the stand-ins end a1.0.0 run 1 before all its members have started"
    assert told == ([line] if is_told else [])


@pytest.mark.parametrize("revision", landings.LANDINGS)
def test_landing_runs_its_own_sources(revision, tmp_path):
    command = landings.build(revision, folder=tmp_path)
    code = "import samphiredeal.policy.graphs.records as one; print(one.__file__)"
    asked = subprocess.run([*command[:3], "-c", code], capture_output=True, text=True)
    assert asked.stdout.startswith(str(tmp_path / revision)), asked


# Guards against a clone without history in which the check would pass unplayed.
def test_missing_landing_is_told(tmp_path):
    with pytest.raises(landings.LandingMissing, match="has to be a full clone"):
        landings.build("0" * 40, folder=tmp_path)


def test_pass_has_all_steps_in_an_order_by_its_seed():
    names = ["entry-0", "entry-1", "agent-worker-0"]

    def plan(seed):
        return upgrade_jobs.plan_pass(random.Random(seed), names, 0)

    assert plan(1) == plan(1) != plan(2)
    for seed in range(20):
        steps = plan(seed)
        assert sorted(s.arguments[0] for s in steps if s.act == "replace") == (
            sorted(names)
        )
        assert {step.arguments[0] for step in steps if step.act == "move"} == {
            signal.SIGTERM,
            signal.SIGKILL,
            signal.SIGSTOP,
        }
        others = {step.act for step in steps} - {"replace", "move"}
        assert others == {
            "cancel",
            "cancel_ended",
            "fail_gang",
            "submit",
            "submit_large",
        }


def test_processes_are_replaced_in_turn_beside_the_last_landing(tmp_path):
    """Forward and back; ``make upgrade`` plays more of it."""
    landing = landings.build()
    upgrade_roll.roll(str(tmp_path), landing, upgrade.THIS_BUILD, SEED, passes=2)
