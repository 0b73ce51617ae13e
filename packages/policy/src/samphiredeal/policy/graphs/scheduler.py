"""Scheduler for job graphs: decides which runs to start and stop, and when.

The host adds jobs, passes in reports and requests plans. It may send the starts
of a plan only after the progress of their jobs is stored.
"""

import math
from typing import NamedTuple

from samphiredeal.model.runs import StartOrder
from samphiredeal.policy.graphs import (
    fitting,
    health,
    holding,
    measuring,
    ordering,
    reclaim,
    records,
    sooner,
    waiting,
)
from samphiredeal.policy.graphs import reports as reporting
from samphiredeal.policy.graphs.chances import RunSpread, in_time_chance
from samphiredeal.policy.graphs.headroom import Headroom, fastest_workers
from samphiredeal.policy.graphs.speeds import WorkerSpeeds
from samphiredeal.policy.graphs.state import (
    CANCELLED,
    FAILED,
    LISTED,
    ORDERED,
    Forecast,
    JobState,
    Placement,
    WorkerState,
)
from samphiredeal.policy.graphs.tickets import Tickets

# Share of the gang start timeout, after which members stop waiting for each other. A
# gang whose members are not all listed by then is stopped and restarted.
_GANG_START_SHARE = 0.67
# Members of a finished gang exit on their own within this time.
_GANG_EXIT_S = 1.0
# Starts sent to an agent that it has not reported yet. It calls its worker for each,
# and urgent work must not wait behind hundreds. Below the limit of the agent's calls.
_MAX_STARTS_IN_FLIGHT = 48
# A stop without a visible effect is sent again after this time.
_STOP_RETRY_S = 0.5
# Runs that can be resumed are moved to faster workers one by one, at this interval.
_MOVE_INTERVAL_S = 0.5
# Such runs that are examined at a time. Bounds the cost in a large system.
_MAX_MOVES_EXAMINED = 20
# How long a place is kept for such a run. A stop takes 0.9 s at most.
_MOVE_TIMEOUT_S = 2.0
# A step wider than the total capacity divided by this is expected to run in waves.
# Urgent work beyond its guarantee preempts other work for one wave at a time.
_WAVES_PER_CAPACITY = 4
# Urgent work beyond a guarantee may discard at most this many times its own work:
# an urgent job that ends in time has about this many times the value of a late one.
_URGENT_LOSS_FACTOR = 3.0


class Note(NamedTuple):
    """A scheduling decision to be logged."""

    event: str
    fields: dict


