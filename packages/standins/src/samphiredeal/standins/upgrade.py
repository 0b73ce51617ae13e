"""Compatibility with another build: ``python -m samphiredeal.standins.upgrade [FILE]``.

Runs this build and another one on the stand-in platform, in both directions. The other
one is FILE, such as the binary of the last release, or an earlier landing, built from
the history of the repository; see `landings`.

- All processes of one build are stopped and replaced by the other, which takes over
  the settings, the rows, and the completed, running and waiting jobs.
- Entries and agents of both builds run side by side, and the scheduler moves between
  the entries by graceful shutdown and by SIGKILL.
- The entries of the older interface are replaced, with a configuration, a claimed
  request key and a running gang in the store.
- The steps of `samphiredeal.standins.demo` run on entries and agents of both builds.
- Processes are replaced one at a time, forward, back and forward again, with jobs of
  all kinds at work; see `upgrade_roll`.

Exit status 1 if a job is lost, a task runs twice, or a step fails.
"""

import itertools
import os
import shutil
import signal
import sys
import tempfile

import defopt

from samphiredeal.cli.client import call
from samphiredeal.standins import demo, landings, upgrade_roll
from samphiredeal.standins.launch import wait_for
from samphiredeal.standins.upgrade_cluster import (
    THIS_BUILD,
    TIMEOUT_S,
    WORKERS,
    MixedCluster,
)

_TASK = {"cpu": 1000, "mem-mb": 1000, "gpu": 8, "estimated-ms": 3000}
# One task fills a worker, so that a second job waits while the first one runs.
_SHORT = {"spec": "0.5", "steps": [{**_TASK, "count": WORKERS, "estimated-ms": 500}]}
_LONG = {"spec": "4.0", "steps": [{**_TASK, "count": WORKERS, "estimated-ms": 4000}]}


def replace_all(folder, before, after):
    """Replace every process of one build by the other, with jobs in all states."""
    cluster = MixedCluster(folder, lambda name: before)
    try:
        cluster.start_all()
        cluster.submit("d1", _SHORT)
        cluster.wait_for_state("d1", "completed")
        cluster.submit("a1", _LONG)
        cluster.wait_for_state("a1", "running")
        cluster.submit("b1", _SHORT)
        cluster.wait_for_state("b1", "queued")
        agents = [f"agent-worker-{number}" for number in range(WORKERS)]
        cluster.stop_gracefully(cluster.entries)
        cluster.stop_gracefully(agents)
        cluster.program_of = lambda name: after
        for name in (*agents, *cluster.entries):
            cluster.start_again(name)
        cluster.wait_until_ready()
        for job_id in ("d1", "a1", "b1"):
            cluster.wait_for_state(job_id, "completed")
        return f"9 tasks completed once, in {cluster.check_runs()} runs"
    finally:
        cluster.close()


def hand_over(folder, first, second):
    """Move the scheduler between entries of both builds, beside agents of both."""
    old_names = ("entry-0", "agent-worker-0", "agent-worker-1")
    cluster = MixedCluster(folder, lambda name: first if name in old_names else second)
    moves = []
    try:
        cluster.start_all()
        numbers = (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL, signal.SIGKILL)
        for index, number in enumerate(numbers):
            job_id = f"a{index}"
            cluster.submit(job_id, _LONG)
            cluster.wait_for_state(job_id, "running")
            before = cluster.scheduler()
            cluster.signal(before, number)
            status = cluster.wait(before)
            assert number == signal.SIGKILL or status == 0, f"{before}: {status}"
            after = cluster.wait_for_takeover(before)
            cluster.start_again(before)
            cluster.wait_until_ready()
            cluster.wait_for_state(job_id, "completed")
            moves.append(f"{before} to {after}")
        runs = cluster.check_runs()
        assert runs == len(numbers) * WORKERS, f"{runs} runs of {len(numbers)} jobs"
        return f"{', '.join(moves)}; {runs} tasks completed in one run each"
    finally:
        cluster.close()


def run_demo(folder, first, second):
    """Run the demo on an entry and agents of each build, connected crosswise."""
    names = ("entry-zone-a", "agent:executor-zone-b", "agent:worker-zone-b")
    cluster = MixedCluster(folder, lambda name: first if name in names else second)
    try:
        url = demo.start_cluster(cluster)
        return "; ".join(step(cluster, url) for _, step in demo.STEPS)
    finally:
        cluster.close()


def replace_entries(folder, before, after):
    """Replace the entries of the older interface while a gang runs."""
    cluster = MixedCluster(folder, lambda name: before)
    try:
        url = demo.start_cluster(cluster)
        demo.serve_requests(cluster, url)
        answer = demo.request(url, "hall", key="deposit-1", body=b"a deposit")
        gang = {"id": "photo-run", "account": "guest", "members": 2, "accelerators": 4}
        call(url, "POST", "/v1/jobs", {**gang, "cpu_milli": 4000, "command": "sleep 8"})
        wait_for(lambda: demo.is_running(url, "photo-run"), TIMEOUT_S, "the gang runs")
        entries = list(cluster.entry_urls)
        cluster.stop_gracefully(entries)
        cluster.program_of = lambda name: after
        for name in entries:
            cluster.restart(name)
        wait_for(lambda: _is_in_force(url), TIMEOUT_S, "the configuration is in force")
        wait_for(
            lambda: demo.job_state(url, "photo-run")[0] == "done",
            TIMEOUT_S,
            "the gang is done",
        )
        again = demo.request(url, "hall", key="deposit-1", body=b"a deposit")
        assert again.document == answer.document, (answer, again)
        executors = [cluster.url_of(f"executor-{zone}") for zone in demo.ZONES]
        ran = sum(
            call(each, "GET", "/").document.get("a deposit", 0) for each in executors
        )
        assert ran == 1, f"the deposit ran {ran} times"
        return "the gang is done; the key's first answer is repeated, it ran once"
    finally:
        cluster.close()


def _is_in_force(url):
    try:
        reply = call(url, "GET", "/v1/config")
    except OSError:
        return False
    return reply.accepted and reply.document["in_force"]


CHECKS = (replace_all, hand_over, replace_entries, run_demo)


def check(program, checks=CHECKS):
    """Run checks of this build beside another, a command; return the exit status.

    The logs of a check that fails stay in the folder that is printed.
    """
    failed = 0
    builds = {"other": tuple(program), "this": THIS_BUILD}
    for run, names in itertools.product(checks, itertools.permutations(builds)):
        title = f"{run.__name__:15} {names[0]:5} then {names[1]:5}"
        folder = tempfile.mkdtemp()
        try:
            result = run(folder, *(builds[name] for name in names))
            print(f"{title} {result}", flush=True)
            shutil.rmtree(folder)
        except (AssertionError, TimeoutError) as error:
            failed += 1
            print(f"{title} FAILED {error}; logs in {folder}", flush=True)
    return 1 if failed else 0


def rolling(seed):
    """Return the check that replaces processes in turn; see `upgrade_roll`."""

    def roll(folder, first, second):
        return upgrade_roll.roll(folder, first, second, seed)

    return roll


def main(program: str = "", *, landing: str = landings.LANDINGS[0], seed: int = 1):
    """Check this build beside another one.

    :param program: path of the other build's program, such as dist/samphiredeal;
        without it, an earlier landing is built from the history of the repository
    :param landing: the commit of that landing, by default the last one
    :param seed: determines the order in which processes are replaced in turn
    """
    other = [os.path.abspath(program)] if program else landings.build(landing)
    return check(other, (*CHECKS, rolling(seed)))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
