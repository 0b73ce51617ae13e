"""Drives the scheduler of job graphs with modelled workers over a stepped clock.

Workers differ in speed, gangs that are spread and work far from its data run
slower, a stop takes a moment and keeps what was saved. What users earn is
counted as they feel it: jobs in time, late and never, and work thrown away.
"""

import random
from typing import NamedTuple

from bench import graph_load
from samphiredeal.model import runs
from samphiredeal.model.graph import parse_task_name
from samphiredeal.model.runs import Ended, Report, Running, WorkerFacts

STEP_S = 0.1
SPEEDS = (0.8, 1.0, 1.25)
FAR_FACTOR = 3.0
SAVE_EVERY_S = 1.0
RESTORE_S = 0.25
# An accelerator counts for this many cores of work thrown away.
ACCELERATOR_CORES = 8
# Past this many times its objective a job's end earns nothing.
LATE_FACTOR = 3.0
# The largest job counts for this many of the mean of its kind.
WORTH_MAX = 4.0
# What runs after the end of arrivals still earns for so long.
TAIL_S = 90.0


class _Run:
    """A run of a task on a worker; `left_s` is work at speed 1."""

    def __init__(self, order, name, step, left_s, saved_s, began_at):
        self.task = order.task
        self.run = order.run
        self.left_s = left_s
        self.total_s = left_s
        self.saved_s = saved_s
        self.name = name
        self.step = step
        self.saves = step.checkpointing
        self.cores = _cores(step)
        self.began_at = began_at
        self.slowdown = 1.0
        self.stop_at = None

    @property
    def worked_s(self):
        return self.total_s - self.left_s


class Outcome(NamedTuple):
    """What a day earned: shares of the worth owed, and core-seconds wasted."""

    earned: float
    by_kind: dict
    wasted_core_s: float
    waste_share: float

    @property
    def net_value(self):
        """The whole day's share, less the work thrown away."""
        return self.earned - self.waste_share


