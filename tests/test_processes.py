"""Requests through separate processes and sockets under signals and bad input.

Guards against dispatches that a stopped agent runs after SIGCONT, a keyed request
that runs again after its entry was killed, requests interrupted by SIGTERM, an
exit status other than 0 after it, and a process that malformed input ends.
"""

import json
import signal
import socket
import struct
import threading

import pytest

from samphiredeal.cli.client import call
from samphiredeal.standins import demo
from samphiredeal.standins.launch import LocalCluster, wait_for

TIMEOUT_S = 30


@pytest.fixture
def cluster(tmp_path):
    cluster = LocalCluster(tmp_path)
    cluster.start_standin("platform", "platform")
    for zone in demo.ZONES:
        cluster.start_standin("executor", f"executor-{zone}", service_s=0.02)
    for zone in demo.ZONES:
        cluster.start_entry(f"entry-{zone}", zone)
    for zone in demo.ZONES:
        name = f"executor-{zone}"
        cluster.start_agent(name, "executor", zone, name)
    cluster.agent_names = [f"executor-{zone}" for zone in demo.ZONES]
    url = cluster.entry_urls["entry-zone-a"]
    wait_for(lambda: _lists_two_entries(url), TIMEOUT_S, "both entries are known")
    call(url, "PUT", "/v1/accounts/hall", {})
    wait_for(lambda: _all_entries_answer(cluster), TIMEOUT_S, "both entries answer")
    yield cluster
    cluster.close()


def _lists_two_entries(url):
    try:
        reply = call(url, "GET", "/v1/config")
    except OSError:
        return False
    return reply.accepted and len(reply.document["entries"]) == 2


def _all_entries_answer(cluster):
    return all(
        demo.request(url, "hall").accepted for url in cluster.entry_urls.values()
    )


def runs(cluster, body):
    """Return the number of executions of a body over all executors."""
    return sum(
        call(cluster.url_of(name), "GET", "/").document.get(body, 0)
        for name in cluster.agent_names
    )


def in_background(function, *arguments, **options):
    """Call in a thread; return a list that receives the result or `OSError`."""
    results = []

    def run():
        try:
            results.append(function(*arguments, **options))
        except OSError as error:
            results.append(error)

    threading.Thread(target=run, daemon=True).start()
    return results


def test_deposit_runs_once_though_its_entry_is_killed(cluster):
    body = b'{"sleep_s": 1.0, "deposit": 1}'
    one, other = cluster.entry_urls.values()
    in_background(demo.request, one, "hall", key="d1", body=body)
    wait_for(lambda: runs(cluster, body.decode()) == 1, TIMEOUT_S, "it runs")
    cluster.signal("entry-zone-a", signal.SIGKILL)
    reply = demo.request(other, "hall", key="d1", body=body)
    assert reply.headers["Samphiredeal-Verdict"] == "ran"
    assert runs(cluster, body.decode()) == 1


def test_frozen_agents_do_not_run_old_dispatches(cluster):
    url = cluster.entry_urls["entry-zone-a"]
    for name in cluster.agent_names:
        agent = cluster.processes[f"agent:{name}"]
        agent.send_signal(signal.SIGSTOP)
    results = in_background(
        call,
        url,
        "POST",
        "/v1/requests",
        headers={
            "Samphiredeal-Account": "hall",
            "Samphiredeal-Key": "d2",
            "Samphiredeal-Repeatable": "no",
            "Samphiredeal-Deadline-Ms": "1000",
        },
        body=b"stuck",
    )
    wait_for(lambda: results, TIMEOUT_S, "the caller is answered")
    assert results[0].headers["Samphiredeal-Verdict"] in ("not-run", "may-have-run")
    threading.Event().wait(5.0)
    for name in cluster.agent_names:
        cluster.processes[f"agent:{name}"].send_signal(signal.SIGCONT)
    wait_for(
        lambda: _all_entries_answer(cluster), TIMEOUT_S, "requests are answered again"
    )
    assert runs(cluster, "stuck") == 0


