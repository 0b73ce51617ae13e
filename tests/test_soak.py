"""A short soak with a fixed seed and with seeds that failed before.

Guards, by the answers to callers and the runs on workers, against accepted jobs that
do not end, tasks with two runs at a time, refused jobs that run, and workers over
their capacity.
"""

import socket
import time

import pytest

from samphiredeal.standins import soak
from samphiredeal.standins.launch import HOST, wait_for

SECONDS = 12.0
# Seeds that failed, with the cause.
FAILED_SEEDS = (
    # Fault of the check: a paused entry applied a cancel after its caller timed out.
    349,
    # Evicted agents whose new links lost the first message were never asked again.
    35009,
)


@pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
def test_guarantees_hold_under_faults(seed, tmp_path, capsys):
    assert soak.main(seed, SECONDS, str(tmp_path)) == 0, capsys.readouterr().out


@pytest.fixture
def cluster(tmp_path):
    cluster = soak.SoakCluster(str(tmp_path))
    try:
        cluster.start_standin("platform", "platform")
        cluster.configure()
        cluster.start_graph_entry("entry-0", "zone-0")
        cluster.start_graph_worker("worker-0", "zone-0")
        cluster.wait_until_ready()
        yield cluster
    finally:
        cluster.close()


def run_job(cluster, job_id):
    """Submit a short job; return a function that returns whether it has started."""
    step = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 300}
    document = {"spec": "0.3", "steps": [step]}
    reply = cluster.call("entry-0", "POST", f"/normal/{job_id}", document)
    assert reply.status == 200
    return lambda: f"{job_id}.0.0.0" in cluster.start_counts("worker-0")


# Guards against proxies that no traffic passes, whose faults would not be felt.
@pytest.mark.parametrize("way", ["link-agent-worker-0", "way-worker-0"])
def test_fault_of_a_connection_is_felt(cluster, way):
    wait_for(run_job(cluster, "a1"), 10, "a job starts")
    cluster.set_fault(way, "reset")
    started = run_job(cluster, "a2")
    time.sleep(1.5)
    assert not started()
    cluster.set_fault(way, "pass")
    wait_for(started, 20, "the job starts once the fault is over")


# Guards against heartbeats that reach the agent beside their proxy.
def test_heartbeats_pass_their_proxy(cluster):
    wait_for(run_job(cluster, "a1"), 10, "a job starts")
    cluster.set_fault("heartbeat-worker-0", "reset")
    cluster.disturb_worker("worker-0", "restart", id="i-new", born_offset_ms=5000)
    started = run_job(cluster, "a2")
    time.sleep(3.5)
    assert not started()
    cluster.set_fault("heartbeat-worker-0", "pass")
    wait_for(started, 20, "the job starts once the new life is heard")


# Guards against a closed proxy that accepts connections, or ends those that are open.
def test_closed_proxy_refuses_new_connections_only(cluster):
    port = int(cluster.url_of("way-worker-0").rpartition(":")[2])
    with socket.create_connection((HOST, port)) as before:
        time.sleep(0.1)
        cluster.set_fault("way-worker-0", "closed")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((HOST, port))
        before.sendall(b"GET /runs HTTP/1.1\r\nHost: x\r\n\r\n")
        assert before.recv(8) == b"HTTP/1.1"
    cluster.set_fault("way-worker-0", "pass")
    socket.create_connection((HOST, port)).close()
