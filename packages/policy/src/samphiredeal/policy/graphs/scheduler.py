"""The scheduler of job graphs: what to start and what to stop, and when.

The host adds jobs, hands in reports and asks for a plan. A plan's starts may
leave only after the progress of their jobs is stored.
"""

from typing import NamedTuple

from samphiredeal.model.runs import StartOrder
from samphiredeal.policy.graphs import (
    fitting,
    health,
    ordering,
    reclaim,
    records,
    waiting,
)
from samphiredeal.policy.graphs import reports as reporting
from samphiredeal.policy.graphs.headroom import Headroom
from samphiredeal.policy.graphs.state import (
    CANCELLED,
    LISTED,
    ORDERED,
    JobState,
    Placement,
    WorkerState,
)
from samphiredeal.policy.graphs.tickets import Tickets

# A gang whose members are not all listed this share of the time after which they
# give up on each other is stopped and started anew.
_GANG_START_SHARE = 0.67
# Members of a finished gang end by themselves within this.
_LINGER_S = 1.0
# A stop whose effect has not shown is ordered again after this.
_STOP_AGAIN_S = 0.5
# Runs this close to their end are not moved aside.
_NEARLY_DONE_PERCENT = 90
# A step that is wider than this part of the room is expected to run in waves.
# Urgent work beyond its guarantee displaces others for one wave at a time.
_WAVES_PER_ROOM = 4
# Urgent work beyond a guarantee may throw away at most this many times its own
# work. An urgent job in time is worth about this much more than one that is late.
_URGENT_WORTH = 3.0


class Note(NamedTuple):
    """A decision for the log."""

    event: str
    fields: dict


