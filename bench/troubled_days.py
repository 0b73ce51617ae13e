"""Modelled days of small sites: a silent store, a loss of all VMs, workers that hang.

Steps the real decisions like `bench.graph_drive`, and models what that leaves out:

- While the store is silent no placement is stored, so nothing starts; after 3 s nothing
  is planned either. Ends are told at the return, or at once.
- While no VM is up nothing is decided; then a new scheduler takes over from the stored
  records and beliefs. If the workers are lost too, their runs are.
- A caller has 3 s and five tries; one whose tries all fail is refused. Callers cancel.
- Jobs that have not ended by the end of the day, and cancelled ones, are not owed.

The shares of value by kind and zone are compared with floors, and with their ceilings:
what is earned if every accepted job runs at once on the fastest worker.
"""

import random
from typing import NamedTuple

from bench import graph_drive, graph_load
from bench.graph_drive import STEP_S, GraphSimulation
from samphiredeal.model import runs
from samphiredeal.model.runs import Refused
from samphiredeal.model.shape import Shape
from samphiredeal.policy.graphs import records

_CONTRACT, _HOLD, _CHECK = graph_load.HANBIT_GROWN.kinds
HANBIT = graph_load.Site(
    "hanbit", 11, 4, 3, Shape(128_000, 524_288, 8), 4, 0.62, 49.0, 0.2, 0.0015,
    (
        _CONTRACT._replace(rate_per_s=0.134, width=2, waiting_at_start=3),
        _HOLD._replace(rate_per_s=0.122, width=3),
        _CHECK._replace(rate_per_s=0.064, width=9, waiting_at_start=3),
    ),
)  # fmt: skip
# Shares of the callers by zone.
_ZONES = {"z0": 0.30, "z1": 0.21, "z2": 0.22, "z3": 0.27}
# After the traffic starts, in seconds.
_DAY_END_S = 63.0
# Times of a caller's tries, if it is answered and if it finds no entry.
_TRIES_S = (0.0, 1.05, 1.85, 2.5, 2.93)
_TRIES_WITHOUT_ENTRY_S = (0.0, 0.1, 0.2, 0.35, 0.5)
# How long the last two tries are held for a store that returns meanwhile.
_HELD_S = 0.2
# Nothing is planned by an older configuration.
_MAX_CONFIG_AGE_S = 3.0
# From the return of the VMs until a scheduler has taken over, and until the workers
# report, one after another.
_TAKEOVER_S = 0.5
_REPORTS_S = (0.1, 0.6)
_FASTEST = max(graph_drive.SPEEDS)


class Troubles(NamedTuple):
    """What happens on a day, in seconds after the traffic starts.

    `silence` is when the store is silent, `dark` when no VM is up; with
    `are_workers_lost` all runs are lost with them. `hang` is when a share of the
    workers makes no progress. `cancels` are spans, and the share of the callers of
    that time who cancel. The floors are of each kind and each zone.
    """

    name: str
    silence: tuple = (0.0, 0.0)
    dark: tuple = (0.0, 0.0)
    are_workers_lost: bool = False
    hang: tuple = (0.0, 0.0, 0.0)
    cancels: tuple = ()
    kind_floor: float = 0.2
    zone_floor: float = 0.37


TROUBLE_3 = Troubles(
    "trouble-3",
    silence=(18.0, 22.2),
    dark=(34.0, 34.95),
    hang=(3.8, 7.9, 0.1),
    cancels=((1.0, 7.0, 0.35), (17.5, 23.5, 0.4)),
)
SCALE_2 = Troubles(
    "scale-2",
    dark=(36.2, 37.2),
    are_workers_lost=True,
    kind_floor=0.48,
    zone_floor=0.45,
)
DAYS = {day.name: day for day in (TROUBLE_3, SCALE_2)}


class DayResult(NamedTuple):
    """Shares of value earned, and the ceilings, of the day and by kind and zone.

    `urgent` has for each urgent job that was told in time to be owed the share of its
    objective that it took.
    """

    earned: float
    waste_share: float
    shares: dict
    ceilings: dict
    short: tuple
    urgent: tuple

    @property
    def worth(self):
        """The earned share less the cost of wasted work."""
        return self.earned - self.waste_share

    @property
    def is_avoidable(self):
        """Whether every short group could have reached its floor."""
        return all(self.ceilings[name] >= floor for name, floor in self.short)