def test_sigterm_under_load_interrupts_no_request(cluster):
    url = cluster.entry_urls["entry-zone-b"]
    body = b'{"sleep_s": 0.8}'
    results = [in_background(demo.request, url, "hall", body=body) for _ in range(6)]
    wait_for(lambda: runs(cluster, body.decode()) == 6, TIMEOUT_S, "all run")
    cluster.signal("entry-zone-b", signal.SIGTERM)
    cluster.signal("agent:executor-zone-a", signal.SIGTERM)
    wait_for(lambda: all(results), TIMEOUT_S, "all are answered")
    assert all(result[0].accepted for result in results)
    assert cluster.wait("entry-zone-b", TIMEOUT_S) == 0
    assert cluster.wait("agent:executor-zone-a", TIMEOUT_S) == 0


FRAMES = [
    b"\x00\x00",
    struct.pack("!I", 2**31 - 1) + b"x" * 64,
    struct.pack("!I", 8) + b"nonsense",
    b"GET / HTTP/1.1\r\n\r\n",
]


@pytest.mark.parametrize("frame", FRAMES, ids=["half", "2gib", "nonsense", "http"])
def test_malformed_frames_leave_the_entry_up(cluster, frame):
    port = cluster.link_port("entry-zone-a")
    with socket.create_connection(("127.0.0.1", port)) as peer:
        peer.sendall(frame)
    assert demo.request(cluster.entry_urls["entry-zone-a"], "hall").accepted


BAD_CALLS = [
    ("POST", "/v1/requests", {"Samphiredeal-Account": "nobody"}, b"", 404, "nobody"),
    (
        "POST",
        "/v1/requests",
        {"Samphiredeal-Account": "hall", "Samphiredeal-Deadline-Ms": "-3"},
        b"",
        400,
        "Deadline-Ms",
    ),
    (
        "POST",
        "/v1/requests",
        {
            "Samphiredeal-Account": "hall",
            "Samphiredeal-Repeatable": "no",
            "Samphiredeal-Key": "k" * 300,
        },
        b"",
        400,
        "length 300",
    ),
    ("POST", "/v1/jobs", {}, b"{", 400, "body"),
    (
        "POST",
        "/v1/jobs",
        {},
        b'{"account":"hall","members":-1,"accelerators":1}',
        400,
        "job.members: -1",
    ),
    (
        "POST",
        "/v1/jobs",
        {},
        b'{"account":"hall","acelerators":1}',
        400,
        "job.acelerators: unknown key",
    ),
    ("PUT", "/v1/zones/a", {}, b'{"state":"away"}', 400, "'away'"),
    ("PUT", "/v1/zones/a", {"If-Match": "77"}, b'{"state":"out"}', 409, "winner"),
    ("PUT", "/v1/accounts/a", {}, b'{"guarantee":[{"count":0}]}', 400, "count: 0"),
    (
        "POST",
        "/v1/requests",
        {"Samphiredeal-Account": "hall"},
        b"x" * 9_000_000,
        413,
        "body",
    ),
    ("GET", "/v1/jobs/none", {}, None, 404, "none"),
]


def test_bad_input_names_field_and_value(cluster):
    url = cluster.entry_urls["entry-zone-a"]
    for method, path, headers, body, status, text in BAD_CALLS:
        reply = call(url, method, path, headers=headers, body=body)
        assert reply.status == status, (path, reply)
        assert text in str(reply.document), (text, reply.document)
    assert demo.request(url, "hall").accepted


def test_logs_join_a_request_to_its_run_at_the_agent(cluster):
    """The dispatch id joins the logs of the entry and the agent."""
    url = cluster.entry_urls["entry-zone-a"]
    assert demo.request(url, "hall", key="logged", body=b"logged").accepted

    def lines(name):
        return [json.loads(line) for line in cluster.log_of(name).splitlines()]

    received = next(
        line for line in lines("entry-zone-a") if line.get("key") == "logged"
    )
    sent = next(
        line
        for line in lines("entry-zone-a")
        if line.get("message_type") == "dispatch"
        and line["request_id"] == received["request_id"]
    )
    ended = [
        line["dispatch_id"]
        for line in lines(f"agent:{sent['agent']}")
        if line.get("message_type") == "dispatch_ended"
    ]
    assert sent["dispatch_id"] in ended
    assert "logged" not in cluster.log_of(f"agent:{sent['agent']}"), "no bodies"
