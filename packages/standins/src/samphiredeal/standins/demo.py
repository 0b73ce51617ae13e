"""Demo of requests and jobs: ``python -m samphiredeal.standins.demo``.

Starts two entries, and agents beside two executors and two workers in two
availability zones. Serves a request, runs a gang, marks a zone out and in again, and
reclaims guaranteed capacity. The exit status is 1 if a step fails.
"""

import os
import shutil
import sys
import tempfile
import time

from samphiredeal.cli.client import call
from samphiredeal.standins.launch import LocalCluster, wait_for

ZONES = ("zone-a", "zone-b")
CAPACITY = {"cpu_milli": 128_000, "memory_mb": 512_000, "accelerators": 8}
GUARANTEE = {"cpu_milli": 8_000, "memory_mb": 32_000, "accelerators": 8, "count": 1}
URGENT_START_TIMEOUT_S = 5.7
IN_FORCE_TIMEOUT_S = 5.0


def start_cluster(cluster):
    """Start every process of the demo; return the URL of the first entry."""
    cluster.start_standin("platform", "platform")
    for zone in ZONES:
        cluster.start_standin("executor", f"executor-{zone}", service_s=0.02)
        cluster.start_standin("worker", f"worker-{zone}")
    for zone in ZONES:
        cluster.start_entry(f"entry-{zone}", zone)
    for zone in ZONES:
        executor, worker = f"executor-{zone}", f"worker-{zone}"
        cluster.start_agent(executor, "executor", zone, executor, slots=8)
        cluster.start_agent(
            worker, "worker", zone, worker, rack="r1", capacity=CAPACITY
        )
    url = cluster.entry_urls[f"entry-{ZONES[0]}"]
    wait_for(lambda: _all_registered(url), 20, "all entries and workers are registered")
    return url


def _all_registered(url):
    try:
        configuration = call(url, "GET", "/v1/config")
        workers = call(url, "GET", "/v1/workers")
    except OSError:
        return False
    accepted = configuration.accepted and workers.accepted
    return (
        accepted
        and len(configuration.document["entries"]) == len(ZONES)
        and len(workers.document["workers"]) == len(ZONES)
    )


def request(url, account, key="", body=b"a contract draft"):
    """Send a request; if it has a key, mark it as not repeatable."""
    headers = {"Samphiredeal-Account": account, "Samphiredeal-Class": "urgent"}
    if key:
        headers |= {"Samphiredeal-Repeatable": "no", "Samphiredeal-Key": key}
    return call(url, "POST", "/v1/requests", headers=headers, body=body)


def job_state(url, job_id):
    """Return (stored state, explanation by the scheduler)."""
    document = call(url, "GET", f"/v1/jobs/{job_id}").document
    return document["state"], document.get("explain") or {}


def is_running(url, job_id):
    """Return whether a job is running."""
    return job_state(url, job_id)[1].get("state") == "running"


def serve_requests(cluster, url):
    """Serve a request; send a non-repeatable one through both entries."""
    other = cluster.entry_urls[f"entry-{ZONES[1]}"]
    call(url, "PUT", "/v1/accounts/hall", {"guarantee": [GUARANTEE]})
    call(url, "PUT", "/v1/accounts/guest", {"guarantee": []})
    wait_for(lambda: call(url, "GET", "/v1/config").document["in_force"], 5, "force")
    wait_for(lambda: request(url, "hall").accepted, 5, "a request is answered")
    first = request(url, "hall", key="deposit-1", body=b"a deposit")
    second = request(other, "hall", key="deposit-1", body=b"a deposit")
    counts = [
        call(cluster.url_of(f"executor-{zone}"), "GET", "/").document for zone in ZONES
    ]
    ran = sum(count.get("a deposit", 0) for count in counts)
    assert first.accepted and second.document == first.document, (first, second)
    assert ran == 1, f"the deposit ran {ran} times"
    return f"a deposit requested through two entries ran {ran} time"


def run_gang(cluster, url):
    """Run a gang across both zones until it completes."""
    job = {"id": "photo-run", "account": "guest", "accelerators": 4, "members": 4}
    call(url, "POST", "/v1/jobs", {**job, "cpu_milli": 4000, "command": "sleep 2"})
    wait_for(lambda: is_running(url, "photo-run"), 10, "the gang runs")
    places = job_state(url, "photo-run")[1]["places"]
    wait_for(lambda: job_state(url, "photo-run")[0] == "done", 15, "the gang ends")
    return f"a gang of 4 ran on {places} and ended"


def toggle_zone(cluster, url):
    """Mark a zone out and in again while requests are answered."""
    started = time.monotonic()
    call(url, "PUT", f"/v1/zones/{ZONES[0]}", {"state": "out"})
    wait_for(
        lambda: call(url, "GET", "/v1/config").document["in_force"],
        IN_FORCE_TIMEOUT_S,
        "zone out is in force",
    )
    in_force_s = time.monotonic() - started
    answers = {request(url, "hall").document for _ in range(10)}
    assert not any(ZONES[0] in answer for answer in answers), answers
    call(url, "PUT", f"/v1/zones/{ZONES[0]}", {"state": "in"})

    def is_used_again():
        return f"executor-{ZONES[0]}" in request(url, "hall").document

    wait_for(is_used_again, IN_FORCE_TIMEOUT_S, "the zone is used again")
    return f"zone out in force everywhere after {in_force_s:.2f} s, and back"


def reclaim(cluster, url):
    """Fill the cluster with jobs outside a guarantee, then reclaim the guarantee."""
    wait_for(
        lambda: all(
            worker["usable"]
            for worker in call(url, "GET", "/v1/workers").document["workers"]
        ),
        40,
        "the workers of the zone are usable again",
    )
    for number in range(4):
        job = {"id": f"fill-{number}", "account": "guest", "accelerators": 4}
        call(url, "POST", "/v1/jobs", {**job, "cpu_milli": 100, "command": "sleep 99"})
    for number in range(4):
        wait_for(
            lambda n=number: is_running(url, f"fill-{n}"), 10, f"fill-{number} runs"
        )
    started = time.monotonic()
    urgent = {"id": "repertoire", "account": "hall", "accelerators": 8}
    document = {**urgent, "cpu_milli": 8000, "class": "urgent", "command": "sleep 1"}
    call(url, "POST", "/v1/jobs", document)

    def is_running_or_done():
        return (
            is_running(url, "repertoire") or job_state(url, "repertoire")[0] == "done"
        )

    wait_for(is_running_or_done, URGENT_START_TIMEOUT_S, "the urgent job runs")
    return (
        f"8 accelerators reclaimed and running after {time.monotonic() - started:.2f} s"
    )


STEPS = (
    ("request", serve_requests),
    ("gang", run_gang),
    ("zone", toggle_zone),
    ("reclaim", reclaim),
)


def main():
    """Run all steps; return the exit status."""
    # The program that runs the roles, such as the binary.
    program = os.environ.get("SAMPHIREDEAL_PROGRAM")
    folder = tempfile.mkdtemp(prefix="demo-")
    cluster = LocalCluster(folder, program and [program])
    try:
        url = start_cluster(cluster)
        for name, step in STEPS:
            print(f"{name:8} {step(cluster, url)}", flush=True)
    except (AssertionError, TimeoutError) as error:
        print(f"FAILED   {error}, logs in {folder}", file=sys.stderr)
        return 1
    finally:
        cluster.close()
    shutil.rmtree(folder)
    print("demo     all steps passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