class GraphSimulation:
    """One day of a site under a scheduler."""

    def __init__(self, site, seed, scheduler, load=1.0):
        self._site = site
        self._rng = random.Random(f"workers {seed}")
        self._scheduler = scheduler
        self._jobs = graph_load.draw_jobs(site, seed, load)
        self._by_id = {job.record.id: job for job in self._jobs}
        self._facts = {}
        self._speeds = {}
        self._running = {}
        self._ended = {}
        self._finished = {}
        self._numbers = {}
        self.now = 0.0
        self.wasted_core_s = 0.0
        scheduler.guarantees = graph_load.guarantees(site)
        for n in range(site.workers):
            self._add_worker(n)

    def _add_worker(self, n):
        site = self._site
        zone = n * site.zones // site.workers
        name = f"w{n}"
        self._facts[name] = WorkerFacts(
            f"i-{name}", 1, graph_load.SERVICE, f"z{zone}", site.capacity,
            ("kind", f"r{n // site.per_rack}"),
        )  # fmt: skip
        self._speeds[name] = self._rng.choice(SPEEDS)
        self._running[name], self._ended[name] = {}, []
        self._numbers[name] = 0
        self._scheduler.add_worker(name, f"z{zone}")

    def run(self):
        """Play the day and return its `Outcome`."""
        waiting = list(self._jobs)
        cancels = sorted(
            (job.cancelled_at, job.record.id)
            for job in self._jobs
            if job.cancelled_at is not None
        )
        looks = 0
        end_s = graph_load.LEAD_S + self._site.length_s + TAIL_S
        while self.now < end_s and len(self._finished) < len(self._jobs):
            while waiting and waiting[0].at <= self.now:
                self._scheduler.add_job(waiting.pop(0).record, None, self.now)
            while cancels and cancels[0][0] <= self.now:
                job_id = cancels.pop(0)[1]
                if job_id not in self._finished:
                    self._scheduler.cancel_job(job_id, self.now)
                    self._finished[job_id] = None
            looks += 1
            self._decide(looks)
            self.now = round(self.now + STEP_S, 6)
            self._work()
        return self._outcome()

    def _decide(self, looks):
        scheduler = self._scheduler
        for name in self._facts:
            self._report(name, looks)
        scheduler.plan(self.now, round(self.now * 1000))
        scheduler.take_log_entries()
        for job in scheduler.take_dirty():
            for unit in job.units.values():
                for placement in unit.placements.values():
                    placement.committed = True
            if not job.active and job.id not in self._finished:
                done = job.state == "completed"
                self._finished[job.id] = self.now if done else None
        for name in self._facts:
            starts, stops = scheduler.orders_for(name, self.now)
            for order in starts:
                self._start(name, order)
            for task, run in stops:
                one = self._running[name].get((task, run))
                if one is not None and one.stop_at is None:
                    one.stop_at = self.now + self._site.stop_s
        self._set_slowdowns()

    def _report(self, name, looks):
        listed = tuple(
            Running(
                one.task, one.run, _checkpoint(one),
                int(100 * one.worked_s / max(one.total_s, 1e-9)),
            )
            for one in self._running[name].values()
        )  # fmt: skip
        ended = tuple(self._ended[name])
        self._ended[name] = []
        report = Report(
            self._facts[name], looks=looks // 8, running=listed, ended=ended
        )
        self._scheduler.apply_report(name, report, self.now)

    def _start(self, name, order):
        task = parse_task_name(order.task)
        drawn = self._by_id[task.job]
        step = drawn.record.spec.steps[task.step]
        work_s = drawn.work_s[(task.step, task.index)]
        saved_s = float(order.checkpoint or 0.0)
        left_s = max(0.05, work_s - saved_s) + (RESTORE_S if saved_s else 0.0)
        one = _Run(order, task, step, left_s, saved_s, self.now)
        self._running[name][(order.task, order.run)] = one

    def _set_slowdowns(self):
        """Work far from its data, and gangs over several racks, take longer."""
        racks = {}
        for name, listed in self._running.items():
            for one in listed.values():
                racks.setdefault((one.name.job, one.name.step, one.run), set()).add(
                    self._facts[name].labels[-1]
                )
        for name, listed in self._running.items():
            for one in listed.values():
                step = one.step
                rack = self._facts[name].labels[-1]
                spread = len(racks[(one.name.job, one.name.step, one.run)]) > 1
                far = bool(step.data_rack) and step.data_rack != rack
                split = step.gang and step.one_rack and spread
                one.slowdown = FAR_FACTOR if far or split else 1.0

    def _work(self):
        done_gangs = {}
        for name, listed in self._running.items():
            for key, one in list(listed.items()):
                if one.stop_at is not None and self.now >= one.stop_at:
                    self._end(name, key, runs.STOPPED)
                    continue
                one.left_s -= STEP_S * self._speeds[name] / one.slowdown
                if one.step.gang:
                    gang = (one.name.job, one.name.step)
                    group = done_gangs.setdefault(gang, [])
                    group.append((name, key, one.left_s <= 0))
                elif one.left_s <= 0:
                    self._end(name, key, runs.DONE)
        for (job_id, number), group in done_gangs.items():
            count = self._by_id[job_id].record.spec.steps[number].count
            if len(group) == count and all(done for _n, _k, done in group):
                for name, key, _done in group:
                    if key in self._running[name]:
                        self._end(name, key, runs.DONE)

    def _end(self, name, key, how):
        one = self._running[name].pop(key)
        self._numbers[name] += 1
        checkpoint = ""
        if how != runs.DONE:
            worked_s = max(0.0, one.worked_s)
            if one.saves:
                checkpoint = f"{one.saved_s + worked_s:.3f}"
            else:
                elapsed_s = self.now - one.began_at
                self.wasted_core_s += elapsed_s * one.cores
        self._ended[name].append(
            Ended(self._numbers[name], one.task, one.run, how, checkpoint)
        )

    def _outcome(self):
        owed, earned, by_kind = 0.0, 0.0, {}
        works = {}
        for job in self._jobs:
            works.setdefault(job.kind.name, []).append(_job_work(job))
        for job in self._jobs:
            if (
                job.cancelled_at is not None
                and self._finished.get(job.record.id) is None
            ):
                continue
            mean = sum(works[job.kind.name]) / len(works[job.kind.name])
            share = min(WORTH_MAX, 0.3 + 0.7 * _job_work(job) / mean)
            owed += share * job.kind.worth
            gain = share * self._credit(job)
            earned += gain
            got, of = by_kind.get(job.kind.name, (0.0, 0.0))
            by_kind[job.kind.name] = (got + gain, of + share * job.kind.worth)
        wasted = self._site.waste_price * self.wasted_core_s / owed
        return Outcome(
            earned / owed,
            {kind: got / of for kind, (got, of) in by_kind.items()},
            self.wasted_core_s,
            wasted,
        )

    def _credit(self, job):
        ended_at = self._finished.get(job.record.id)
        if ended_at is None:
            return 0.0
        took_s = ended_at - job.at
        objective_s = self._objective_s(job)
        if took_s <= objective_s:
            return job.kind.worth
        return job.kind.late_worth if took_s <= LATE_FACTOR * objective_s else 0.0

    def _objective_s(self, job):
        chain_s = 0.0
        for number, step in enumerate(job.record.spec.steps):
            longest = max(job.work_s[(number, i)] for i in range(step.count))
            room = sum(
                step.shape.copies_in(facts.capacity) for facts in self._facts.values()
            )
            waves = -(-step.count // max(1, room // 4))
            chain_s += longest * waves
        return job.kind.stretch * chain_s + job.kind.target_latency_s


def _checkpoint(one):
    """Return the work saved by now, as text; empty if none is."""
    if not one.saves:
        return ""
    saved_s = one.saved_s + max(0.0, one.worked_s) // SAVE_EVERY_S * SAVE_EVERY_S
    return f"{saved_s:.3f}" if saved_s else ""


def _job_work(job):
    total = 0.0
    for (number, _index), work_s in job.work_s.items():
        total += work_s * _cores(job.record.spec.steps[number])
    return total


def _cores(step):
    """Return what a task of a step takes, in cores."""
    shape = step.shape
    return shape.cpu_milli / 1000 + ACCELERATOR_CORES * shape.accelerators