class GraphScheduler:
    """Scheduling state of all jobs and workers.

    `far_factor` is the run time away from the data relative to the run time next to
    it; `gang_start_s` is how long gang members wait for each other.
    """

    def __init__(self, far_factor=3.0, gang_start_s=3.0):
        self._far_factor = far_factor
        self._gang_timeout_s = gang_start_s * _GANG_START_SHARE
        self._log_entries = []
        self.jobs = {}
        self.workers = {}
        self.zones_out = frozenset()
        self.guarantees = {}
        self.tickets = Tickets()
        self.speeds = WorkerSpeeds()
        self.run_spread = RunSpread()
        self._refresh_limit = measuring.RefreshLimit()
        self._first_report_at = None
        self._moves_due_at = float("-inf")
        self._headroom = Headroom()
        self._advice_request = None
        # Units of which agents list runs without a placement; None: to be collected.
        self._found_units = None
        # The `JobRecord`s of held jobs, or None, by id; see `hold_jobs`.
        self.held_jobs = {}
        # Speeds of the runs of a step, collected once for each plan.
        self._step_speeds = {}
        # Whether urgent work awaits the reports of faster workers, in this plan.
        self._is_urgent_work_awaiting = False

    # Events from the host

    def add_job(self, record, progress, now, was_held=False):
        """Add an accepted job; `progress` is its stored progress or None.

        `was_held` tells that its room may have been used meanwhile.
        """
        if record.id in self.jobs:
            return
        self._found_units = None
        if progress is None:
            self.jobs[record.id] = JobState(record)
            return
        job, placements = records.restore(record, progress, now)
        job.was_held = was_held
        self.jobs[record.id] = job
        for placement in placements:
            self._worker(placement.worker, "").add(placement)

    def hold_jobs(self, records_by_id):
        """Hold exactly these jobs, of which a row cannot be read.

        `records_by_id` has their last readable `JobRecord`s, or None. Those that were
        held before are dropped; add them anew by their rows, and then call
        `sort_unplaced_runs`. Returns the ids of the jobs dropped.
        """
        released = self.held_jobs.keys() - records_by_id.keys()
        self.held_jobs = records_by_id
        for job_id in released & self.jobs.keys():
            self._drop_job(self.jobs[job_id])
        for job_id in records_by_id.keys() & self.jobs.keys():
            job = self.jobs[job_id]
            job.is_held = True
            for unit in job.units.values():
                if unit.claim:
                    self._claim(unit, {})
        return released

    def is_held_task(self, task):
        """Return whether a task, given by its name, belongs to a held job."""
        return holding.is_held_task(self, task)

    def sort_unplaced_runs(self):
        """Look anew at which listed runs belong to held jobs, and which to none."""
        self._found_units = None
        for worker in self.workers.values():
            holding.sort_unplaced_runs(self, worker)

    def _drop_job(self, job):
        """Drop a job with its placements; its runs are not stopped."""
        for unit in job.units.values():
            self._claim(unit, {})
            for placement in unit.placements.values():
                worker = self.workers.get(placement.worker)
                if worker is not None:
                    worker.remove(placement)
        self.forget_job(job.id)

    def cancel_job(self, job_id, now, is_end_stored=True):
        """Cancel an active job; the next plan stops its runs.

        A job that has ended is cancelled too if its end is not stored: its caller may
        already have been told that it is.
        """
        job = self.jobs.get(job_id)
        if job is None or job.is_held or job.state == CANCELLED:
            return
        if job.active or not is_end_stored:
            job.end(CANCELLED, "cancelled by its caller", now)

    def fail_unstorable_job(self, job_id, reason, now):
        """End a job whose progress the store rejects; the next plan stops its runs.

        Starts that are not stored have not been sent, so they are dropped.
        """
        job = self.jobs.get(job_id)
        if job is None or job.is_held:
            return
        if job.active:
            job.end(FAILED, reason, now)
        for unit in job.units.values():
            for placement in list(unit.placements.values()):
                if not placement.committed:
                    self.workers[placement.worker].remove(placement)
                    del unit.placements[placement.index]

    def forget_job(self, job_id):
        """Drop an ended job and its state."""
        self.jobs.pop(job_id, None)
        self.tickets.forget_job(job_id)

    def add_worker(self, name, zone):
        """Add a worker that an agent has announced."""
        self._worker(name, zone)

    def restore_speed(self, name, belief):
        """Take over the `Belief` of an earlier scheduler on a worker's speed."""
        self.speeds.restore(name, belief)
        self.workers[name].speed = self.speeds.speed_of(name)

    def remove_worker(self, name):
        """Remove a worker if it has no placements."""
        worker = self.workers.get(name)
        if worker is not None and not worker.placements:
            del self.workers[name]
            self.speeds.forget_worker(name)
            self._found_units = None

    def apply_report(self, worker_name, report, now):
        """Apply an agent's report."""
        worker = self.workers.get(worker_name)
        self._found_units = None
        if worker is not None:
            if self._first_report_at is None and report.worker is not None:
                self._first_report_at = now
            for event, fields in reporting.apply_report(self, worker, report, now):
                self._log_entries.append(Note(event, fields))

    def has_placements_on(self, worker_name):
        """Return whether a worker may run anything.

        Where the runs of held jobs are is not known.
        """
        worker = self.workers.get(worker_name)
        return worker is not None and bool(worker.placements or self.held_jobs)

    def mark_worker_unreachable(self, worker_name):
        """Exclude a worker whose agent is unresponsive from new starts."""
        worker = self.workers.get(worker_name)
        if worker is not None:
            worker.reachable = False

    def mark_worker_failed(self, worker_name, reason):
        """Remove all placements of a worker whose lease has certainly expired."""
        worker = self.workers.get(worker_name)
        if worker is not None:
            entries = []
            reporting.remove_all_placements(worker, reason, entries)
            worker.forget_unplaced_runs()
            self._found_units = None
            worker.life = ""
            worker.reachable = False
            self._log_entries += [Note(event, fields) for event, fields in entries]

    def take_log_entries(self):
        """Return and clear the decisions made since the last call."""
        entries, self._log_entries = self._log_entries, []
        return entries

    # Queries from the host

    def take_dirty(self):
        """Return the jobs whose progress has changed, and mark them clean."""
        dirty = [job for job in self.jobs.values() if job.dirty and not job.is_held]
        for job in dirty:
            job.dirty = False
        return dirty

    def mark_new_checkpoints(self):
        """Mark jobs dirty whose running tasks have written a new checkpoint."""
        for job in self.jobs.values():
            for unit in job.units.values():
                if unit.placements and unit.checkpoint != unit.stored_checkpoint:
                    unit.stored_checkpoint = unit.checkpoint
                    job.touch(unit)

    def objective_s(self, job, wall_ms):
        """Return the estimated time in which the user expects the job to end."""
        context = ordering.OrderingContext(wall_ms, self._share_function())
        return round(ordering.objective_s(job, context), 3)

    def fitting_tasks(self, job):
        """Return for each step how many of its tasks fit on the workers that report."""
        return [
            self._count_fitting(job.record.service, step.shape)
            for step in job.record.spec.steps
        ]

    def take_advice_request(self):
        """Return and clear the first `AdviceRequest` of the last plan, or None."""
        request, self._advice_request = self._advice_request, None
        return request

    def apply_advice(self, request, tickets, valid_s, requested_at):
        """Store the tickets returned for an advice request."""
        incarnations = {worker.id: worker.life for worker in self.workers.values()}
        self.tickets.apply_advice(request, incarnations, tickets, valid_s, requested_at)

    def plan(self, now, wall_ms):
        """Decide starts and stops; the result is in the placements of the workers."""
        self.tickets.now = now
        self._advice_request = None
        for worker in self.workers.values():
            health.drop_expired(worker, now)
        for job in self.jobs.values():
            if job.active and not job.is_held:
                job.add_due_occurrences(wall_ms)
                if job.has_changed or not job.units:
                    job.has_changed = False
                    job.close_finished(now)
        self._measure_speeds(now)
        self._stop_unwanted_runs(now)
        covered = self._covered_jobs()
        context = ordering.OrderingContext(wall_ms, self._share_function())
        units = sorted(
            self._waiting_units(now),
            key=lambda unit: ordering.rank(unit, unit.job.id in covered, context),
        )
        self._drop_stale_claims()
        self._is_urgent_work_awaiting = False
        blocked = set()
        for unit in units:
            group = (unit.job.id, unit.step, tuple(unit.failed_on))
            if group in blocked and not unit.job.urgent and not unit.claim:
                continue
            if not self._place(unit, unit.job.id in covered, now, context):
                blocked.add(group)
        if now >= self._moves_due_at:
            self._moves_due_at = now + _MOVE_INTERVAL_S
            self._move_to_faster_worker(now, context)

    def orders_for(self, worker_name, now, may_start=True):
        """Return (starts, stops) that are due to be sent to a worker's agent.

        Without `may_start` the starts wait, because what the last plan knew is too old.
        """
        worker = self.workers[worker_name]
        due, stops, in_flight = [], [], 0
        if not worker.reachable:
            # Its agent would ignore orders for a worker that it does not know.
            return [], stops
        for placement in worker.placements.values():
            if not placement.committed or placement.life != worker.life:
                continue
            if placement.unit.job.is_held:
                continue
            if placement.stopping:
                last = placement.stop_sent_at
                if last is None or now - last > _STOP_RETRY_S:
                    placement.stop_sent_at = now
                    if placement.stop_ordered_at is None:
                        placement.stop_ordered_at = now
                    stops.append((placement.task, placement.run))
            elif placement.status == ORDERED and placement.sent_at is None:
                if may_start and placement.unit not in self._units_found_elsewhere():
                    due.append(placement)
            elif placement.status == ORDERED:
                in_flight += 1
        stops += [(run.task, run.run) for run in worker.foreign_runs]
        return self._begin_starts(worker, due, in_flight, now), stops

    def _begin_starts(self, worker, due, in_flight, now):
        """Return the orders for as many starts as its agent can send at once."""
        room = max(0, _MAX_STARTS_IN_FLIGHT - in_flight)
        if len(due) > room:
            due.sort(key=lambda placement: placement.unit.job.record.priority)
        starts = []
        for placement in due[:room]:
            placement.sent_at = now
            ticket = self.tickets.text_for(placement.unit, worker)
            starts.append(_start_order(placement, ticket))
        return starts

    # Decisions

    def _measure_speeds(self, now):
        """Update what is believed of the workers' speeds, from the runs on them."""
        for worker in self._refresh_limit.select(self.workers.values(), now):
            fields = measuring.refresh(self.speeds, worker, now)
            if fields is not None:
                self._log_entries.append(Note("worker_speed", fields))
        for job_id in self.speeds.open_jobs:
            job = self.jobs.get(job_id)
            if job is None or not job.active:
                self.speeds.close_job(job_id)
            else:
                job.pace = self.speeds.pace_of(job_id)

    def _worker(self, name, zone):
        worker = self.workers.get(name)
        if worker is None:
            worker = self.workers[name] = WorkerState(name, zone)
        return worker

    def _units_found_elsewhere(self):
        """Return the units of which an agent lists a run that has no placement there.

        Nothing of them may start before that run is gone. The rows should name it: the
        scheduler has concluded too much, or read too little.
        """
        if self._found_units is None:
            found = (
                reporting.find_unit(self, run.task)[0]
                for worker in self.workers.values()
                for run in worker.foreign_runs
            )
            self._found_units = {unit for unit in found if unit is not None}
        return self._found_units

    def _stop_unwanted_runs(self, now):
        self._step_speeds = {}
        for worker in self.workers.values():
            for placement in worker.placements.values():
                if not placement.stopping:
                    reason = self._stop_reason(placement, now)
                    if reason:
                        self._stop(placement.unit, reason)

    def _stop_reason(self, placement, now):
        unit = placement.unit
        if unit.job.is_held:
            return ""
        if unit.done:
            overdue = now - (unit.done_at or now) > _GANG_EXIT_S
            return "its gang is done" if overdue else ""
        if not unit.job.active:
            return f"its job is {unit.job.state}"
        worker = self.workers[placement.worker]
        if placement.status == ORDERED and placement.sent_at is None:
            reason = self._withdrawal_reason(placement, worker)
            if reason:
                return reason
        should_evacuate = worker.leaving and unit.spec.checkpointing
        if should_evacuate and self._has_alternative(unit, worker):
            return "its worker is leaving"
        if health.is_stalled(placement):
            for name in health.stalled_workers(placement, self.workers):
                health.record_stall(self.workers[name], now)
            # Urgent work can preempt other work elsewhere.
            has_place = unit.job.urgent or self._has_alternative(unit, worker)
            if has_place and health.should_restart(placement):
                return "it stands still"
            return ""
        if self._is_abnormally_slow(placement) and self._has_alternative(unit, worker):
            health.record_stall(worker, now)
            return "it runs far slower than its siblings"
        if unit.count > 1 and self._is_incomplete(unit, now):
            return "its gang did not start as a whole"
        return ""

    def _withdrawal_reason(self, placement, worker):
        """Return why a start that was decided earlier must not be sent now, or ''.

        An earlier scheduler may have sent it, so it is stopped rather than dropped.
        """
        if not worker.reachable or placement.life != worker.life:
            # It is not sent before a report tells where the worker is.
            return ""
        if worker.zone in self.zones_out:
            return "its zone is out of service"
        if worker.foreign_runs or worker.has_unknown_shapes:
            return "an unknown run uses its worker"
        is_room_lost = not worker.used.fits(worker.capacity)
        if placement.unit.job.was_held and is_room_lost:
            return "its room was used while its job could not be read"
        return "its worker is leaving" if worker.leaving else ""

    def _is_abnormally_slow(self, placement):
        unit = placement.unit
        if unit.spec.lasting or unit.spec.count < 2 or placement.speed is None:
            return False
        step = (unit.job.id, unit.occurrence, unit.step)
        if step not in self._step_speeds:
            self._step_speeds[step] = health.step_speeds(unit)
        return health.is_abnormally_slow(placement, self._step_speeds[step])

    def _move_to_faster_worker(self, now, context):
        """Stop a run that can be resumed and is late where it is; claim a faster place.

        The workers that are left to urgent work are not used.
        """
        spared = fastest_workers(self.workers.values(), self._headroom.share(now))
        usable = [
            worker
            for worker in self.workers.values()
            if worker.reachable and not worker.leaving and worker.name not in spared
        ]
        fastest = max((worker.speed for worker in usable), default=0.0)
        units = sooner.late_resumable_units(
            self.jobs.values(), self.workers, fastest, self._far_factor, context
        )
        for unit in units[:_MAX_MOVES_EXAMINED]:
            candidates = [
                worker
                for worker in usable
                if fitting.is_allowed(self, unit, worker)
                and not health.is_risky(worker, unit)
            ]
            places = sooner.find_move(unit, candidates, self.workers, self._far_factor)
            if places is not None:
                self._claim(unit, places)
                unit.claimed_until = now + _MOVE_TIMEOUT_S
                self._stop(unit, "it ends sooner on a faster worker")
                return

    def _has_alternative(self, unit, worker):
        others = [
            other
            for other in self.workers.values()
            if other is not worker
            and fitting.is_allowed(self, unit, other)
            and health.failure_score(other) < health.UNHEALTHY_SCORE
        ]
        places = fitting.find_places(
            unit,
            others,
            lambda other: other.capacity_for(unit),
            self._far_factor,
            remote_allowed=True,
        )
        return places is not None

    def _is_incomplete(self, unit, now):
        """Return whether a gang lost a member or did not fully start in time."""
        placements = unit.placements.values()
        if len(placements) < unit.count:
            return True
        if unit.whole_run == unit.run:
            # A member that was listed once and is not now is ordered again alone.
            return False
        sent = [p.sent_at for p in placements if p.sent_at is not None]
        if not sent or all(p.status == LISTED for p in placements):
            return False
        return now - min(sent) > self._gang_timeout_s

    def _stop(self, unit, reason):
        for placement in unit.placements.values():
            placement.stopping = placement.stopping or reason
        self._log_entries.append(
            Note(
                "unit_stopped",
                {
                    "job": unit.job.id,
                    "unit": unit.key,
                    "run": unit.run,
                    "reason": reason,
                },
            )
        )

    def _waiting_units(self, now):
        units = []
        for job in self.jobs.values():
            if not job.active or job.is_held:
                continue
            done = {}
            for unit in job.units.values():
                if unit.done or unit.placements:
                    continue
                if unit in self._units_found_elsewhere():
                    continue
                if unit.occurrence not in done:
                    done[unit.occurrence] = job.steps_done(unit.occurrence)
                if set(unit.spec.after) <= done[unit.occurrence]:
                    if unit.ready_since is None:
                        unit.ready_since = now
                    units.append(unit)
        return units

    def _covered_jobs(self):
        """Return the ids of urgent jobs that are within their accounts' guarantees.

        Older jobs of an account are covered first.
        """
        used, covered = {}, set()
        urgent = [job for job in self.jobs.values() if job.active and job.urgent]
        urgent.sort(key=lambda job: (job.record.accepted_ms, job.id))
        for job in urgent:
            account = job.record.account
            need = max(
                step.count * step.shape.accelerators for step in job.record.spec.steps
            )
            total = used.get(account, 0) + need
            if total <= self.guarantees.get(account, 0):
                used[account] = total
                covered.add(job.id)
        return covered

    def _claim(self, unit, places):
        """Replace the unit's claims on capacity; empty `places` release them."""
        for name in unit.claim:
            worker = self.workers.get(name)
            if worker is not None:
                worker.claims.pop(unit, None)
        unit.claim = dict(places)
        for name, count in places.items():
            self.workers[name].claims[unit] = count

    def _drop_stale_claims(self):
        """Release the claims of units that are done or whose job has ended."""
        for worker in self.workers.values():
            for unit in list(worker.claims):
                if unit.done or not unit.job.active:
                    self._claim(unit, {})

    def _share_function(self):
        """Return the `share` of an `OrderingContext`, valid for one plan."""
        cached = {}

        def share(job, number):
            spec = job.record.spec.steps[number]
            key = (job.record.service, spec.shape)
            if key not in cached:
                tasks = self._count_fitting(*key)
                cached[key] = max(1, tasks // _WAVES_PER_CAPACITY)
            return cached[key]

        return share

    def _count_fitting(self, service, shape):
        """Return how many tasks fit on all reachable workers if those are empty."""
        return sum(
            shape.copies_in(worker.capacity)
            for worker in self.workers.values()
            if worker.service == service and worker.reachable
        )

    def _place(self, unit, covered, now, context):
        """Place a unit or preempt work for it; return whether it was placed."""
        workers = self._usable_workers(unit, fitting.is_allowed)
        if unit.job.record.advice is not None:
            workers = self._workers_with_ticket(unit, workers)
        if unit.claim and not self._is_claim_useful(unit, now):
            self._claim(unit, {})

        def available_on(worker):
            return worker.capacity_for(unit)

        remote_allowed = waiting.may_run_remotely(
            unit, workers, covered, self._far_factor, now
        )
        spared = set()
        if waiting.has_slack(unit, context):
            if self._is_urgent_work_awaiting:
                # It may need any of the workers that have reported.
                self._record_wait(unit, waiting.FOR_URGENT_WORK)
                return False
            spared = fastest_workers(workers, self._headroom.share(now))
        places = fitting.find_places(
            unit, workers, available_on, self._far_factor, remote_allowed, spared
        )
        if places is None:
            constrained = fitting.is_constrained(unit) and not remote_allowed
            self._record_wait(
                unit,
                waiting.FOR_PREFERRED_CAPACITY if constrained else waiting.FOR_CAPACITY,
            )
        elif not unit.claim and waiting.must_leave_headroom(
            unit, workers, self._headroom.share(now), now, context
        ):
            self._record_wait(unit, waiting.FOR_URGENT_WORK)
            return False
        elif waiting.should_await_reports(
            unit, places, self.workers, now - (self._first_report_at or 0.0)
        ):
            self._record_wait(unit, waiting.FOR_FASTER_WORKERS)
            if unit.job.urgent:
                self._is_urgent_work_awaiting = True
                self._headroom.record(unit, fitting.capacity_of(workers).whole, now)
            return False
        elif self._ends_sooner_elsewhere(unit, places, workers, now, context):
            return False
        else:
            if unit.job.urgent:
                self._headroom.record(unit, fitting.capacity_of(workers).whole, now)
            self._start(unit, places, now, max(one.speed for one in workers))
            return True
        if unit.job.urgent and not unit.claim:
            share = context.share(unit.job, unit.step)
            if covered or _active_members(unit) < share:
                self._reclaim(unit, workers, covered, remote_allowed, now)
        return False

    def _ends_sooner_elsewhere(self, unit, places, workers, now, context):
        """Return whether an urgent unit leaves free capacity for one that frees soon.

        It claims that, and displaces other work there if need be.
        """
        if not unit.job.urgent or unit.spec.lasting:
            return False
        usable = {one.name: one for one in workers}

        def chance_at(places, delay_s):
            outlook = sooner.outlook(
                unit, places, usable, self._far_factor, context, delay_s
            )
            deviation = self._speed_deviation(places)
            return in_time_chance(
                outlook, math.hypot(self.run_spread.deviation, deviation)
            )

        here = chance_at(places, 0.0)
        if sooner.is_almost_certain(here):
            return False
        if unit.claim:
            if sooner.should_wait(unit, here, usable, chance_at, now):
                return True
            if unit.has_displaced:
                # Its victims are stopping. To start at once is the best now.
                return False
        if now - unit.ready_since >= sooner.WAIT_MAX_S:
            return False
        rule = reclaim.preemption_rule(unit, self._covered_jobs(), now)
        best = sooner.best_option(
            unit,
            here,
            (
                sooner.find_awaited(unit, usable, chance_at, self._far_factor, now),
                sooner.find_displacing(unit, usable, chance_at, rule, now),
            ),
        )
        if best is None:
            return False
        self._log_entries.append(
            Note(
                "unit_postponed",
                {
                    "job": unit.job.id,
                    "unit": unit.key,
                    "free": places,
                    "awaited": best.places,
                    "chance": round(here, 3),
                    "chance_awaited": round(best.chance, 3),
                    "cost": round(best.cost, 1),
                    "displaced": len(best.victims),
                },
            )
        )
        self._claim(unit, best.places)
        unit.claimed_until = sooner.claim_deadline(best.free_in_s, unit, now)
        self._stop_victims(unit, best.victims)
        return True

    def _speed_deviation(self, places):
        """Return how uncertain the speeds of some places are, by the worst of them."""
        return max(self.speeds.deviation_of(name) for name in places)

    def _usable_workers(self, unit, is_usable):
        """Return the healthy usable workers, or all if those could not hold the unit.

        `is_usable(scheduler, unit, worker)` is a rule such as `fitting.is_allowed`.
        """
        workers = [one for one in self.workers.values() if is_usable(self, unit, one)]
        healthy = [one for one in workers if not health.is_risky(one, unit)]
        return healthy if fitting.could_hold(unit, healthy) else workers

    def _is_reclaimable(self, unit, worker):
        """Return whether the unit may run on the worker once others have stopped."""
        return fitting.is_eligible(self, unit, worker) and (
            unit.job.record.advice is None or self.tickets.is_permitted(unit, worker)
        )

    def _is_claim_useful(self, unit, now):
        """Return whether the capacity claimed for a unit is still expected to free."""
        workers = [self.workers.get(name) for name in unit.claim]
        if None in workers:
            return False
        # Runs that were expected to end by themselves may not.
        is_freed = any(p.stopping for one in workers for p in one.placements.values())
        return (is_freed or now < unit.claimed_until) and all(
            self._is_reclaimable(unit, worker)
            and not health.is_risky(worker, unit)
            and not any(
                reclaim.is_stop_overdue(placement, now)
                for placement in worker.placements.values()
            )
            for worker in workers
        )

    def _workers_with_ticket(self, unit, workers):
        """Return the workers with a ticket; request more tickets if needed."""
        ready = [one for one in workers if self.tickets.is_permitted(unit, one)]
        free = [one for one in ready if fitting.copies_in(unit, one, one.free)]
        if self._advice_request is None and len(free) < unit.count:
            by_free = sorted(workers, key=lambda one: one.free, reverse=True)
            self._advice_request = self.tickets.advice_request(unit, by_free)
        return ready

    def _record_wait(self, unit, reason):
        """Log each reason for which units of a step wait once."""
        logged = unit.job.wait_reasons.setdefault((unit.occurrence, unit.step), set())
        if reason not in logged:
            logged.add(reason)
            fields = {"job": unit.job.id, "unit": unit.key, "reason": reason}
            self._log_entries.append(Note("unit_waits", fields))

    def _start(self, unit, places, now, fastest=None):
        """Start a unit; `fastest` is the speed of the fastest usable worker, to log."""
        unit.run += 1
        self._claim(unit, {})
        names = [name for name, count in places.items() for _ in range(count)]
        for index, name in zip(unit.indexes, names, strict=True):
            worker = self.workers[name]
            placement = Placement(unit, index, worker, unit.run, now)
            unit.placements[index] = placement
            worker.add(placement)
        if unit.job.urgent:
            unit.forecast = Forecast(
                unit.run,
                now,
                sooner.run_s(unit, places, self.workers, self._far_factor),
                self._speed_deviation(places),
            )
        unit.has_displaced = False
        unit.job.touch(unit)
        waited_s = now - unit.ready_since
        unit.job.longest_wait_s = max(unit.job.longest_wait_s, waited_s)
        unit.job.restarts += unit.run > 1
        self._log_entries.append(
            Note(
                "unit_placed",
                {
                    "job": unit.job.id,
                    "unit": unit.key,
                    "run": unit.run,
                    "places": places,
                    "speeds": {
                        name: round(self.workers[name].speed, 2) for name in places
                    },
                    "fastest": fastest and round(fastest, 2),
                    "cores": reclaim.member_cores(unit),
                    "waited_s": round(waited_s, 3),
                    "failures": unit.failures,
                    "checkpoint": unit.checkpoint,
                },
            )
        )
        unit.ready_since = None

    def _reclaim(self, unit, workers, covered, remote_allowed, now):
        """Preempt other work for the unit if that is allowed and cheap enough.

        `workers` are those on which it may run as they are.
        """
        if fitting.is_sensitive(unit):
            workers = self._usable_workers(unit, GraphScheduler._is_reclaimable)
        rule = reclaim.preemption_rule(unit, self._covered_jobs(), now)
        found = reclaim.find_victims(unit, workers, rule, remote_allowed, now)
        if found is None:
            return
        # Lasting work is worth more than any estimate of its duration.
        is_bounded = not covered and not unit.spec.lasting
        limit = _URGENT_LOSS_FACTOR * reclaim.required_core_s(unit)
        if is_bounded and found.cost > limit:
            return
        self._claim(unit, found.places)
        unit.claimed_until = sooner.claim_deadline(sooner.DISPLACE_S, unit, now)
        self._stop_victims(unit, found.victims)

    def _stop_victims(self, unit, victims):
        unit.has_displaced = unit.has_displaced or bool(victims)
        for victim in victims:
            self._stop(victim, f"its room is reclaimed for job {unit.job.id}")


def _active_members(unit):
    """Return how many members of a unit's step have a placement or a claim."""
    return sum(
        other.count
        for other in unit.job.units.values()
        if other.step == unit.step
        and other.occurrence == unit.occurrence
        and (other.placements or other.claim)
    )


def _start_order(placement, ticket):
    unit = placement.unit
    payload = unit.job.record.spec.payload
    return StartOrder(placement.task, placement.run, payload, unit.checkpoint, ticket)
