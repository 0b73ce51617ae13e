"""The faults that the stand-in for a worker injects into itself.

Guards against tests that pass because a fault was not injected, or because a new life
of the stand-in knew something of the last one.
"""

import http.client
import json
import time

import pytest

from samphiredeal.standins.graph_cluster import GraphCluster
from samphiredeal.standins.launch import HOST, STARTUP_TIMEOUT_S, wait_for

NAME = "worker-0"
TASK = "a1.0.0.0"
START = {"task": TASK, "run": 1, "spec": "30", "deadline-ms": 5000, "fencing-token": 7}
# A poll with a token would tell it to a new life.
POLL = {"fencing-token": 0, "last-seen": 0}


@pytest.fixture
def cluster(tmp_path):
    cluster = GraphCluster(str(tmp_path))
    try:
        # No agent hears the heartbeats.
        cluster.start_standin(
            "graph-worker", NAME, zone="zone-0", agent_address=f"{HOST}:1"
        )
        yield cluster
    finally:
        cluster.close()


def call(cluster, path, document, worker_id):
    """Call the worker as its agent does; return the status and the fields."""
    port = int(cluster.url_of(NAME).rpartition(":")[2])
    connection = http.client.HTTPConnection(HOST, port, timeout=3)
    headers = {"X-Expected-Instance": worker_id}
    connection.request("POST", path, json.dumps(document), headers)
    answer = connection.getresponse()
    return answer.status, json.loads(answer.read())


def poll(cluster, worker_id=f"i-{NAME}"):
    return call(cluster, "/api/hold", POLL, worker_id)


def start_a_run(cluster):
    assert call(cluster, "/api/run-start", START, f"i-{NAME}")[0] == 200
    return poll(cluster)[1]


def answers(cluster, worker_id):
    """Return whether the worker listens under an id."""
    try:
        return poll(cluster, worker_id)[0] == 200
    except OSError:
        return False


# Guards against a new life that has the runs, ends or clock of the last one.
@pytest.mark.parametrize("offset_ms", [4000, -4000])
@pytest.mark.parametrize("worker_id", [f"i-{NAME}", "i-other"])
def test_new_life_knows_nothing_of_the_last_one(cluster, worker_id, offset_ms):
    before = start_a_run(cluster)
    time.sleep(0.5)
    cluster.disturb_worker(NAME, "restart", id=worker_id, born_offset_ms=offset_ms)
    time.sleep(0.02)
    wait_for(
        lambda: answers(cluster, worker_id), STARTUP_TIMEOUT_S, "the new life answers"
    )
    status, after = poll(cluster, worker_id)
    assert status == 200
    assert after["born"] == before["born"] + offset_ms
    assert after["running"] == after["ended"] == []
    assert after["clock-ms"] < 500
    # The new life has seen neither the run nor the token.
    lower = {**START, "fencing-token": 1}
    assert call(cluster, "/api/run-start", lower, worker_id)[0] == 200
    kinds = [kind for _, kind, *_ in cluster.history(NAME)]
    assert kinds == ["start", "end", "start"]


# Guards against a change of the id that ends runs or is answered under both ids.
def test_renamed_worker_goes_on_with_its_runs(cluster):
    before = start_a_run(cluster)
    cluster.disturb_worker(NAME, "rename", id="i-other")
    time.sleep(0.1)
    assert poll(cluster)[0] == 421
    status, after = poll(cluster, "i-other")
    assert status == 200
    assert after["born"] == before["born"]
    assert [run[:2] for run in after["running"]] == [[TASK, 1]]


# Guards against a closed listener that still accepts, or that ends the runs.
def test_closed_listener_refuses_and_runs_go_on(cluster):
    start_a_run(cluster)
    cluster.disturb_worker(NAME, "close", seconds=0.5)
    time.sleep(0.1)
    with pytest.raises(ConnectionRefusedError):
        poll(cluster)
    wait_for(lambda: answers(cluster, f"i-{NAME}"), 2.0, "it listens again")
    assert [run[:2] for run in poll(cluster)[1]["running"]] == [[TASK, 1]]


# Guards against lists that have a start time while it should be missing, or none after.
def test_lists_have_no_start_time_for_a_while(cluster):
    cluster.disturb_worker(NAME, "omit_born", seconds=0.5)
    time.sleep(0.1)
    assert "born" not in poll(cluster)[1]
    time.sleep(0.6)
    assert "born" in poll(cluster)[1]


# Guards against an end that counts as recorded before the agent has confirmed it.
def test_end_is_recorded_once_the_agent_confirms_it(cluster):
    start_a_run(cluster)
    stop = {"task": TASK, "run": 1, "fencing-token": 7}
    assert call(cluster, "/api/run-stop", stop, f"i-{NAME}")[0] == 200
    poll(cluster)
    assert cluster.recorded_ends(NAME) == []
    call(cluster, "/api/hold", {**POLL, "last-seen": 1}, f"i-{NAME}")
    assert [end[1:] for end in cluster.recorded_ends(NAME)] == [[TASK, 1, "stopped"]]
