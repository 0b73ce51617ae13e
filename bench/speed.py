"""The request path against a direct call of the executor: ``make speed``.

Real processes on loopback: added latency with one caller, requests a second
with several, and the entry's processor time for each.
"""

import http.client
import sys
import tempfile
import threading
import time
from urllib.parse import urlparse

from bench.slopes import _cpu_s, show
from samphiredeal.cli.client import call
from samphiredeal.standins.launch import LocalCluster, wait_for

SEQUENTIAL = 1500
CALLERS = 8
EACH = 300
HEADERS = {"Samphiredeal-Account": "hall"}


def sequence(url, path, count):
    """Return the sorted seconds of calls one after another on one connection."""
    connection = http.client.HTTPConnection(urlparse(url).netloc)
    times = []
    for _ in range(count):
        begun = time.perf_counter()
        connection.request("POST", path, b"a price check", HEADERS)
        answer = connection.getresponse()
        answer.read()
        assert answer.status == 200, answer.status
        times.append(time.perf_counter() - begun)
    connection.close()
    return sorted(times)


def throughput(url, path):
    """Return calls a second by several callers."""
    threads = [
        threading.Thread(target=sequence, args=(url, path, EACH))
        for _ in range(CALLERS)
    ]
    begun = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return CALLERS * EACH / (time.perf_counter() - begun)


def main():
    """Measure both ways in the same run."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(folder)
        try:
            _measure(cluster)
        finally:
            cluster.close()


def _measure(cluster):
    cluster.start_standin("platform", "platform")
    cluster.start_standin("executor", "executor")
    cluster.start_entry("entry-1", "a")
    cluster.start_agent("executor", "executor", "a", "executor", slots=CALLERS)
    url, direct = cluster.entry_urls["entry-1"], cluster.url_of("executor")

    def answers():
        try:
            call(url, "PUT", "/v1/accounts/hall", {})
            reply = call(url, "POST", "/v1/requests", headers=HEADERS, body=b"x")
        except OSError:
            return False
        return reply.accepted

    wait_for(answers, 30, "requests are answered")
    for name, target, path in (
        ("direct", direct, "/"),
        ("through entry and agent", url, "/v1/requests"),
    ):
        sequence(target, path, 100)
        times = sequence(target, path, SEQUENTIAL)
        show(f"{name}: median", times[len(times) // 2] * 1000, "ms")
        show(f"{name}: 99th percentile", times[int(len(times) * 0.99)] * 1000, "ms")
    pid = cluster.processes["entry-1"].pid
    before = _cpu_s(pid)
    rate = throughput(url, "/v1/requests")
    spent = _cpu_s(pid) - before
    show("through entry and agent: requests a second", rate, "/s")
    show("requests a second for a whole entry core", CALLERS * EACH / spent, "/s")


if __name__ == "__main__":
    sys.exit(main())
