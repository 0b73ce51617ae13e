"""The request path compared with direct calls of the executor: ``make speed``.

Measures real processes on loopback: added latency with one caller, requests per
second with several, and the entry's CPU time per request.
"""

import http.client
import sys
import tempfile
import threading
import time
from urllib.parse import urlparse

from bench.slopes import cpu_s, show
from samphiredeal.cli.client import call
from samphiredeal.standins.launch import LocalCluster, wait_for

SEQUENTIAL_CALLS = 1500
CALLERS = 8
CALLS_PER_CALLER = 300
HEADERS = {"Samphiredeal-Account": "hall"}


def measure_latencies(url, path, count):
    """Return the sorted latencies in seconds of sequential calls on one connection."""
    connection = http.client.HTTPConnection(urlparse(url).netloc)
    times = []
    for _ in range(count):
        started = time.perf_counter()
        connection.request("POST", path, b"a price check", HEADERS)
        answer = connection.getresponse()
        answer.read()
        assert answer.status == 200, answer.status
        times.append(time.perf_counter() - started)
    connection.close()
    return sorted(times)


def measure_throughput(url, path):
    """Return calls per second by parallel callers."""
    threads = [
        threading.Thread(target=measure_latencies, args=(url, path, CALLS_PER_CALLER))
        for _ in range(CALLERS)
    ]
    started = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return CALLERS * CALLS_PER_CALLER / (time.perf_counter() - started)


def main():
    """Measure both paths in the same run."""
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

    def is_answering():
        try:
            call(url, "PUT", "/v1/accounts/hall", {})
            reply = call(url, "POST", "/v1/requests", headers=HEADERS, body=b"x")
        except OSError:
            return False
        return reply.accepted

    wait_for(is_answering, 30, "requests are answered")
    for name, target, path in (
        ("direct", direct, "/"),
        ("through entry and agent", url, "/v1/requests"),
    ):
        measure_latencies(target, path, 100)
        times = measure_latencies(target, path, SEQUENTIAL_CALLS)
        show(f"{name}: median", times[len(times) // 2] * 1000, "ms")
        show(f"{name}: 99th percentile", times[int(len(times) * 0.99)] * 1000, "ms")
    pid = cluster.processes["entry-1"].pid
    before_cpu_s = cpu_s(pid)
    rate = measure_throughput(url, "/v1/requests")
    used_cpu_s = cpu_s(pid) - before_cpu_s
    show("through entry and agent: requests a second", rate, "/s")
    show(
        "requests a second for a whole entry core",
        CALLERS * CALLS_PER_CALLER / used_cpu_s,
        "/s",
    )


if __name__ == "__main__":
    sys.exit(main())
