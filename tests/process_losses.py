"""Losses of processes in a silent store, while callers ask for states all the while.

`play` runs one cluster of separate processes through a `Loss` and returns a `Seen`: the
states that callers were told and what the workers have run. `violations` compares them.
"""

import contextlib
import http.client
import json
import os
import signal
import sys
import threading
import time
from typing import NamedTuple

import told_states
from told_states import Told

from samphiredeal.standins.graph_cluster import (
    BOUNDS,
    CALLERS_HOST,
    KEY,
    GraphCluster,
    post,
)
from samphiredeal.standins.launch import HOST, wait_for

THIS_BUILD = (sys.executable, "-m", "samphiredeal.cli.main")
ZONES = ("zone-a", "zone-b", "zone-c")
WORKERS = tuple(f"worker-{number}" for number in range(6))
_JOBS = 3
# A task fills its worker. It runs for longer than an entry takes to notice that the
# store is silent.
_RUN_S = 1.5
_STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 8}
_JOB = {"spec": str(_RUN_S), "steps": [{**_STEP, "estimated-ms": int(_RUN_S * 1000)}]}
SILENCE_S = 4.2
# Leases of lost workers expire sooner than by the platform's bounds.
_BOUNDS = {**BOUNDS, "max-hold-ms": 2000}
# How long after the ends the processes are lost, unless callers are told them before.
_MAX_TOLD_S = 0.8
_ASK_INTERVAL_S = 0.1
_CALL_TIMEOUT_S = 5.0
_TIMEOUT_S = 40.0
_MAX_ATTEMPTS = 5


class RunEvent(NamedTuple):
    """The start or end of a run on a worker, at a time in seconds."""

    at: float
    kind: str
    task: str
    run: int
    how: str


class Seen(NamedTuple):
    """What callers were told and workers have run, in one play.

    The store was silent from `silent_from` to `silent_to`, in seconds since the epoch.
    """

    told: list
    refused: list
    events: list
    silent_from: float
    silent_to: float


class Loss(NamedTuple):
    """What is lost together; `then` is lost after `gap_s` seconds, if anything.

    Each is a function of the cluster and the workers of ended tasks, and returns names
    of processes. All of them start again at once but the names in `stay_away`.
    """

    first: object
    then: object = None
    gap_s: float = 0.0
    stay_away: object = None


class LossCluster(GraphCluster):
    """A cluster whose processes are lost and return; `program_of` names their builds.

    It keeps the histories of workers that are lost.
    """

    def __init__(self, folder, program_of):
        super().__init__(folder, list(THIS_BUILD))
        self._program_of = program_of
        self._commands = {}
        self._lost_events = []

    def lose(self, names):
        """Kill processes at once, and workers once their histories are read."""
        workers = [name for name in names if name in WORKERS]
        others = [name for name in names if name not in WORKERS]
        for name in others:
            self.signal(name, signal.SIGKILL)
        for name in others:
            self.wait(name)
        # Its agent is dead, so a worker starts nothing between the two calls.
        for name in workers:
            events = self.events_of(name)
            self.signal(name, signal.SIGKILL)
            self.wait(name)
            now = time.time()
            self._lost_events += [*events, *_ends_at(now, events)]

    def return_again(self, names):
        """Start lost processes again with unchanged settings, workers first."""
        for name in sorted(names, key=lambda name: name not in WORKERS):
            self._start(name, *self._commands[name])

    def events_of(self, worker):
        """Return the events of the present life of a worker."""
        return [RunEvent(*event) for event in self.history(worker)]

    def events(self):
        """Return the events of all lives of all workers, in order of time."""
        alive = [name for name in WORKERS if self.processes[name].poll() is None]
        events = [event for name in alive for event in self.events_of(name)]
        return sorted([*self._lost_events, *events])

    def start_standin(self, kind, name, **options):
        """Start a stand-in; workers may listen only some time later."""
        is_worker = kind == "graph-worker"
        start = self.begin_standin if is_worker else super().start_standin
        start(kind, name, **options)

    def are_workers_ready(self):
        """Return whether all agents extend their workers' leases for a scheduler."""
        return all(
            '"lease_extending"' in self.log_of(f"agent-{name}") for name in WORKERS
        )

    def port_of_callers(self, entry):
        """Return the port at which an entry answers callers."""
        return self._caller_ports[entry]

    def _start_on_platform(self, name, role, zone, extra):
        super()._start_on_platform(name, role, zone, {**extra, "bounds": _BOUNDS})

    def _start(self, name, command, document, environment=None):
        self._commands[name] = (command, document, environment)
        length = len(self._program)
        if command[:length] == self._program:
            command = [*self._program_of(name), *command[length:]]
        super()._start(name, command, document, environment)


