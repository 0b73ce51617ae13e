"""Gangs whose runs fail in all members, as real processes, with losses between ends.

Entries, agents, workers and the store are processes of their own. What is judged is
what callers are told and what the workers have run. As a program, it plays losses in
an order drawn from a seed, on one cluster:

    PYTHONPATH=tests python tests/process_gangs.py --seed 1 --plays 8

`--program FILE` runs another build, such as the binary of the last release;
`--entry-programs` names one for each entry (``-`` is this build), so that the scheduler
moves between builds. Exit status 1 if a play breaks an invariant.
"""

import argparse
import collections
import contextlib
import os
import random
import signal
import sys
import tempfile
import time
from typing import NamedTuple

from samphiredeal.model import runs
from samphiredeal.standins.graph_cluster import post
from samphiredeal.standins.launch import wait_for
from samphiredeal.standins.upgrade_cluster import THIS_BUILD, MixedCluster

_TIMEOUT_S = 60
_ENTRIES = 3
_FINAL_STATES = ("completed", "failed")
# Members fail this long after their start, and up to a spread later.
_FAIL_AFTER_S = 0.8
_FAIL_SPREADS_S = (0.0, 0.05, 0.5)
# The longest time from a first failed end to a loss.
_LOSS_WITHIN_S = 0.4
_SILENCE_S = 2.5
_RUN_S = 2.0
_MEMBER = {"mem-mb": 500, "cpu": 500, "gang": True, "estimated-ms": int(_RUN_S * 1000)}
# Gangs of jobs, whose ids end so, as (members, accelerators of each); workers have 8.
SMALL = {"a": [(3, 8)]}
SEVERAL = {
    "a": [(3, 8)],
    "b": [(9, 2)],
    "c": [(33, 1)],
    "d": [(3, 2), (3, 2)],
}
LARGE = {**SEVERAL, "e": [(128, 0)]}


class Setup(NamedTuple):
    """The gangs of each job, and how many runs of them fail and are allowed to."""

    gangs: dict
    max_attempts: int
    failing_runs: int


class Job(NamedTuple):
    """What is seen of a job: the states that were told, and the runs of its gangs.

    `failed_runs` are the numbers of members that have failed, by gang and run.
    """

    states: set
    failed_runs: dict