class GraphScheduler:
    """All jobs and workers of a scheduler.

    `far_factor` tells how many times as long work takes far from its data,
    `gang_start_s` for how long members of a gang wait for each other.
    """

    def __init__(self, far_factor=3.0, gang_start_s=3.0):
        self._far_factor = far_factor
        self._gang_limit_s = gang_start_s * _GANG_START_SHARE
        self._notes = []
        self.jobs = {}
        self.workers = {}
        self.zones_out = frozenset()
        self.guarantees = {}
        self.tickets = Tickets()
        self._headroom = Headroom()
        self._question = None
        # Speeds of the runs of a step, collected once for each plan.
        self._step_speeds = {}

    # What the host tells

    def add_job(self, record, progress, now):
        """Add an accepted job with its stored progress (None: none yet)."""
        if record.id in self.jobs:
            return
        if progress is None:
            self.jobs[record.id] = JobState(record)
            return
        job, placements = records.restore(record, progress, now)
        self.jobs[record.id] = job
        for placement in placements:
            self._worker(placement.worker, "").add(placement)

    def cancel_job(self, job_id, now):
        """Cancel a job; what runs of it is stopped."""
        job = self.jobs.get(job_id)
        if job is not None and job.active:
            job.end(CANCELLED, "cancelled by its caller", now)

    def forget_job(self, job_id):
        """Drop an ended job and its state."""
        self.jobs.pop(job_id, None)
        self.tickets.forget_job(job_id)

    def add_worker(self, name, zone):
        """Note a worker that an agent has announced."""
        self._worker(name, zone)

    def remove_worker(self, name):
        """Forget a worker that holds nothing."""
        worker = self.workers.get(name)
        if worker is not None and not worker.placements:
            del self.workers[name]

    def apply_report(self, worker_name, report, now):
        """Take in an agent's report."""
        worker = self.workers.get(worker_name)
        if worker is not None:
            for event, fields in reporting.apply_report(self, worker, report, now):
                self._notes.append(Note(event, fields))

    def mark_worker_unreachable(self, worker_name):
        """Start nothing more on a worker whose agent is silent."""
        worker = self.workers.get(worker_name)
        if worker is not None:
            worker.reachable = False

    def mark_worker_failed(self, worker_name, reason):
        """Take all placements off a worker whose lease has surely lapsed."""
        worker = self.workers.get(worker_name)
        if worker is not None:
            notes = []
            reporting.lose(worker, reason, notes)
            worker.life = ""
            worker.reachable = False
            self._notes += [Note(event, fields) for event, fields in notes]

    def take_log_entries(self):
        """Return the decisions since the last call, for the log."""
        notes, self._notes = self._notes, []
        return notes

    # What the host asks

    def take_dirty(self):
        """Return the jobs whose progress has changed, and mark them clean."""
        dirty = [job for job in self.jobs.values() if job.dirty]
        for job in dirty:
            job.dirty = False
        return dirty

    def mark_new_checkpoints(self):
        """Have jobs stored whose running work has saved something new."""
        for job in self.jobs.values():
            for unit in job.units.values():
                if unit.placements and unit.checkpoint != unit.stored_checkpoint:
                    unit.stored_checkpoint = unit.checkpoint
                    job.dirty = True

    def objective_s(self, job, wall_ms):
        """Return in how many seconds a job's user expects its end, by estimate."""
        clock = ordering.Clock(wall_ms, self._share_function())
        return round(ordering.objective_s(job, clock), 3)

    def take_advice_request(self):
        """Return the `Question` that the last plan would ask first, or None."""
        question, self._question = self._question, None
        return question

    def apply_advice(self, question, tickets, valid_s, asked_at):
        """Take in the tickets that answer a question."""
        lives = {worker.id: worker.life for worker in self.workers.values()}
        self.tickets.answer(question, lives, tickets, valid_s, asked_at)

    def plan(self, now, wall_ms):
        """Decide starts and stops; they show as placements of the workers."""
        self.tickets.now = now
        self._question = None
        for worker in self.workers.values():
            health.forget(worker, now)
        for job in self.jobs.values():
            if job.active:
                job.add_due_occurrences(wall_ms)
                if not job.units:
                    job.settle(now)
        self._stop_unwanted_runs(now)
        covered = self._covered_jobs()
        clock = ordering.Clock(wall_ms, self._share_function())
        units = sorted(
            self._waiting_units(now),
            key=lambda unit: ordering.rank(unit, unit.job.id in covered, clock),
        )
        self._drop_dead_claims()
        blocked = set()
        for unit in units:
            alike = (unit.job.id, unit.step, tuple(unit.failed_on))
            if alike in blocked and not unit.job.urgent and not unit.claim:
                continue
            if not self._place(unit, unit.job.id in covered, now, clock):
                blocked.add(alike)

    def orders_for(self, worker_name, now):
        """Return (starts, stops) that are due to be sent to a worker's agent."""
        worker = self.workers[worker_name]
        starts, stops = [], []
        for placement in worker.placements.values():
            if not placement.committed or placement.life != worker.life:
                continue
            if placement.stopping:
                last = placement.stop_sent_at
                if last is None or now - last > _STOP_AGAIN_S:
                    placement.stop_sent_at = now
                    stops.append((placement.task, placement.run))
            elif placement.status == ORDERED and placement.sent_at is None:
                placement.sent_at = now
                ticket = self.tickets.text_for(placement.unit, worker)
                starts.append(_start_order(placement, ticket))
        stops += [(run.task, run.run) for run in worker.foreign_runs]
        return starts, stops

    # Deciding

    def _worker(self, name, zone):
        worker = self.workers.get(name)
        if worker is None:
            worker = self.workers[name] = WorkerState(name, zone)
        return worker

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
        if unit.done:
            overdue = now - (unit.done_at or now) > _LINGER_S
            return "its gang is done" if overdue else ""
        if not unit.job.active:
            return f"its job is {unit.job.state}"
        worker = self.workers[placement.worker]
        movable = worker.leaving and unit.spec.checkpointing
        if movable and self._has_other_place(unit, worker):
            return "its worker is leaving"
        if health.stands_still(placement):
            for name in health.stalled_workers(placement, self.workers):
                health.note_stall(self.workers[name], now)
            # Urgent work may make room elsewhere.
            has_place = unit.job.urgent or self._has_other_place(unit, worker)
            if has_place and health.should_move(placement):
                return "it stands still"
            return ""
        if self._crawls(placement) and self._has_other_place(unit, worker):
            health.note_stall(worker, now)
            return "it runs far slower than its siblings"
        if unit.count > 1 and self._is_incomplete(unit, now):
            return "its gang did not start as a whole"
        return ""

    def _crawls(self, placement):
        unit = placement.unit
        if unit.spec.lasting or unit.spec.count < 2 or placement.speed is None:
            return False
        step = (unit.job.id, unit.occurrence, unit.step)
        if step not in self._step_speeds:
            self._step_speeds[step] = health.speeds_of(unit)
        return health.crawls(placement, self._step_speeds[step])

    def _has_other_place(self, unit, worker):
        others = [
            other
            for other in self.workers.values()
            if other is not worker
            and fitting.is_allowed(self, unit, other)
            and health.suspicion(other) < health.SICK
        ]
        places = fitting.find(
            unit,
            others,
            lambda other: other.room_for(unit),
            self._far_factor,
            far_allowed=True,
        )
        return places is not None

    def _is_incomplete(self, unit, now):
        """Return whether a gang's orders left long ago and a member is missing."""
        placements = unit.placements.values()
        if len(placements) < unit.count:
            return True
        sent = [p.sent_at for p in placements if p.sent_at is not None]
        if not sent or all(p.status == LISTED for p in placements):
            return False
        return now - min(sent) > self._gang_limit_s

    def _stop(self, unit, reason):
        for placement in unit.placements.values():
            placement.stopping = placement.stopping or reason
        self._notes.append(
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
            if not job.active:
                continue
            done = {}
            for unit in job.units.values():
                if unit.done or unit.placements:
                    continue
                if unit.occurrence not in done:
                    done[unit.occurrence] = job.steps_done(unit.occurrence)
                if set(unit.spec.after) <= done[unit.occurrence]:
                    if unit.ready_since is None:
                        unit.ready_since = now
                    units.append(unit)
        return units

    def _covered_jobs(self):
        """Return the ids of urgent jobs that their accounts' guarantees pay for.

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
        """Keep room for a unit on the workers named; none if empty."""
        for name in unit.claim:
            worker = self.workers.get(name)
            if worker is not None:
                worker.claims.pop(unit, None)
        unit.claim = dict(places)
        for name, count in places.items():
            self.workers[name].claims[unit] = count

    def _drop_dead_claims(self):
        """Give back the room kept for units that do not wait any more."""
        for worker in self.workers.values():
            for unit in list(worker.claims):
                if unit.done or not unit.job.active:
                    self._claim(unit, {})

    def _share_function(self):
        """Return the function for `ordering.Clock`, good for one plan."""
        known = {}

        def share(job, number):
            spec = job.record.spec.steps[number]
            key = (job.record.service, spec.shape)
            if key not in known:
                room = sum(
                    spec.shape.copies_in(worker.capacity)
                    for worker in self.workers.values()
                    if worker.service == job.record.service and worker.reachable
                )
                known[key] = max(1, room // _WAVES_PER_ROOM)
            return known[key]

        return share

    def _place(self, unit, covered, now, clock):
        """Place a unit, or make room for it; return whether it was placed."""
        workers = [
            worker
            for worker in self.workers.values()
            if fitting.is_allowed(self, unit, worker)
        ]
        sound = [one for one in workers if not health.is_risky(one, unit)]
        if fitting.could_hold(unit, sound):
            workers = sound
        if unit.job.record.advice is not None:
            workers = self._ticketed(unit, workers)
        if unit.claim and not unit.claim.keys() <= {one.name for one in workers}:
            self._claim(unit, {})

        def room_of(worker):
            return worker.room_for(unit)

        far_allowed = waiting.may_go_far(unit, workers, covered, self._far_factor, now)
        places = fitting.find(unit, workers, room_of, self._far_factor, far_allowed)
        if places is None:
            choosy = fitting.is_choosy(unit) and not far_allowed
            self._note_wait(unit, waiting.FOR_NEAR_ROOM if choosy else waiting.FOR_ROOM)
        elif waiting.yields(unit, workers, self._headroom.share(now), now, clock):
            self._note_wait(unit, waiting.FOR_URGENT_WORK)
            return False
        else:
            if unit.job.urgent:
                self._headroom.note(unit, fitting.room_of(workers).whole, now)
            self._start(unit, places, now)
            return True
        if unit.job.urgent and not unit.claim:
            share = clock.share(unit.job, unit.step)
            if covered or _members_under_way(unit) < share:
                self._reclaim(unit, workers, covered, far_allowed, now)
        return False

    def _ticketed(self, unit, workers):
        """Return the workers with a ticket; ask about the others if needed."""
        ready = [one for one in workers if self.tickets.allow(unit, one)]
        free = [one for one in ready if fitting.copies_in(unit, one, one.free)]
        if self._question is None and len(free) < unit.count:
            by_room = sorted(workers, key=lambda one: one.free, reverse=True)
            self._question = self.tickets.question(unit, by_room)
        return ready

    def _note_wait(self, unit, reason):
        """Log what units of a step wait for, each reason once."""
        known = unit.job.waits.setdefault((unit.occurrence, unit.step), set())
        if reason not in known:
            known.add(reason)
            fields = {"job": unit.job.id, "unit": unit.key, "reason": reason}
            self._notes.append(Note("unit_waits", fields))

    def _start(self, unit, places, now):
        unit.run += 1
        self._claim(unit, {})
        names = [name for name, count in places.items() for _ in range(count)]
        for index, name in zip(unit.indexes, names, strict=True):
            worker = self.workers[name]
            placement = Placement(unit, index, worker, unit.run, now)
            unit.placements[index] = placement
            worker.add(placement)
        unit.job.dirty = True
        waited_s = now - unit.ready_since
        unit.job.longest_wait_s = max(unit.job.longest_wait_s, waited_s)
        unit.job.restarts += unit.run > 1
        self._notes.append(
            Note(
                "unit_placed",
                {
                    "job": unit.job.id,
                    "unit": unit.key,
                    "run": unit.run,
                    "places": places,
                    "waited_s": round(waited_s, 3),
                    "failures": unit.failures,
                    "checkpoint": unit.checkpoint,
                },
            )
        )
        unit.ready_since = None

    def _reclaim(self, unit, workers, covered, far_allowed, now):
        """Stop other work so that the unit can start soon, if it may."""
        paid = self._covered_jobs()

        def may_displace(victim):
            if victim.done or victim.spec.lasting:
                return False
            if victim.job.record.priority > unit.job.record.priority:
                return not _nearly_done(victim)
            return covered and victim.job.urgent and victim.job.id not in paid

        found = reclaim.find(unit, workers, may_displace, far_allowed, now)
        if found is None:
            return
        cost, places, victims = found
        if not covered and cost > _URGENT_WORTH * reclaim.own_work(unit):
            return
        self._claim(unit, places)
        for victim in victims:
            self._stop(victim, f"its room is reclaimed for job {unit.job.id}")


def _members_under_way(unit):
    """Return how many members of a unit's step run or have room made for them."""
    return sum(
        other.count
        for other in unit.job.units.values()
        if other.step == unit.step
        and other.occurrence == unit.occurrence
        and (other.placements or other.claim)
    )


def _nearly_done(unit):
    placements = unit.placements.values()
    return bool(placements) and all(
        p.percent >= _NEARLY_DONE_PERCENT for p in placements
    )


def _start_order(placement, ticket):
    unit = placement.unit
    payload = unit.job.record.spec.payload
    return StartOrder(placement.task, placement.run, payload, unit.checkpoint, ticket)
