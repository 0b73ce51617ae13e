"""Workers whose identity is in doubt: ``python -m samphiredeal.standins.identity``.

Each play runs the real programs beside stand-ins under a steady load of short tasks,
injects one kind of fault into one worker after another, and then waits until every
worker has got a start again. What is wrong is read from the histories of the workers.
Exit status 1 if a task ran beside itself or again after its end was recorded, if an
accepted job did not complete, or if a worker got no start after the faults.
"""

import collections
import itertools
import os
import random
import sys
import tempfile
import time
from typing import NamedTuple

import defopt

from samphiredeal.standins.graph_cluster import GraphCluster
from samphiredeal.standins.launch import wait_for

WORKERS = 3
_ACCELERATORS = 4
_STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
_WORK_S = (0.3, 1.7)
_MEAN_JOB_INTERVAL_S = 0.12
_FAULT_INTERVAL_S = (0.7, 1.1)
# How long nobody listens between two lives of a worker.
_DOWN_S = (0.01, 0.05, 0.3)
_RETURN_TIMEOUT_S = 5.0
_COMPLETION_TIMEOUT_S = 12.0
_TICK_S = 0.03


class Play(NamedTuple):
    """What a play has shown.

    `starts` began in `seconds` of load. `overlaps` are (task, runs, workers, seconds),
    `repeated` the tasks that started after their end was recorded, and `idle` the
    workers without a start after the faults.
    """

    starts: int
    seconds: float
    overlaps: list
    repeated: list
    unfinished: list
    idle: list

    @property
    def violations(self):
        """Descriptions of everything that is wrong."""
        return [
            *(
                f"{task} runs {runs} at once on {workers} for {span_s:.3f} s"
                for task, runs, workers, span_s in self.overlaps
            ),
            *(f"{task} starts after its end was recorded" for task in self.repeated),
            *(f"{job} is not completed" for job in self.unfinished),
            *(f"{worker} gets no start after the faults" for worker in self.idle),
        ]


# Faults. Each takes a function that disturbs a worker, the worker's own ids in order,
# a random generator and a sign that alternates, so that a play has a fault in both
# ways, and returns how long the fault lasts in seconds.


def _restart(disturb, name, offset_ms, chosen, in_s=0.01):
    down_s = chosen.choice(_DOWN_S)
    disturb("restart", id=name, born_offset_ms=offset_ms, down_s=down_s, in_s=in_s)


def _restart_born_later(disturb, ids, chosen, _sign):
    offset_ms = chosen.randint(500, 9000)
    _restart(disturb, next(ids), offset_ms, chosen)
    return 0.5


def _restart_born_before(disturb, ids, chosen, _sign):
    offset_ms = -chosen.randint(500, 9000)
    _restart(disturb, next(ids), offset_ms, chosen)
    return 0.5


def _restart_same_id(disturb, _ids, chosen, sign):
    offset_ms = sign * chosen.randint(500, 9000)
    _restart(disturb, "", offset_ms, chosen)
    return 0.5


def _rename(disturb, ids, _chosen, _sign):
    disturb("rename", id=next(ids))
    return 0.0


def _close_listener(disturb, _ids, chosen, _sign):
    seconds = chosen.uniform(0.05, 1.0)
    disturb("close", seconds=seconds, reset=chosen.random() < 0.7)
    return seconds


def _foreign_heartbeat_other_id(disturb, _ids, chosen, _sign):
    name = f"i-foreign-{chosen.getrandbits(32):08x}"
    offset_ms = chosen.randint(500, 9000)
    disturb("foreign_heartbeat", id=name, born_offset_ms=offset_ms, sequence=1)
    return 0.0


def _foreign_heartbeat_own_id(disturb, _ids, chosen, sign):
    offset_ms = sign * chosen.randint(500, 9000)
    disturb("foreign_heartbeat", id="", born_offset_ms=offset_ms, sequence=1000)
    return 0.0


