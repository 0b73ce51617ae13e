"""Compatibility with another build: ``python -m samphiredeal.standins.upgrade FILE``.

Runs this build and another one, FILE, such as the binary of the last release, on the
stand-in platform, in both directions:

- all processes of one build are stopped and replaced by the other, which takes over
  the settings, the rows, and the completed, running and waiting jobs;
- entries and agents of both builds run side by side, and the scheduler moves between
  the entries by graceful shutdown and by SIGKILL;
- the entries of the older interface are replaced, with a configuration, a claimed
  request key and a running gang in the store;
- the steps of `samphiredeal.standins.demo` run on entries and agents of both builds.

Exit status 1 if a job is lost, a task runs twice, or a step fails.
"""

import collections
import itertools
import os
import signal
import sys
import tempfile

import defopt

from samphiredeal.cli.client import call
from samphiredeal.standins import demo
from samphiredeal.standins.graph_cluster import GraphCluster
from samphiredeal.standins.launch import wait_for

THIS_BUILD = (sys.executable, "-m", "samphiredeal.cli.main")
WORKERS = 3
_TIMEOUT_S = 60
_TASK = {"cpu": 1000, "mem-mb": 1000, "gpu": 8, "estimated-ms": 3000}
# One task fills a worker, so that a second job waits while the first one runs.
_SHORT = {"spec": "0.5", "steps": [{**_TASK, "count": WORKERS, "estimated-ms": 500}]}
_LONG = {"spec": "4.0", "steps": [{**_TASK, "count": WORKERS, "estimated-ms": 4000}]}


class MixedCluster(GraphCluster):
    """A cluster in which each process runs a program of its own."""

    def __init__(self, folder, program_of):
        super().__init__(folder, list(THIS_BUILD))
        self.program_of = program_of

    def _start(self, name, command, document, environment=None):
        length = len(self._program)
        if command[:length] == self._program:
            command = [*self.program_of(name), *command[length:]]
        super()._start(name, command, document, environment)

    def start_all(self):
        """Start the stand-ins, two entries and three workers with their agents."""
        self.start_standin("platform", "platform")
        self.configure()
        for number in range(2):
            self.start_graph_entry(f"entry-{number}", f"zone-{number}")
        for number in range(WORKERS):
            self.start_graph_worker(f"worker-{number}", f"zone-{number % 2}")
        self.wait_until_ready()

    def stop_gracefully(self, names):
        """Stop processes with SIGTERM; raise `AssertionError` on another status."""
        for name in names:
            self.signal(name, signal.SIGTERM)
        for name in names:
            status = self.wait(name)
            assert status == 0, f"{name} exits with {status} after SIGTERM"

    def submit(self, job_id, document):
        """Submit a job and wait until it is accepted."""

        def accepted():
            path = f"/normal/{job_id}"
            return self.call(self.entries[0], "POST", path, document).status == 200

        wait_for(accepted, _TIMEOUT_S, f"job {job_id} is accepted")

    def wait_for_state(self, job_id, state):
        """Wait until every entry reports a state of a job."""
        for entry in self.entries:

            def reached(entry=entry):
                reply = self.call(entry, "GET", f"/normal/{job_id}")
                return reply.document.get("state") == state

            wait_for(reached, _TIMEOUT_S, f"job {job_id} is {state} at {entry}")

    def check_runs(self):
        """Raise `AssertionError` if a task has run twice; return the starts."""
        events = [
            event
            for number in range(WORKERS)
            for event in self.history(f"worker-{number}")
        ]
        faults = faults_of(events)
        assert not faults, "; ".join(faults)
        return sum(kind == "start" for _, kind, *_ in events)


def faults_of(events):
    """Return what the starts and ends of runs on workers show to be wrong.

    Events are (time, ``start`` or ``end``, task, run, how it ended). A task that two
    runs execute at the same time, or that completes twice, is a fault.
    """
    faults, running = [], collections.defaultdict(set)
    completed = collections.Counter()
    for _, kind, task, run, how in sorted(events, key=lambda event: event[:2]):
        if kind == "start":
            running[task].add(run)
            if len(running[task]) > 1:
                faults.append(f"{task} is executed by runs {sorted(running[task])}")
            continue
        running[task].discard(run)
        completed[task] += how == "done"
    return faults + [
        f"{task} completed twice" for task in completed if completed[task] > 1
    ]


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
            after = wait_for(
                lambda b=before: cluster.scheduler() != b and cluster.scheduler(),
                _TIMEOUT_S,
                f"an entry takes over from {before}",
            )
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
        wait_for(lambda: demo.is_running(url, "photo-run"), _TIMEOUT_S, "the gang runs")
        entries = list(cluster.entry_urls)
        cluster.stop_gracefully(entries)
        cluster.program_of = lambda name: after
        for name in entries:
            cluster.restart(name)
        wait_for(lambda: _is_in_force(url), _TIMEOUT_S, "the configuration is in force")
        wait_for(
            lambda: demo.job_state(url, "photo-run")[0] == "done",
            _TIMEOUT_S,
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
    """Run checks of this build beside another, a command; return the exit status."""
    failed = 0
    builds = {"other": tuple(program), "this": THIS_BUILD}
    for run, names in itertools.product(checks, itertools.permutations(builds)):
        title = f"{run.__name__:15} {names[0]:5} then {names[1]:5}"
        with tempfile.TemporaryDirectory() as folder:
            try:
                result = run(folder, *(builds[name] for name in names))
                print(f"{title} {result}", flush=True)
            except (AssertionError, TimeoutError) as error:
                failed += 1
                print(f"{title} FAILED {error}", flush=True)
    return 1 if failed else 0


def main(program: str):
    """Check this build beside another one.

    :param program: path of the other build's program, such as dist/samphiredeal
    """
    return check([os.path.abspath(program)])


if __name__ == "__main__":
    sys.exit(defopt.run(main))
