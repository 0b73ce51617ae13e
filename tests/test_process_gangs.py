"""Jobs of gangs that fail whole, beside losses of real processes."""

import random

import process_gangs
import pytest
from process_gangs import SEVERAL, Setup

WORKERS = 6
GANGS = {name: SEVERAL[name] for name in ("a", "b")}
SEED = 1


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = str(tmp_path_factory.mktemp("gangs"))
    with process_gangs.running_cluster(folder, WORKERS) as cluster:
        yield cluster


# Guards against a job that is shown as failed after one run of its gang, all members of
# which failed: 20 cases that users saw with processes of their own.
@pytest.mark.parametrize(
    ("play_id", "loss"),
    [
        ("1", process_gangs.lose_nothing),
        ("2", process_gangs.freeze_scheduler),
        ("3", process_gangs.freeze_agents),
        ("4", process_gangs.silence_store_and_kill_scheduler),
    ],
)
def test_gangs_that_fail_in_one_of_two_runs_complete(cluster, play_id, loss):
    setup = Setup(GANGS, max_attempts=2, failing_runs=1)
    jobs = process_gangs.play(cluster, play_id, loss, setup, random.Random(SEED))
    assert process_gangs.violations(jobs, setup) == []
    assert all(job.failed_runs for job in jobs.values())


# Guards against attempts that a takeover forgets.
def test_gangs_that_fail_in_every_run_fail_after_two(cluster):
    setup = Setup(GANGS, max_attempts=2, failing_runs=9)
    loss = process_gangs.freeze_agents_and_kill_entries
    jobs = process_gangs.play(cluster, "5", loss, setup, random.Random(SEED))
    assert process_gangs.violations(jobs, setup) == []
    assert all("failed" in job.states for job in jobs.values())
