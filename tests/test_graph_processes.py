"""Job graphs through real processes and sockets, from callers to workers.

The steps of a job run once and in order, also if the scheduler is killed or frozen or
the agents restart. Planned stops exit with status 0. Wrong keys, queues and bodies are
refused with different status codes.
"""

import signal

import pytest

from samphiredeal.standins import graph_demo
from samphiredeal.standins.graph_cluster import start_small
from samphiredeal.standins.launch import wait_for

TIMEOUT_S = 40
STEP = {"count": 3, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
JOB = {"spec": "1.0", "steps": [STEP, {**STEP, "after": [0]}]}
# Each member needs a worker of its own.
GANG = {"gang": True, "gpu": 8}
LONG = {"spec": "5.0", "steps": [{**STEP, "estimated-ms": 5000}]}


@pytest.fixture
def cluster(tmp_path):
    cluster = start_small(str(tmp_path))
    yield cluster
    cluster.close()


def submit(cluster, entry, job_id, document):
    path = f"/normal/{job_id}"

    def accepted():
        return cluster.call(entry, "POST", path, document).status == 200

    wait_for(accepted, TIMEOUT_S, f"{job_id} is accepted")


def wait_for_state(cluster, entry, job_id, state):
    def reached():
        reply = cluster.call(entry, "GET", f"/normal/{job_id}")
        return reply.document.get("state") == state

    wait_for(reached, TIMEOUT_S, f"{job_id} is {state}")


def starts(cluster):
    counts = {}
    for number in range(3):
        for task, count in cluster.start_counts(f"worker-{number}").items():
            counts[task] = counts.get(task, 0) + count
    return counts


def test_job_runs_once_and_every_entry_returns_its_state(cluster):
    submit(cluster, "entry-0", "a1", JOB)
    submit(cluster, "entry-1", "a1", JOB)
    for entry in cluster.entries:
        wait_for_state(cluster, entry, "a1", "completed")
    assert sorted(starts(cluster).values()) == [1] * 6


def test_refusals_have_different_status_codes(cluster):
    call = cluster.call
    assert call("entry-0", "GET", "/none/a1").status == 404
    assert call("entry-0", "GET", "/normal/a1", key="wrong").status == 401
    assert call("entry-0", "GET", "/normal/a1").status == 410
    bad = call("entry-0", "POST", "/normal/a1", {"steps": [{"count": "x"}]})
    assert bad.status == 400 and "count" in bad.document["error"]


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM])
def test_running_job_survives_its_scheduler(cluster, number):
    submit(cluster, "entry-0", "a1", LONG)
    wait_for_state(cluster, "entry-0", "a1", "running")
    old = cluster.scheduler()
    other = next(entry for entry in cluster.entries if entry != old)
    cluster.signal(old, number)
    wait_for_state(cluster, other, "a1", "completed")
    assert list(starts(cluster).values()) == [1] * 3
    if number == signal.SIGTERM:
        assert cluster.wait(old) == 0


def test_running_job_survives_a_restart_of_the_agents(cluster):
    submit(cluster, "entry-0", "a1", LONG)
    wait_for_state(cluster, "entry-0", "a1", "running")
    for number in range(3):
        name = f"agent-worker-{number}"
        cluster.signal(name, signal.SIGKILL)
        cluster.wait(name)
        cluster.start_again(name)
    wait_for_state(cluster, "entry-0", "a1", "completed")
    assert list(starts(cluster).values()) == [1] * 3


# Guards against a job that is shown as failed after one run of its gang: all members
# fail, their ends come in two reports, and the scheduler or all entries are killed
# between these.
@pytest.mark.parametrize("killed", ["the scheduler", "all entries"])
def test_gang_that_fails_in_all_members_is_run_again(cluster, killed):
    for number in range(3):
        worker = f"worker-{number}"
        assert cluster.disturb_worker(worker, "fail_starts", count=1, after_s=1.0)
    submit(cluster, "entry-0", "a1", {"spec": "1.0", "steps": [{**STEP, **GANG}]})
    wait_for(lambda: len(starts(cluster)) == 3, TIMEOUT_S, "the gang has started")
    unheard = ("agent-worker-1", "agent-worker-2")
    for agent in unheard:
        cluster.signal(agent, signal.SIGSTOP)
    wait_for(lambda: cluster.recorded_ends("worker-0"), TIMEOUT_S, "an end is recorded")
    entries = [cluster.scheduler()] if killed == "the scheduler" else cluster.entries
    for entry in entries:
        cluster.signal(entry, signal.SIGKILL)
    for agent in unheard:
        cluster.signal(agent, signal.SIGCONT)
    for entry in entries:
        cluster.wait(entry)
        cluster.start_again(entry)
    for entry in cluster.entries:
        wait_for_state(cluster, entry, "a1", "completed")
    assert list(starts(cluster).values()) == [2] * 3


def test_process_that_cannot_listen_exits_with_a_reason(cluster):
    """A process that kept running would be a node without a reachable port."""
    cluster.start_again("entry-0 again", "entry-0")
    assert cluster.wait("entry-0 again") == 1
    assert "CannotListenError" in cluster.log_of("entry-0 again")


def test_cancelled_job_stops(cluster):
    submit(cluster, "entry-0", "a1", {**LONG, "spec": "60"})
    wait_for_state(cluster, "entry-0", "a1", "running")
    assert cluster.call("entry-1", "DELETE", "/normal/a1").status == 200
    wait_for_state(cluster, "entry-0", "a1", "cancelled")


def test_demo_passes(capsys):
    assert graph_demo.main() == 0, capsys.readouterr().err