class GangCluster(MixedCluster):
    """Entries, and workers of eight accelerators with their agents."""

    def events_of(self, job_ids, kind):
        """Return (task, run, how) of the starts or ends of these jobs' members."""
        return [
            (task, run, how)
            for worker in self.workers
            for _at, event, task, run, how in self.history(worker)
            if event == kind and task.split(".")[0] in job_ids
        ]

    def workers_of(self, job_ids):
        """Return the workers on which members of these jobs have started."""
        return [
            worker
            for worker in self.workers
            if any(task.split(".")[0] in job_ids for task in self.start_counts(worker))
        ]

    def state_at(self, entry, job_id):
        """Return the state that an entry tells, or '' if it tells none."""
        reply = self.call(entry, "GET", f"/normal/{job_id}")
        return reply.document.get("state", "")

    def set_silent(self, is_silent):
        """Have the store answer nobody, or everybody again."""
        post(self.url_of("platform") + "/faults", {"silent": is_silent})

    def kill_and_start(self, names, down_s=0.0):
        """Kill processes at once and start them again."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self.wait(name)
        time.sleep(down_s)
        for name in names:
            self.start_again(name)


# Losses: generators of the cluster, a random generator and the workers of members. They
# run once all members have started, and after their `yield` once the first have failed.


def lose_nothing(_cluster, _random, _workers):
    yield


def kill_scheduler(cluster, _random, _workers):
    yield
    cluster.kill_and_start([cluster.scheduler()])


def kill_two_schedulers(cluster, _random, _workers):
    yield
    first = cluster.scheduler()
    cluster.kill_and_start([first])
    cluster.wait_for_takeover(first)
    cluster.kill_and_start([cluster.scheduler()])


def freeze_scheduler(cluster, _random, _workers):
    yield
    frozen = cluster.scheduler()
    cluster.signal(frozen, signal.SIGSTOP)
    cluster.wait_for_takeover(frozen)
    time.sleep(0.3)
    cluster.signal(frozen, signal.SIGCONT)


def kill_entries(cluster, _random, _workers):
    yield
    cluster.kill_and_start(cluster.entries)


def freeze_agents(cluster, random, workers):
    """Some ends are not heard until the scheduler has been killed."""
    agents = _some_agents(random, workers)
    for agent in agents:
        cluster.signal(agent, signal.SIGSTOP)
    yield
    time.sleep(random.uniform(0.0, _LOSS_WITHIN_S))
    cluster.kill_and_start([cluster.scheduler()])
    for agent in agents:
        cluster.signal(agent, signal.SIGCONT)


def freeze_agents_and_kill_entries(cluster, random, workers):
    """Some ends are not heard until all entries have been killed."""
    agents = _some_agents(random, workers)
    for agent in agents:
        cluster.signal(agent, signal.SIGSTOP)
    yield
    time.sleep(random.uniform(0.0, _LOSS_WITHIN_S))
    cluster.kill_and_start(cluster.entries)
    for agent in agents:
        cluster.signal(agent, signal.SIGCONT)


def kill_agents(cluster, random, workers):
    yield
    agents = _some_agents(random, workers)
    cluster.kill_and_start([*agents, cluster.scheduler()])


def silence_store(cluster, _random, _workers):
    yield
    cluster.set_silent(True)
    time.sleep(_SILENCE_S)
    cluster.set_silent(False)


def silence_store_and_kill_scheduler(cluster, random, _workers):
    yield
    scheduler = cluster.scheduler()
    cluster.set_silent(True)
    killed_in_s = random.uniform(0.2, 1.5)
    time.sleep(killed_in_s)
    cluster.kill_and_start([scheduler])
    time.sleep(max(0.0, _SILENCE_S - killed_in_s))
    cluster.set_silent(False)


LOSSES = (
    lose_nothing,
    kill_scheduler,
    kill_two_schedulers,
    freeze_scheduler,
    kill_entries,
    freeze_agents,
    freeze_agents_and_kill_entries,
    kill_agents,
    silence_store,
    silence_store_and_kill_scheduler,
)


def _some_agents(random, workers):
    count = random.randint(1, max(1, len(workers) - 1))
    return [f"agent-{name}" for name in random.sample(workers, count)]


@contextlib.contextmanager
def running_cluster(folder, workers=12, program_of=lambda name: THIS_BUILD):
    """Provide a ready `GangCluster`."""
    os.makedirs(folder, exist_ok=True)
    cluster = GangCluster(folder, program_of)
    try:
        cluster.start_all(_ENTRIES, workers)
        yield cluster
    finally:
        cluster.close()


def play(cluster, name, loss, setup, random):
    """Play a loss in each failing run; return {job id: `Job`}.

    Returns once all entries tell a final state of each job, or after a minute.
    """
    spread_s = random.choice(_FAIL_SPREADS_S)
    for worker in cluster.workers:
        assert cluster.disturb_worker(
            worker,
            "fail_runs",
            last=setup.failing_runs,
            after_s=_FAIL_AFTER_S,
            spread_s=spread_s,
        )
    sizes = {f"{name}{job}": gangs for job, gangs in setup.gangs.items()}
    for number, (job_id, gangs) in enumerate(sizes.items()):
        _submit(cluster, number, job_id, gangs)
    told = {job_id: set() for job_id in sizes}
    for run in range(1, min(setup.failing_runs, setup.max_attempts) + 1):
        _wait_for_run(cluster, sizes, run, "start")
        losing = loss(cluster, random, cluster.workers_of(sizes))
        next(losing)
        _wait_for_run(cluster, sizes, run, "end")
        next(losing, None)
    with contextlib.suppress(TimeoutError):
        wait_for(lambda: _all_final(cluster, told), _TIMEOUT_S, "all jobs have ended")
    return _look_at(cluster, sizes, told)


def violations(jobs, setup):
    """Return a line for each job that is not as its failed runs say."""
    lines = []
    for job_id, job in jobs.items():
        most = max(map(len, job.failed_runs.values()), default=0)
        if "failed" in job.states and most < setup.max_attempts:
            lines.append(f"{job_id} is shown as failed after {most} failed runs")
        if most > setup.max_attempts:
            lines.append(f"{job_id} has {most} failed runs")
        if most < setup.max_attempts and "completed" not in job.states:
            lines.append(f"{job_id} is not completed: {sorted(job.states)}")
        if most >= setup.max_attempts and "failed" not in job.states:
            lines.append(f"{job_id} is not failed: {sorted(job.states)}")
    return lines


def _submit(cluster, number, job_id, gangs):
    entry = cluster.entries[number % len(cluster.entries)]
    steps = [{**_MEMBER, "count": count, "gpu": gpu} for count, gpu in gangs]
    document = {"spec": str(_RUN_S), "steps": steps}

    def accepted():
        return cluster.call(entry, "POST", f"/normal/{job_id}", document).status == 200

    wait_for(accepted, _TIMEOUT_S, f"{job_id} is accepted")


def _wait_for_run(cluster, job_ids, number, kind):
    """Wait until a run of such a number has its starts, or a first failed end.

    Jobs that wait for room are not waited for.
    """

    def has_come():
        events = cluster.events_of(job_ids, kind)
        return any(
            run >= number and (kind == "start" or how == runs.FAILED)
            for _task, run, how in events
        )

    with contextlib.suppress(TimeoutError):
        wait_for(has_come, _TIMEOUT_S / 4, f"a {kind} of run {number}")
    if kind == "start":
        # The other gangs start with the first.
        time.sleep(0.6)


def _all_final(cluster, told):
    is_final = True
    for job_id, states in told.items():
        for entry in cluster.entries:
            state = cluster.state_at(entry, job_id)
            states.add(state)
            is_final = is_final and state in _FINAL_STATES
    return is_final


def _look_at(cluster, sizes, told):
    failed = {job_id: {} for job_id in sizes}
    for task, run, how in cluster.events_of(sizes, "end"):
        job_id, _occurrence, step, _index = task.split(".")
        if how == runs.FAILED:
            members = failed[job_id].setdefault(int(step), collections.Counter())
            members[run] += 1
    return {job_id: Job(told[job_id], failed[job_id]) for job_id in sizes}


def whole_runs(job, gangs):
    """Return how many runs of a job's gangs have failed in all members."""
    return sum(
        members == gangs[step][0]
        for step, of_run in job.failed_runs.items()
        for members in of_run.values()
    )