def _late_heartbeats(disturb, ids, chosen, sign):
    """Restart while heartbeats of the former life are still on their way."""
    in_s = 1.6
    delay_s = chosen.uniform(0.5, 2.0)
    disturb("heartbeats", seconds=in_s, delay_s=delay_s, copies=2)
    offset_ms = sign * chosen.randint(500, 9000)
    _restart(disturb, next(ids), offset_ms, chosen, in_s)
    return in_s + delay_s + 0.5


def _omit_born(disturb, _ids, chosen, _sign):
    seconds = chosen.uniform(0.2, 1.0)
    disturb("omit_born", seconds=seconds)
    return seconds


FAULTS = {
    "restart-born-later": _restart_born_later,
    "restart-born-before": _restart_born_before,
    "restart-same-id": _restart_same_id,
    "rename": _rename,
    "close-listener": _close_listener,
    "foreign-heartbeat-other-id": _foreign_heartbeat_other_id,
    "foreign-heartbeat-own-id": _foreign_heartbeat_own_id,
    "late-heartbeats": _late_heartbeats,
    "omit-born": _omit_born,
}
UNDISTURBED = "none"


class _Load:
    """Submits short jobs of one task; remembers the accepted ones."""

    def __init__(self, cluster, seed):
        self._cluster = cluster
        self._random = random.Random(f"load {seed}")
        self._began_at = self._next_at = time.monotonic()
        self.accepted = []

    @property
    def seconds(self):
        """The seconds since the first job."""
        return time.monotonic() - self._began_at

    def go_on(self, seconds, until=lambda: False):
        """Submit jobs for a while, or until a condition is true."""
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at and not until():
            while self._next_at <= time.monotonic():
                self._submit()
                self._next_at += self._random.expovariate(1 / _MEAN_JOB_INTERVAL_S)
            time.sleep(_TICK_S)

    def _submit(self):
        job_id = f"{self._random.getrandbits(64):016x}"
        document = {
            "spec": f"{self._random.uniform(*_WORK_S):.2f}",
            "steps": [_STEP],
        }
        entry = self._random.choice(self._cluster.entries)
        path = f"/normal/{job_id}"
        if self._cluster.call(entry, "POST", path, document).status == 200:
            self.accepted.append(job_id)


def play(folder, kind, seed, faults=WORKERS, program=None):
    """Play one kind of fault, or `UNDISTURBED`, against a program; return a `Play`."""
    cluster = GraphCluster(folder, program)
    try:
        names = _start(cluster)
        load = _Load(cluster, seed)
        unused = _wait_for_starts(cluster, load, names)
        if unused:
            raise TimeoutError(f"no start before the faults: {', '.join(unused)}")
        chosen = random.Random(f"{kind} {seed}")
        ids = {name: (f"i-{name}-{n}" for n in itertools.count(1)) for name in names}
        present_ids = {name: f"i-{name}" for name in names}
        order = itertools.islice(itertools.cycle(chosen.sample(names, WORKERS)), faults)
        lasts_until = time.monotonic()
        for name, sign in zip(order, itertools.cycle((-1, 1)), strict=False):
            if kind != UNDISTURBED:

                def disturb(fault, name=name, **arguments):
                    if "id" in arguments:
                        arguments["id"] = arguments["id"] or present_ids[name]
                        if fault != "foreign_heartbeat":
                            present_ids[name] = arguments["id"]
                    assert cluster.disturb_worker(name, fault, **arguments)

                lasts_s = FAULTS[kind](disturb, ids[name], chosen, sign)
                lasts_until = max(lasts_until, time.monotonic() + lasts_s)
            load.go_on(chosen.uniform(*_FAULT_INTERVAL_S))
        load.go_on(lasts_until - time.monotonic())
        idle = _wait_for_starts(cluster, load, names)
        seconds = load.seconds
        unfinished = _wait_for_completion(cluster, load.accepted)
        return _judge(cluster, names, seconds, unfinished, idle)
    finally:
        cluster.close()


