"""Simulates the scheduler of job graphs with modelled workers and a stepped clock.

Workers differ in speed, gangs that are split over racks and tasks far from their
data run slower, and a stop takes some time and saves the work of tasks that
checkpoint. The value of a day depends on how many jobs complete in time, late or
never, less the wasted work.
"""

import random
from typing import NamedTuple

from bench import graph_load
from samphiredeal.model import runs
from samphiredeal.model.graph import parse_task_name
from samphiredeal.model.runs import Ended, Report, Running, WorkerFacts

STEP_S = 0.1
SPEEDS = (0.8, 1.0, 1.25)
REMOTE_FACTOR = 3.0
CHECKPOINT_INTERVAL_S = 1.0
RESTORE_S = 0.25
# A job that completes after this many times its objective has no value.
LATE_LIMIT_FACTOR = 3.0
# The largest job has at most this many times the value of its kind.
MAX_JOB_WEIGHT = 4.0
# Jobs may still complete for this long after the last arrival.
TAIL_S = 90.0


class _SimulatedRun:
    """A run of a task on a worker; `left_s` is the remaining work at speed 1."""

    def __init__(self, order, name, step, left_s, saved_s, began_at):
        self.task = order.task
        self.run = order.run
        self.left_s = left_s
        self.total_s = left_s
        self.saved_s = saved_s
        self.name = name
        self.step = step
        self.checkpointing = step.checkpointing
        self.cores = step.shape.cores
        self.began_at = began_at
        self.slowdown = 1.0
        self.stops_at = None

    @property
    def worked_s(self):
        return self.total_s - self.left_s


class Outcome(NamedTuple):
    """The value of a day.

    `earned` is the share of the value of all jobs that was obtained, `by_kind` the
    same for each kind of job, and `waste_share` the cost of the wasted work as a
    share of that value.
    """

    earned: float
    by_kind: dict
    wasted_core_s: float
    waste_share: float

    @property
    def net_value(self):
        """The obtained share of the value, less the cost of the wasted work."""
        return self.earned - self.waste_share