class TroubledSimulation(GraphSimulation):
    """Simulation of one troubled day; `make_scheduler()` returns a new scheduler."""

    def __init__(self, troubles, seed, make_scheduler):
        super().__init__(HANBIT, seed, make_scheduler())
        self._troubles = troubles
        self._make_scheduler = make_scheduler
        rng = self._day_rng = random.Random(f"troubles {seed}")
        self._zone_of = {
            job.record.id: rng.choices([*_ZONES], [*_ZONES.values()])[0]
            for job in self._jobs
        }
        self._accepted_at = {}
        self._cancelled_at = {}
        for job in self._jobs:
            self._accepted_at[job.record.id] = self._acceptance(job)
            self._cancelled_at[job.record.id] = self._cancel(job)
        count = round(troubles.hang[2] * HANBIT.workers)
        self._hanging = set(rng.sample([*self._worker_facts], count))
        self._back_at = {}
        self._refusals = {name: [] for name in self._worker_facts}
        self._told_at = {}

    # Times are those of the simulation, which begins before the traffic.

    def _in(self, span, at):
        begin, end = span[:2]
        return begin <= at - graph_load.LEAD_S < end

    def _acceptance(self, job):
        """Return when a job is stored, or None if its caller is refused."""
        if self._in(self._troubles.dark, job.at):
            tries = _TRIES_WITHOUT_ENTRY_S
        else:
            tries = _TRIES_S
        for number, offset in enumerate(tries):
            held_s = _HELD_S if number >= len(tries) - 2 else 0.0
            at = job.at + offset
            if self._in(self._troubles.dark, at):
                continue
            if not self._in(self._troubles.silence, at):
                return at
            back_at = graph_load.LEAD_S + self._troubles.silence[1]
            if back_at <= at + min(held_s, 0.48 * (3.0 - offset)):
                return back_at
        return None

    def _cancel(self, job):
        """Return when a caller cancels, or None."""
        for begin, end, share in self._troubles.cancels:
            if self._in((begin, end), job.at) and self._day_rng.random() < share:
                return job.at + 0.5 * self._objective_s(job)
        return job.cancelled_at

    def run(self):
        """Simulate the day and return its `DayResult`."""
        waiting = sorted(
            (at, job.record.id)
            for job in self._jobs
            if (at := self._accepted_at[job.record.id]) is not None
        )
        cancels = sorted(
            (at, job_id) for job_id, at in self._cancelled_at.items() if at is not None
        )
        poll_count, was_dark = 0, False
        end_s = graph_load.LEAD_S + _DAY_END_S
        while self.now < end_s:
            is_dark = self._in(self._troubles.dark, self.now)
            if is_dark and not was_dark and self._troubles.are_workers_lost:
                self._lose_workers()
            if was_dark and not is_dark:
                self._take_over()
            was_dark = is_dark
            while waiting and waiting[0][0] <= self.now:
                self._scheduler.add_job(
                    self._by_id[waiting.pop(0)[1]].record, None, self.now
                )
            while cancels and cancels[0][0] <= self.now:
                self._scheduler.cancel_job(cancels.pop(0)[1], self.now)
            poll_count += 1
            if not is_dark and self.now >= self._back_at.get("", 0.0):
                self._decide(poll_count)
            self.now = round(self.now + STEP_S, 6)
            self._advance_work()
        return self._result()

    def _lose_workers(self):
        for name, facts in self._worker_facts.items():
            for running in self._running[name].values():
                elapsed_s = self.now - running.began_at
                if not running.checkpointing:
                    self.wasted_core_s += elapsed_s * running.cores
            self._running[name] = {}
            self._worker_facts[name] = facts._replace(born_ms=facts.born_ms + 1)

    def _take_over(self):
        """Begin the term of a scheduler that knows only what is stored."""
        before = self._scheduler
        self._scheduler = after = self._make_scheduler()
        after.guarantees = before.guarantees
        for job in before.jobs.values():
            progress = records.decode(
                records.encode(records.progress_of(job)), records.Progress
            )
            after.add_job(job.record, progress, self.now)
        self._back_at[""] = self.now + _TAKEOVER_S
        for name, facts in self._worker_facts.items():
            after.add_worker(name, facts.zone)
            after.restore_speed(name, before.speeds.belief(name))
            delay_s = _TAKEOVER_S + self._day_rng.uniform(*_REPORTS_S)
            self._back_at[name] = self.now + delay_s

    def _decide(self, poll_count):
        scheduler = self._scheduler
        names = [
            name
            for name in self._worker_facts
            if self.now >= self._back_at.get(name, 0.0)
        ]
        for name in names:
            self._report(name, poll_count)
        silence = self._troubles.silence
        is_silent = self._in(silence, self.now)
        silent_s = self.now - graph_load.LEAD_S - silence[0]
        if not is_silent or silent_s < _MAX_CONFIG_AGE_S:
            scheduler.plan(self.now, round(self.now * 1000))
        scheduler.take_log_entries()
        for job in scheduler.take_dirty():
            if is_silent:
                job.dirty = True
            else:
                for unit in job.units.values():
                    for placement in unit.placements.values():
                        placement.committed = True
            if job.state == "completed" and not is_silent:
                self._told_at.setdefault(job.id, self.now)
        for name in names:
            self._apply_orders(name)
        self._set_slowdowns()

    def _apply_orders(self, name):
        starts, stops = self._scheduler.orders_for(name, self.now)
        for order in starts:
            self._start(name, order)
        for task, run in stops:
            running = self._running[name].get((task, run))
            if running is None:
                refused = Refused(task, run, runs.UNANSWERED)
                self._refusals[name].append(refused)
            elif running.stops_at is None:
                running.stops_at = self.now + self._site.stop_s

    def _make_report(self, name, poll_count):
        report = super()._make_report(name, poll_count)
        refused, self._refusals[name] = tuple(self._refusals[name]), []
        return report._replace(refused=refused)

    def _progress_of(self, name):
        if name in self._hanging and self._in(self._troubles.hang, self.now):
            return 0.0
        return super()._progress_of(name)

    # Value

    def _result(self):
        works = {}
        for job in self._jobs:
            works.setdefault(job.kind.name, []).append(graph_drive.job_work(job))
        groups, total, earned, urgent = {}, 0.0, 0.0, []
        for job in self._jobs:
            if job.at < graph_load.LEAD_S:
                continue
            mean = sum(works[job.kind.name]) / len(works[job.kind.name])
            weight = 0.3 + 0.7 * graph_drive.job_work(job) / mean
            value = min(graph_drive.MAX_JOB_WEIGHT, weight) * job.kind.worth
            got, owed, best, owed_at_best = self._credit(job, value)
            total += owed
            earned += got
            told_at = self._told_at.get(job.record.id)
            if job.record.priority == 0 and told_at is not None:
                urgent.append((told_at - job.at) / self._objective_s(job))
            for name in (job.kind.name, self._zone_of[job.record.id]):
                sums = groups.setdefault(name, [0.0, 0.0, 0.0, 0.0])
                for index, one in enumerate((got, owed, best, owed_at_best)):
                    sums[index] += one
        shares = {name: got / owed for name, (got, owed, *_) in groups.items() if owed}
        ceilings = {
            name: max(best / owed_at_best if owed_at_best else 1.0, shares[name])
            for name, (_got, _owed, best, owed_at_best) in groups.items()
            if name in shares
        }
        floors = {
            name: self._troubles.zone_floor
            if name in _ZONES
            else self._troubles.kind_floor
            for name in shares
        }
        short = tuple(
            (name, floors[name]) for name in shares if shares[name] < floors[name]
        )
        total = max(total, 1e-9)
        waste_share = self._site.waste_price * self.wasted_core_s / total
        return DayResult(
            earned / total, waste_share, shares, ceilings, short, tuple(urgent)
        )

    def _credit(self, job, value):
        """Return what a job earned and is owed, and both at best."""
        job_id, end_s = job.record.id, graph_load.LEAD_S + _DAY_END_S
        cancelled_at = self._cancelled_at[job_id]
        until = end_s if cancelled_at is None else min(end_s, cancelled_at)
        accepted_at = self._accepted_at[job_id]
        if accepted_at is None:
            owed = value if cancelled_at is None else 0.0
            return 0.0, owed, 0.0, owed
        factor = job.kind.late_worth / job.kind.worth

        def value_at(at):
            took_s, objective_s = at - job.at, self._objective_s(job)
            if took_s <= objective_s:
                return value
            is_late = took_s <= graph_drive.LATE_LIMIT_FACTOR * objective_s
            return factor * value if is_late else 0.0

        chain_s = sum(
            max(job.work_s[(number, index)] for index in range(step.count))
            for number, step in enumerate(job.record.spec.steps)
        )
        best_at = accepted_at + chain_s / _FASTEST
        best = value_at(best_at) if best_at <= until else 0.0
        owed_at_best = value if best_at <= until else 0.0
        told_at = self._told_at.get(job_id)
        if told_at is not None and told_at <= until:
            return value_at(told_at), value, best, value
        return 0.0, 0.0, best, owed_at_best