class StatePoller:
    """Asks all entries for the states of some jobs, each on an open connection."""

    def __init__(self, cluster, job_ids):
        self._stopping = threading.Event()
        self.told = []
        self.refused = []
        self._threads = [
            threading.Thread(
                target=self._ask_all, args=(entry, cluster.port_of_callers(entry), job)
            )
            for entry in cluster.entries
            for job in job_ids
        ]
        for thread in self._threads:
            thread.start()

    def close(self):
        """Stop asking."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def has_told(self, entries, job_ids, state, since=0.0):
        """Return whether these entries told a state of each job, asked after `since`.

        Times are in seconds since the epoch.
        """
        told = {
            (one.entry, one.job)
            for one in list(self.told)
            if one.state == state and one.asked_at >= since
        }
        return told >= {(entry, job) for entry in entries for job in job_ids}

    def _ask_all(self, entry, port, job_id):
        connection = http.client.HTTPConnection(HOST, port, timeout=_CALL_TIMEOUT_S)
        headers = {"Host": CALLERS_HOST, "Authorization": f"Token {KEY}"}
        while not self._stopping.wait(_ASK_INTERVAL_S):
            asked_at = time.time()
            try:
                connection.request("GET", f"/normal/{job_id}", headers=headers)
                response = connection.getresponse()
                document = json.loads(response.read() or b"{}")
            except (OSError, http.client.HTTPException):
                # The next call opens it again.
                connection.close()
                continue
            told = Told(asked_at, time.time(), entry, job_id, document.get("state", ""))
            if told.state:
                self.told.append(told)
            elif response.status == http.HTTPStatus.GONE:
                self.refused.append(told)
        connection.close()


def start_cluster(folder, program_of=lambda name: THIS_BUILD):
    """Return a ready cluster of three entries and six workers."""
    os.makedirs(folder, exist_ok=True)
    cluster = LossCluster(folder, program_of)
    try:
        cluster.start_standin("platform", "platform")
        cluster.configure()
        for number, zone in enumerate(ZONES):
            cluster.start_graph_entry(f"entry-{number}", zone)
        for number, name in enumerate(WORKERS):
            cluster.start_graph_worker(name, ZONES[number % len(ZONES)])
        cluster.wait_until_ready()
    except BaseException:
        cluster.close()
        raise
    return cluster


def set_silent(cluster, is_silent):
    """Have both tables of the store answer nobody, or everybody again."""
    post(cluster.url_of("platform") + "/faults", {"silent": is_silent})


# What is lost: functions of the cluster and the workers of ended tasks.


def vms_of_workers(_cluster, workers):
    """Return the workers of ended tasks and their agents."""
    return [name for worker in workers for name in (f"agent-{worker}", worker)]


def and_scheduler(cluster, workers):
    """Return the scheduler as well."""
    return [cluster.scheduler(), *vms_of_workers(cluster, workers)]


def and_scheduler_and_holder(cluster, workers):
    """Return the scheduler and one other entry as well."""
    return [*_holders(cluster)[:1], *and_scheduler(cluster, workers)]


def and_holders(cluster, workers):
    """Return all entries but the scheduler as well."""
    return [*_holders(cluster), *vms_of_workers(cluster, workers)]


def scheduler_only(cluster, _workers):
    """Return the scheduler."""
    return [cluster.scheduler()]


def and_entries(cluster, workers):
    """Return all entries as well."""
    return [*cluster.entries, *vms_of_workers(cluster, workers)]


def all_vms(cluster, _workers):
    """Return all entries, agents and workers."""
    return [*cluster.entries, *vms_of_workers(cluster, WORKERS)]


def no_processes(_cluster, _workers):
    """Return nothing."""
    return []


def _holders(cluster):
    scheduler = cluster.scheduler()
    return [name for name in cluster.entries if name != scheduler]


LOSSES = {
    "workers": Loss(vms_of_workers, stay_away=vms_of_workers),
    "scheduler": Loss(and_scheduler, stay_away=vms_of_workers),
    "scheduler and a holder": Loss(and_scheduler_and_holder, stay_away=vms_of_workers),
    "holders, then scheduler": Loss(
        and_holders, then=scheduler_only, gap_s=0.2, stay_away=vms_of_workers
    ),
    "entries": Loss(and_entries, stay_away=vms_of_workers),
    "all VMs": Loss(all_vms, stay_away=no_processes),
}


def play(folder, loss, program_of=lambda name: THIS_BUILD):
    """Play a loss in a silence of the store; return what was `Seen`.

    Raises `TimeoutError` if not all jobs complete after the silence.
    """
    with contextlib.ExitStack() as stack:
        cluster = start_cluster(folder, program_of)
        stack.callback(cluster.close)
        wait_for(cluster.are_workers_ready, _TIMEOUT_S, "all workers are ready")
        job_ids, poller, silent_from = _silence_running_jobs(cluster, stack)
        silent_until = time.monotonic() + SILENCE_S - (time.time() - silent_from)
        _wait_for_events(cluster, job_ids, "end")
        with contextlib.suppress(TimeoutError):
            wait_for(
                lambda: poller.has_told(cluster.entries, job_ids, "completed"),
                _MAX_TOLD_S,
                "all entries tell the ends",
            )
        _lose(cluster, loss, _workers_of(cluster, job_ids))
        # The silence of the store lasts for a given time.
        time.sleep(max(0.0, silent_until - time.monotonic()))
        silent_to = time.time()
        set_silent(cluster, False)
        wait_for(
            lambda: poller.has_told(cluster.entries, job_ids, "completed", silent_to),
            _TIMEOUT_S,
            "all entries tell that all jobs are completed",
        )
        poller.close()
        return Seen(
            poller.told, poller.refused, cluster.events(), silent_from, silent_to
        )


def violations(seen):
    """Return a line for each broken invariant."""
    starts = [event for event in seen.events if event.kind == "start"]
    return [
        *told_states.starts_after_completed(seen.told, starts),
        *runs_beside_runs(seen.events),
        *told_states.states_that_fall_back(seen.told),
        *told_states.contradictions(seen.told, told_states.ALL_STATES),
        *told_states.unknown_jobs(seen.refused),
    ]


def ends_in_silence(seen):
    """Return the jobs whose tasks ended in the silence, so that no row can say it."""
    return {
        event.task.split(".")[0]
        for event in seen.events
        if event.kind == "end" and seen.silent_from < event.at < seen.silent_to
    }


def told_in_silence(seen, entries=None):
    """Return a line for each end in the silence that was told before its return.

    With `entries`, only those that one of them told.
    """
    jobs = ends_in_silence(seen)
    return [
        f"{one.entry} says completed of {one.job} at {one.at:.2f}, in the silence"
        for one in seen.told
        if one.state == "completed"
        and one.job in jobs
        and one.at < seen.silent_to
        and (entries is None or one.entry in entries)
    ]


def runs_beside_runs(events):
    """Return the starts of tasks of which another run has not ended."""
    lines, running = [], {}
    for event in sorted(events):
        others = running.setdefault(event.task, set())
        if event.kind == "start":
            if others:
                lines.append(
                    f"{event.task} run {event.run} starts at {event.at:.2f} "
                    f"beside {sorted(others)}"
                )
            others.add(event.run)
        else:
            others.discard(event.run)
    return lines


def _silence_running_jobs(cluster, stack):
    """Silence the store while the tasks of all jobs run.

    Jobs of which a task ends before the store is silent, on a busy machine, are left
    to complete, and others are submitted. Returns (job ids, `StatePoller`, time of the
    silence in seconds since the epoch).
    """
    for attempt in range(_MAX_ATTEMPTS):
        job_ids = [f"a{attempt}{number}" for number in range(_JOBS)]
        for number, job_id in enumerate(job_ids):
            _submit(cluster, cluster.entries[number % len(cluster.entries)], job_id)
        poller = StatePoller(cluster, job_ids)
        stack.callback(poller.close)
        _wait_for_events(cluster, job_ids, "start")
        set_silent(cluster, True)
        silent_from = time.time()
        if not _tasks_with(cluster, job_ids, "end"):
            return job_ids, poller, silent_from
        set_silent(cluster, False)
        wait_for(
            lambda p=poller, ids=job_ids: p.has_told(cluster.entries, ids, "completed"),
            _TIMEOUT_S,
            "all entries tell that all jobs are completed",
        )
        poller.close()
    raise TimeoutError(f"no jobs run as the silence begins, {_MAX_ATTEMPTS} attempts")


def _submit(cluster, entry, job_id):
    def accepted():
        return cluster.call(entry, "POST", f"/normal/{job_id}", _JOB).status == 200

    wait_for(accepted, _TIMEOUT_S, f"{job_id} is accepted")


def _wait_for_events(cluster, job_ids, kind):
    """Wait until the task of each job has started or ended."""
    wait_for(
        lambda: len(_tasks_with(cluster, job_ids, kind)) == len(job_ids),
        _TIMEOUT_S,
        f"the task of each job has its {kind}",
    )


def _tasks_with(cluster, job_ids, kind):
    return {
        event.task
        for event in cluster.events()
        if event.kind == kind and event.task.split(".")[0] in job_ids
    }


def _workers_of(cluster, job_ids):
    """Return the workers that have run tasks of these jobs."""
    return [
        name
        for name in WORKERS
        if any(event.task.split(".")[0] in job_ids for event in cluster.events_of(name))
    ]


def _lose(cluster, loss, workers):
    names = loss.first(cluster, workers)
    stay_away = loss.stay_away(cluster, workers)
    then = loss.then(cluster, workers) if loss.then else []
    cluster.lose(names)
    cluster.return_again([name for name in names if name not in stay_away])
    if then:
        time.sleep(loss.gap_s)
        cluster.lose(then)
        cluster.return_again(then)


def _ends_at(now, events):
    """Return the ends of the runs that a lost worker was executing."""
    running = {}
    for event in events:
        running[event.task, event.run] = event.kind == "start"
    return [
        RunEvent(now, "end", task, run, "lost")
        for (task, run), is_running in running.items()
        if is_running
    ]
