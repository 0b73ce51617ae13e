"""A short soak with a fixed seed and with seeds that failed before.

Guards, by the answers to callers and the runs on workers, against accepted jobs that
do not end, tasks with two runs at a time, refused jobs that run, workers over their
capacity, tasks that start after their job was told as ended, and states that fall back.
"""

import signal
import socket
import time
import urllib.error
import urllib.request

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
# Seeds whose outages show the fault of inc-twice in the code before its fix.
OUTAGE_SEEDS = (61911,)


# Their failures were seen without outages.
@pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
def test_guarantees_hold_under_faults(seed, tmp_path, capsys):
    status = soak.main(seed, SECONDS, str(tmp_path), outages=False)
    assert status == 0, capsys.readouterr().out


@pytest.mark.parametrize("seed", OUTAGE_SEEDS)
def test_guarantees_hold_when_the_store_is_silent_for_all(seed, tmp_path, capsys):
    status = soak.main(seed, SECONDS, str(tmp_path), entries=3)
    assert status == 0, capsys.readouterr().out


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


def run_job(cluster, job_id, seconds=0.3):
    """Submit a job; return a function that returns whether it has started."""
    step = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 300}
    document = {"spec": str(seconds), "steps": [step]}
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


def has_ended(cluster, task):
    """Return whether a run of a task has ended."""
    return any(
        (kind, name) == ("end", task)
        for _at, kind, name, _run, _how in cluster.history("worker-0")
    )


def state_of(cluster, job_id):
    """Return the state that a caller is told, or None."""
    reply = cluster.call("entry-0", "GET", f"/normal/{job_id}")
    return reply.document.get("state")


# Guards against a silence that the store's callers do not feel.
def test_silence_for_all_is_felt(cluster):
    wait_for(run_job(cluster, "a1", seconds=1.0), 10, "a job starts")
    cluster.set_silent(True)
    url = cluster.url_of("platform")
    for table in ("samphiredeal", "op"):
        began_at = time.monotonic()
        with pytest.raises(urllib.error.HTTPError) as refused:
            urllib.request.urlopen(f"{url}/api/rows-get?table={table}", timeout=5)
        assert refused.value.code == 503
        assert time.monotonic() - began_at > 1.0
    wait_for(lambda: has_ended(cluster, "a1.0.0.0"), 10, "its run ends")
    told = set()
    until = time.monotonic() + 2.0
    while time.monotonic() < until:
        told.add(state_of(cluster, "a1"))
    assert "completed" not in told
    cluster.set_silent(False)
    wait_for(lambda: state_of(cluster, "a1") == "completed", 10, "the end is told")


# Guards against questions that end with the first fault of an entry.
def test_states_are_asked_of_a_paused_entry_and_after_its_restart(cluster):
    wait_for(run_job(cluster, "a1"), 10, "a job starts")
    wait_for(lambda: state_of(cluster, "a1") == "completed", 10, "the job ends")
    asker = soak.StateAsker(1)
    asker.add_job("a1")
    asker.start(cluster.caller_ports)

    def is_told_after(at):
        return any(one.asked_at > at and one.state for one in list(asker.answers))

    wait_for(lambda: is_told_after(0.0), 10, "a state is told")
    cluster.hold("entry-0", signal.SIGSTOP)
    paused_at = soak.clock()
    time.sleep(1.5)
    cluster.signal("entry-0", signal.SIGCONT)
    cluster.release("entry-0")
    wait_for(lambda: is_told_after(paused_at + 0.1), 10, "a state is told after it")
    cluster.hold("entry-0", signal.SIGKILL)
    cluster.wait("entry-0")
    killed_at = soak.clock()
    cluster.release("entry-0")
    wait_for(lambda: is_told_after(killed_at), 10, "the new process tells a state")
    asker.stop()
    in_pause = [one for one in asker.answers if 0.1 < one.asked_at - paused_at < 1.5]
    assert in_pause
    # One connection gives up after 1 s, the other one has its answer after the pause.
    assert {one.status for one in in_pause if one.answered_at - paused_at < 1.4} <= {0}
    times = [event[0] for event in cluster.history("worker-0")]
    assert all(abs(at - paused_at) < 60 for at in times)


# Guards against a process that one fault starts again while another holds it.
def test_process_starts_again_once_no_fault_holds_it(cluster):
    before = cluster.processes["entry-0"]
    cluster.hold("entry-0", signal.SIGSTOP)
    cluster.hold("entry-0", signal.SIGKILL)
    cluster.wait("entry-0")
    cluster.release("entry-0")
    assert cluster.restart_exited() == []
    assert cluster.processes["entry-0"] is before
    cluster.release("entry-0")
    assert cluster.processes["entry-0"] is not before
    wait_for(lambda: cluster.is_ready("entry-0"), 20, "entry-0 is ready")


# Guards against a process that ends by itself and is started again unnoticed.
def test_process_that_ends_by_itself_is_noticed(cluster):
    cluster.signal("entry-0", signal.SIGKILL)
    cluster.wait("entry-0")
    assert cluster.restart_exited() == ["entry-0"]
    assert cluster.exited_standins() == []
    cluster.signal("way-worker-0", signal.SIGKILL)
    cluster.wait("way-worker-0")
    assert cluster.restart_exited() == []
    assert cluster.exited_standins() == ["way-worker-0"]
