"""A cluster whose processes run several builds, and what its workers' histories show.

`program_of` says which program the process of a name runs; it may change while the
cluster runs, and holds from the next start of the process on.
"""

import collections
import signal
import sys

from samphiredeal.standins.graph_cluster import BOUNDS, GraphCluster
from samphiredeal.standins.launch import wait_for

THIS_BUILD = (sys.executable, "-m", "samphiredeal.cli.main")
WORKERS = 3
TIMEOUT_S = 60
# States of ended jobs are asked for until the end of a play.
_BOUNDS = {**BOUNDS, "status_s": 3600}


class MixedCluster(GraphCluster):
    """A cluster in which each process runs a program of its own."""

    def __init__(self, folder, program_of):
        super().__init__(folder, list(THIS_BUILD))
        self.program_of = program_of

    def _start_on_platform(self, name, role, zone, extra):
        super()._start_on_platform(name, role, zone, {**extra, "bounds": _BOUNDS})

    def _start(self, name, command, document, environment=None):
        length = len(self._program)
        if command[:length] == self._program:
            command = [*self.program_of(name), *command[length:]]
        super()._start(name, command, document, environment)

    @property
    def caller_ports(self):
        """The ports at which entries accept calls, by name."""
        return dict(self._caller_ports)

    @property
    def workers(self):
        """The names of the workers."""
        return [
            name.removeprefix("agent-")
            for name in self.processes
            if name.startswith("agent-")
        ]

    def start_all(self, entries=2, workers=WORKERS, **configuration):
        """Start the stand-ins, the entries, and the workers with their agents."""
        self.start_standin("platform", "platform")
        self.configure(**configuration)
        for number in range(entries):
            self.start_graph_entry(f"entry-{number}", f"zone-{number}")
        for number in range(workers):
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

        wait_for(accepted, TIMEOUT_S, f"job {job_id} is accepted")

    def wait_for_state(self, job_id, state):
        """Wait until every entry reports a state of a job."""
        for entry in self.entries:

            def reached(entry=entry):
                reply = self.call(entry, "GET", f"/normal/{job_id}")
                return reply.document.get("state") == state

            wait_for(reached, TIMEOUT_S, f"job {job_id} is {state} at {entry}")

    def wait_for_takeover(self, before):
        """Wait until another entry is the scheduler; return its name."""
        return wait_for(
            lambda: self.scheduler() != before and self.scheduler(),
            TIMEOUT_S,
            f"an entry takes over from {before}",
        )

    def events(self):
        """Return the starts and ends of runs on all workers; see `faults_of`."""
        return [event for name in self.workers for event in self.history(name)]

    def check_runs(self):
        """Raise `AssertionError` if a task has run twice; return the starts."""
        events = self.events()
        faults = faults_of(events)
        assert not faults, "; ".join(faults)
        return sum(kind == "start" for _, kind, *_ in events)


def faults_of(events):
    """Return what the starts and ends of runs on workers show to be wrong.

    Events are (time, ``start`` or ``end``, task, run, how it ended). A task that two
    runs execute at the same time, that completes twice, or that has two runs of one
    number is a fault.
    """
    faults, running = [], collections.defaultdict(set)
    completed, started = collections.Counter(), collections.Counter()
    for _, kind, task, run, how in sorted(events, key=lambda event: event[:2]):
        if kind == "start":
            running[task].add(run)
            started[task, run] += 1
            if len(running[task]) > 1:
                faults.append(f"{task} is executed by runs {sorted(running[task])}")
            continue
        running[task].discard(run)
        completed[task] += how == "done"
    return [
        *faults,
        *(f"{task} completed twice" for task in completed if completed[task] > 1),
        *(f"{task} has two runs {run}" for (task, run), n in started.items() if n > 1),
    ]


def gangs_unlike_the_platform(events, job_prefix, members):
    """Return a line for each run of a gang that no worker of the platform would do.

    Members on stand-in workers may be done although another one has not started; other
    faults of a play may follow from it. Jobs with the prefix have gangs of `members`.
    """
    started, done = collections.defaultdict(list), collections.defaultdict(list)
    for at, kind, task, run, how in events:
        if not task.startswith(job_prefix):
            continue
        gang = task.rpartition(".")[0], run
        if kind == "start":
            started[gang].append(at)
        elif how == "done":
            done[gang].append(at)
    return [
        f"the stand-ins end {gang} run {run} before all its members have started"
        for (gang, run), ends in done.items()
        if sum(at < min(ends) for at in started[gang, run]) < members
    ]