def _start(cluster):
    """Start the processes; return the names of the workers."""
    cluster.start_standin("platform", "platform")
    cluster.configure()
    cluster.start_graph_entry("entry-0", "zone-0")
    names = [f"worker-{number}" for number in range(WORKERS)]
    for number, name in enumerate(names):
        cluster.start_graph_worker(
            name, f"zone-{number % 2}", f"r{number}", _ACCELERATORS
        )
    cluster.wait_until_ready()
    return names


def _wait_for_starts(cluster, load, names):
    """Go on until each worker has got a new start; return those without one."""

    def total(name):
        return sum(cluster.start_counts(name).values())

    before = {name: total(name) for name in names}
    idle = set(names)

    def all_started():
        idle.difference_update([name for name in idle if total(name) > before[name]])
        return not idle

    load.go_on(_RETURN_TIMEOUT_S, all_started)
    return sorted(idle)


def _wait_for_completion(cluster, accepted):
    """Return the accepted jobs that are not completed in time."""
    deadline = time.monotonic() + _COMPLETION_TIMEOUT_S
    unfinished = []
    for job_id in accepted:

        def completed(path=f"/normal/{job_id}"):
            reply = cluster.call(cluster.entries[0], "GET", path)
            return reply.document.get("state") == "completed"

        try:
            wait_for(completed, max(0.2, deadline - time.monotonic()), job_id)
        except TimeoutError:
            unfinished.append(job_id)
    return unfinished


def _judge(cluster, names, seconds, unfinished, idle):
    events = sorted(
        (at, kind == "start", name, task, run)
        for name in names
        for at, kind, task, run, _ in cluster.history(name)
    )
    recorded = {}
    for name in names:
        for at, task, _, how in cluster.recorded_ends(name):
            if how == "done":
                recorded[task] = min(at, recorded.get(task, at))
    repeated = {
        task
        for at, is_start, _, task, _ in events
        if is_start and at > recorded.get(task, at)
    }
    starts = sum(is_start for _, is_start, *_ in events)
    overlaps = overlaps_of(events)
    return Play(starts, seconds, overlaps, sorted(repeated), unfinished, idle)


def overlaps_of(events):
    """Return the (task, runs, workers, seconds) of tasks with two runs at a time.

    Events are (time, whether it is a start, worker, task, run), in order.
    """
    running, spans = collections.defaultdict(dict), []
    last_at = events[-1][0] if events else 0.0
    for at, is_start, worker, task, run in events:
        if is_start:
            running[task][worker, run] = at
            continue
        began_at = running[task].pop((worker, run), None)
        if began_at is not None:
            spans.append((task, worker, run, began_at, at))
    for task, runs in running.items():
        spans += [(task, *one, began_at, last_at) for one, began_at in runs.items()]
    overlaps = []
    for first, second in itertools.combinations(sorted(spans), 2):
        span_s = min(first[4], second[4]) - max(first[3], second[3])
        if first[0] == second[0] and span_s > 0:
            runs, workers = (first[2], second[2]), (first[1], second[1])
            overlaps.append((first[0], runs, workers, span_s))
    return overlaps


def main(
    seed: int,
    *,
    kind: list[str] | None = None,
    faults: int = WORKERS,
    program: list[str] | None = None,
):
    """Play faults and print the results; return the exit status.

    :param seed: determines the load and the faults
    :param kind: the kinds of faults, by default all of them
    :param faults: the number of faults in a play
    :param program: the command of another build, such as a path of its program
    """
    if program:
        program = [os.path.abspath(p) if os.path.exists(p) else p for p in program]
    failed = 0
    for name in kind or (UNDISTURBED, *FAULTS):
        with tempfile.TemporaryDirectory() as folder:
            shown = play(folder, name, seed, faults, program)
        failed += bool(shown.violations)
        starts = f"{shown.starts} starts in {shown.seconds:.1f} s"
        print(f"seed {seed} {name}: {starts}", flush=True)
        for line in shown.violations:
            print(f"  BROKEN {line}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