class GraphSimulation:
    """Simulation of one day of a site under a scheduler."""

    def __init__(self, site, seed, scheduler, load=1.0):
        self._site = site
        self._rng = random.Random(f"workers {seed}")
        self._scheduler = scheduler
        self._jobs = graph_load.draw_jobs(site, seed, load)
        self._by_id = {job.record.id: job for job in self._jobs}
        self._worker_facts = {}
        self._speeds = {}
        self._running = {}
        self._completions = {}
        self._finished_at = {}
        self._completion_counts = {}
        self.now = 0.0
        self.wasted_core_s = 0.0
        scheduler.guarantees = graph_load.guarantees(site)
        for n in range(site.workers):
            self._add_worker(n)

    def _add_worker(self, n):
        site = self._site
        zone = n * site.zones // site.workers
        name = f"w{n}"
        self._worker_facts[name] = WorkerFacts(
            f"i-{name}", 1, graph_load.SERVICE, f"z{zone}", site.capacity,
            ("kind", f"r{n // site.per_rack}"),
        )  # fmt: skip
        self._speeds[name] = self._rng.choice(SPEEDS)
        self._running[name], self._completions[name] = {}, []
        self._completion_counts[name] = 0
        self._scheduler.add_worker(name, f"z{zone}")

    def run(self):
        """Simulate the day and return its `Outcome`."""
        waiting = list(self._jobs)
        cancels = sorted(
            (job.cancelled_at, job.record.id)
            for job in self._jobs
            if job.cancelled_at is not None
        )
        poll_count = 0
        end_s = graph_load.LEAD_S + self._site.length_s + TAIL_S
        while self.now < end_s and len(self._finished_at) < len(self._jobs):
            while waiting and waiting[0].at <= self.now:
                self._scheduler.add_job(waiting.pop(0).record, None, self.now)
            while cancels and cancels[0][0] <= self.now:
                job_id = cancels.pop(0)[1]
                if job_id not in self._finished_at:
                    self._scheduler.cancel_job(job_id, self.now)
                    self._finished_at[job_id] = None
            poll_count += 1
            self._decide(poll_count)
            self.now = round(self.now + STEP_S, 6)
            self._advance_work()
        return self._outcome()

    def _decide(self, poll_count):
        scheduler = self._scheduler
        for name in self._worker_facts:
            self._report(name, poll_count)
        scheduler.plan(self.now, round(self.now * 1000))
        scheduler.take_log_entries()
        for job in scheduler.take_dirty():
            for unit in job.units.values():
                for placement in unit.placements.values():
                    placement.committed = True
            if not job.active and job.id not in self._finished_at:
                done = job.state == "completed"
                self._finished_at[job.id] = self.now if done else None
        for name in self._worker_facts:
            starts, stops = scheduler.orders_for(name, self.now)
            for order in starts:
                self._start(name, order)
            for task, run in stops:
                running = self._running[name].get((task, run))
                if running is not None and running.stops_at is None:
                    running.stops_at = self.now + self._site.stop_s
        self._set_slowdowns()

    def _report(self, name, poll_count):
        report = self._make_report(name, poll_count)
        self._scheduler.apply_report(name, report, self.now)

    def _make_report(self, name, poll_count):
        listed = tuple(
            Running(
                running.task, running.run, _checkpoint(running),
                int(100 * running.worked_s / max(running.total_s, 1e-9)),
            )
            for running in self._running[name].values()
        )  # fmt: skip
        ended = tuple(self._completions[name])
        self._completions[name] = []
        return Report(
            self._worker_facts[name], looks=poll_count // 8, running=listed, ended=ended
        )

    def _progress_of(self, name):
        """Return the work that a worker does in a second."""
        return self._speeds[name]

    def _start(self, name, order):
        task = parse_task_name(order.task)
        job = self._by_id[task.job]
        step = job.record.spec.steps[task.step]
        work_s = job.work_s[(task.step, task.index)]
        saved_s = float(order.checkpoint or 0.0)
        left_s = max(0.05, work_s - saved_s) + (RESTORE_S if saved_s else 0.0)
        running = _SimulatedRun(order, task, step, left_s, saved_s, self.now)
        self._running[name][(order.task, order.run)] = running

    def _set_slowdowns(self):
        """Slow down tasks far from their data and gangs split over racks."""
        racks = {}
        for name, listed in self._running.items():
            for running in listed.values():
                racks.setdefault(
                    (running.name.job, running.name.step, running.run), set()
                ).add(self._worker_facts[name].labels[-1])
        for name, listed in self._running.items():
            for running in listed.values():
                step = running.step
                rack = self._worker_facts[name].labels[-1]
                spread = (
                    len(racks[(running.name.job, running.name.step, running.run)]) > 1
                )
                far = bool(step.data_rack) and step.data_rack != rack
                split = step.gang and step.one_rack and spread
                running.slowdown = REMOTE_FACTOR if far or split else 1.0

    def _advance_work(self):
        done_gangs = {}
        for name, listed in self._running.items():
            for key, running in list(listed.items()):
                if running.stops_at is not None and self.now >= running.stops_at:
                    self._end_run(name, key, runs.STOPPED)
                    continue
                running.left_s -= STEP_S * self._progress_of(name) / running.slowdown
                if running.step.gang:
                    gang = (running.name.job, running.name.step)
                    group = done_gangs.setdefault(gang, [])
                    group.append((name, key, running.left_s <= 0))
                elif running.left_s <= 0:
                    self._end_run(name, key, runs.DONE)
        for (job_id, number), group in done_gangs.items():
            count = self._by_id[job_id].record.spec.steps[number].count
            if len(group) == count and all(done for _n, _k, done in group):
                for name, key, _done in group:
                    if key in self._running[name]:
                        self._end_run(name, key, runs.DONE)

    def _end_run(self, name, key, how):
        running = self._running[name].pop(key)
        self._completion_counts[name] += 1
        checkpoint = ""
        if how != runs.DONE:
            worked_s = max(0.0, running.worked_s)
            if running.checkpointing:
                checkpoint = f"{running.saved_s + worked_s:.3f}"
            else:
                elapsed_s = self.now - running.began_at
                self.wasted_core_s += elapsed_s * running.cores
        self._completions[name].append(
            Ended(
                self._completion_counts[name],
                running.task,
                running.run,
                how,
                checkpoint,
            )
        )

    def _outcome(self):
        total, earned, by_kind = 0.0, 0.0, {}
        job_works = {}
        for job in self._jobs:
            job_works.setdefault(job.kind.name, []).append(job_work(job))
        for job in self._jobs:
            if (
                job.cancelled_at is not None
                and self._finished_at.get(job.record.id) is None
            ):
                continue
            mean = sum(job_works[job.kind.name]) / len(job_works[job.kind.name])
            weight = min(MAX_JOB_WEIGHT, 0.3 + 0.7 * job_work(job) / mean)
            total += weight * job.kind.worth
            value = weight * self._value_of(job)
            earned += value
            kind_earned, kind_total = by_kind.get(job.kind.name, (0.0, 0.0))
            by_kind[job.kind.name] = (
                kind_earned + value,
                kind_total + weight * job.kind.worth,
            )
        waste_share = self._site.waste_price * self.wasted_core_s / total
        return Outcome(
            earned / total,
            {
                kind: kind_earned / kind_total
                for kind, (kind_earned, kind_total) in by_kind.items()
            },
            self.wasted_core_s,
            waste_share,
        )

    def _value_of(self, job):
        completed_at = self._finished_at.get(job.record.id)
        if completed_at is None:
            return 0.0
        took_s = completed_at - job.at
        objective_s = self._objective_s(job)
        if took_s <= objective_s:
            return job.kind.worth
        return job.kind.late_worth if took_s <= LATE_LIMIT_FACTOR * objective_s else 0.0

    def _objective_s(self, job):
        chain_s = 0.0
        for number, step in enumerate(job.record.spec.steps):
            longest = max(job.work_s[(number, i)] for i in range(step.count))
            copies = sum(
                step.shape.copies_in(facts.capacity)
                for facts in self._worker_facts.values()
            )
            waves = -(-step.count // max(1, copies // 4))
            chain_s += longest * waves
        return job.kind.stretch * chain_s + job.kind.target_latency_s


def _checkpoint(running):
    """Return the work in the last checkpoint as text; empty if there is none."""
    if not running.checkpointing:
        return ""
    saved_s = (
        running.saved_s
        + max(0.0, running.worked_s) // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
    )
    return f"{saved_s:.3f}" if saved_s else ""


def job_work(job):
    """Return the work of a job in core-seconds."""
    total = 0.0
    for (number, _index), work_s in job.work_s.items():
        total += work_s * job.record.spec.steps[number].shape.cores
    return total