def _programs(arguments):
    def program_of(name):
        number = int(name.split("-")[1]) if name.startswith("entry-") else None
        path = arguments.program
        if number is not None and arguments.entry_programs:
            path = arguments.entry_programs[number]
        return THIS_BUILD if path == "-" else (path,)

    return program_of


def main():
    """Play losses in an order drawn from the seed; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plays", type=int, default=len(LOSSES))
    parser.add_argument("--max-attempts", type=int, default=2)
    parser.add_argument("--failing-runs", type=int, default=0)
    parser.add_argument("--workers", type=int, default=12)
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--loss", choices=[loss.__name__ for loss in LOSSES])
    parser.add_argument("--program", default="-")
    parser.add_argument("--entry-programs", nargs=_ENTRIES)
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    losses = [one for one in LOSSES if arguments.loss in (None, one.__name__)]
    order = [
        loss
        for _ in range(-(-arguments.plays // len(losses)))
        for loss in rng.sample(losses, len(losses))
    ][: arguments.plays]
    setup = Setup(
        LARGE if arguments.large else SEVERAL,
        arguments.max_attempts,
        arguments.failing_runs or arguments.max_attempts - 1,
    )
    folder = tempfile.mkdtemp(prefix="gangs-")
    broken = 0
    with running_cluster(folder, arguments.workers, _programs(arguments)) as cluster:
        cluster.configure(max_attempts=arguments.max_attempts)
        time.sleep(2.5)
        for number, loss in enumerate(order):
            jobs = play(cluster, str(number), loss, setup, rng)
            lines = violations(jobs, setup)
            broken += bool(lines)
            counts = [
                members
                for job in jobs.values()
                for of_run in job.failed_runs.values()
                for members in of_run.values()
            ]
            whole = sum(map(whole_runs, jobs.values(), setup.gangs.values()))
            failed = sum("failed" in job.states for job in jobs.values())
            print(
                f"{loss.__name__}: {len(jobs)} jobs, {failed} shown as failed; "
                f"failed runs {len(counts)}, of several members "
                f"{sum(count > 1 for count in counts)}, of all {whole}; "
                f"{len(lines)} broken",
                *lines,
                sep="\n  ",
                flush=True,
            )
    print(f"{broken} of {len(order)} plays broken; logs in {folder}")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
