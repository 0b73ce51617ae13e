"""Scheduler state: jobs, units, placements and workers.

A *unit* is one task or all members of a gang, which start together. A *placement* is
one member of a unit on one worker; it occupies capacity there until the worker is
known not to run it any more.
"""

from typing import NamedTuple

from samphiredeal.model.graph import MAX_TASKS, TaskName
from samphiredeal.model.shape import NOTHING, Shape

QUEUED = "queued"
ACTIVE = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
FINAL_STATES = (COMPLETED, FAILED, CANCELLED)

# Occurrences of a repeated job are opened up to this many after the first unfinished
# one, and no more than hold as many tasks as a job may have that does not repeat. Both
# bound the state and the stored progress of the job.
MAX_OPEN_OCCURRENCES = 1000

# Placement status: a start has been decided, or the worker lists the run.
ORDERED = "ordered"
LISTED = "listed"

# Approximate cost of stopping a run and resuming it from its checkpoint.
RESUME_COST_S = 1.0
# A run is observed for this long before its speed is used.
_SPEED_WINDOW_MIN_S = 4.0


def demand_of(spec):
    """Return what one member of a step needs; filling work needs no processors."""
    shape = spec.shape
    if spec.fills:
        return Shape(0, shape.memory_mb, shape.accelerators)
    return shape


class Placement:
    """One member of a unit on one incarnation of a worker."""

    __slots__ = (
        "committed",
        "first_look",
        "index",
        "is_moving",
        "life",
        "percent",
        "percent_at",
        "progress_s",
        "run",
        "running_since",
        "seen_at",
        "sent_at",
        "shape",
        "status",
        "still_looks",
        "stop_ordered_at",
        "stop_sent_at",
        "stopping",
        "unit",
        "worked_percent",
        "worker",
    )

    def __init__(self, unit, index, worker, run, now):
        self.unit = unit
        self.index = index
        self.worker = worker.name
        self.life = worker.life
        self.run = run
        self.shape = unit.demand
        self.status = ORDERED
        self.committed = False
        self.sent_at = None
        self.running_since = None
        self.percent = 0
        self.percent_at = now
        # Time of the last poll, and the number of polls without a change.
        self.seen_at = now
        self.still_looks = 0
        # Time and percentage of the first poll, the base of the speed.
        self.first_look = None
        # Progress between polls in which the percentage changed, without stalls, and
        # the time that it took.
        self.is_moving = False
        self.worked_percent = 0
        self.progress_s = 0.0
        self.stopping = ""
        # Times of the first and the last order to stop.
        self.stop_ordered_at = None
        self.stop_sent_at = None

    @property
    def speed(self):
        """Work per second relative to the estimate, or None if not known yet."""
        if self.first_look is None:
            return None
        sampled_at, first_percent = self.first_look
        observed_s = self.seen_at - sampled_at
        if observed_s < _SPEED_WINDOW_MIN_S:
            return None
        worked = (self.percent - first_percent) / 100
        return worked * self.unit.estimate_s / observed_s

    @property
    def unsaved_s(self):
        """Seconds of work that a stop would lose, by the reported progress."""
        done_s = self.unit.expected_s * self.percent / 100
        return min(done_s, RESUME_COST_S) if self.unit.spec.checkpointing else done_s

    @property
    def task(self):
        """The task's name as a string."""
        unit = self.unit
        return TaskName(unit.job.id, unit.occurrence, unit.step, self.index).text


class Forecast(NamedTuple):
    """What was expected of a run as it was placed, in seconds.

    `speed_deviation` is that of the logarithm of the speed of its workers.
    """

    run: int
    placed_at: float
    run_s: float
    speed_deviation: float


class Unit:
    """A task or a gang of one occurrence of a job's step."""

    __slots__ = (
        "checkpoint",
        "claim",
        "claimed_until",
        "done",
        "done_at",
        "failed_on",
        "failed_run",
        "failures",
        "forecast",
        "has_displaced",
        "indexes",
        "job",
        "occurrence",
        "placements",
        "ready_since",
        "run",
        "spec",
        "step",
        "stored_checkpoint",
        "whole_run",
    )

    def __init__(self, job, occurrence, step, indexes):
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.spec = job.record.spec.steps[step]
        self.indexes = indexes
        self.run = 0
        # The number of runs that have failed, and the last of them.
        self.failures = 0
        self.failed_run = 0
        self.checkpoint = ""
        self.stored_checkpoint = ""
        self.done = False
        self.done_at = None
        self.placements = {}
        self.failed_on = []
        self.ready_since = None
        # Workers on which capacity is being freed: {worker name: member count}.
        self.claim = {}
        # Until when the unit waits for it although other capacity is free.
        self.claimed_until = 0.0
        # Whether runs were stopped for the claim.
        self.has_displaced = False
        # The `Forecast` of the present run.
        self.forecast = None
        # The last run of which all members were listed at the same time.
        self.whole_run = 0

    @property
    def key(self):
        """The unit's name within its job."""
        if self.spec.gang:
            return f"{self.occurrence}.{self.step}"
        return f"{self.occurrence}.{self.step}.{self.indexes[0]}"

    @property
    def count(self):
        """The number of members that start together."""
        return len(self.indexes)

    @property
    def demand(self):
        """The resources that one member needs."""
        return demand_of(self.spec)

    @property
    def estimate_s(self):
        """The estimated duration of a run, in seconds."""
        return max(self.spec.estimate_ms, 1) / 1000

    @property
    def expected_s(self):
        """The duration of a run on an average worker, by the pace of the job so far."""
        return self.estimate_s / self.job.pace

    def note_member_listed(self):
        """Record the run as whole if all members are listed now."""
        members = self.placements.values()
        if len(members) == self.count and all(p.status == LISTED for p in members):
            self.whole_run = self.run


class JobState:
    """An accepted job and its progress."""

    def __init__(self, record):
        self.record = record
        self.state = QUEUED
        self.begun = False
        self.reason = ""
        self.units = {}
        self._units_of = {}
        self._changed_units = set()
        # Whether progress has changed since the last plan, or was restored.
        self.has_changed = True
        # All occurrences below the first number are finished, and those of the set.
        self.finished_before = 0
        self.finished_occurrences = set()
        self.next_occurrence = 0
        self.dirty = False
        # Work by the estimates that its tasks do in a second on an average worker.
        self.pace = 1.0
        self.ended_at = None
        # Whether a row of the job cannot be read: nothing of it may change then.
        self.is_held = False
        # Whether its rows could not be read at some time since the term began.
        self.was_held = False
        # Reasons already logged for waiting: {(occurrence, step): set of reasons}.
        self.wait_reasons = {}
        # For the log only; reset in each term of a scheduler.
        self.longest_wait_s = 0.0
        # None if an earlier scheduler has stored progress of the job.
        self.unseen_s = None
        self.restarts = 0

    @property
    def id(self):
        """The id chosen by the caller."""
        return self.record.id

    @property
    def active(self):
        """Whether tasks of the job may still start."""
        return self.state not in FINAL_STATES

    @property
    def urgent(self):
        """Whether the job may preempt work of lower priority."""
        return self.record.priority == 0

    @property
    def has_placements(self):
        """Whether any run of the job may still be on a worker."""
        return any(unit.placements for unit in self.units.values())

    def due_ms(self, occurrence):
        """Return the Unix time at which an occurrence is due."""
        spec = self.record.spec
        if not spec.repeats:
            return self.record.accepted_ms
        return spec.first_due_ms + occurrence * spec.interval_ms

    def touch(self, unit):
        """Record that the progress of a unit has changed."""
        self._changed_units.add(unit)
        self.has_changed = self.dirty = True

    def take_changed_units(self):
        """Return the units touched since the last call."""
        changed, self._changed_units = self._changed_units, set()
        return changed

    def add_due_occurrences(self, wall_ms):
        """Create the units of the occurrences that are due, as many as may be open."""
        spec = self.record.spec
        while self.next_occurrence < spec.occurrences and self._may_open_another():
            if spec.repeats and self.due_ms(self.next_occurrence) > wall_ms:
                return
            self.add_occurrence(self.next_occurrence)
            self.next_occurrence += 1

    def _may_open_another(self):
        tasks = sum(step.count for step in self.record.spec.steps)
        is_near = self.next_occurrence - self.finished_before < MAX_OPEN_OCCURRENCES
        is_small = (len(self._units_of) + 1) * tasks <= MAX_TASKS
        return is_near and (is_small or not self._units_of)

    def restore_finished(self, before, others):
        """Set which occurrences are finished: all below a number, and some others."""
        self.finished_before = before
        self.finished_occurrences = set(others)
        self._advance_finished()
        self.next_occurrence = self.finished_before

    def is_finished(self, occurrence):
        """Return whether all tasks of an occurrence are done and recorded as such."""
        return (
            occurrence < self.finished_before or occurrence in self.finished_occurrences
        )

    def add_occurrence(self, occurrence):
        """Create the units of an occurrence unless they exist or are finished."""
        if self.is_finished(occurrence) or occurrence in self._units_of:
            return
        units = self._units_of[occurrence] = {}
        for step, spec in enumerate(self.record.spec.steps):
            members = range(spec.count)
            groups = [tuple(members)] if spec.gang else [(i,) for i in members]
            for indexes in groups:
                unit = Unit(self, occurrence, step, indexes)
                units[unit.key] = unit
        self.units.update(units)

    def unit_of(self, name):
        """Return the unit that holds a task, or None."""
        steps = self.record.spec.steps
        if name.step >= len(steps) or name.index >= steps[name.step].count:
            return None
        key = f"{name.occurrence}.{name.step}"
        if not steps[name.step].gang:
            key += f".{name.index}"
        return self.units.get(key)

    def units_in(self, occurrence, step, indexes):
        """Return the units of a step that have members in a range of indexes."""
        units = self._units_of.get(occurrence, {})
        if step >= len(self.record.spec.steps):
            return []
        if self.record.spec.steps[step].gang:
            keys = [f"{occurrence}.{step}"]
        else:
            keys = [f"{occurrence}.{step}.{index}" for index in indexes]
        return [units[key] for key in keys if key in units]

    def steps_done(self, occurrence):
        """Return the numbers of the steps whose tasks are all done."""
        units = self._units_of.get(occurrence, {}).values()
        left = {unit.step for unit in units if not unit.done}
        return set(range(len(self.record.spec.steps))) - left

    def close_finished(self, now, occurrence=None):
        """Close a finished occurrence, or all; complete the job if all tasks are done.

        Naming the occurrence of a unit that has changed saves looking at all others.
        """
        for number in list(self._units_of) if occurrence is None else [occurrence]:
            units = self._units_of.get(number, {}).values()
            if units and all(unit.done and not unit.placements for unit in units):
                self._close_occurrence(number)
        if not self.active or self.next_occurrence < self.record.spec.occurrences:
            return
        if all(unit.done for unit in self.units.values()):
            self.end(COMPLETED, "", now)

    def _close_occurrence(self, occurrence):
        for step in range(len(self.record.spec.steps)):
            self.wait_reasons.pop((occurrence, step), None)
        for key in self._units_of.pop(occurrence):
            del self.units[key]
        self.finished_occurrences.add(occurrence)
        self._advance_finished()
        self.dirty = True

    def _advance_finished(self):
        while self.finished_before in self.finished_occurrences:
            self.finished_occurrences.remove(self.finished_before)
            self.finished_before += 1

    def end(self, state, reason, now):
        """Put the job into a final state."""
        self.state = state
        self.reason = reason
        self.ended_at = now
        self.dirty = True


class WorkerState:
    """A worker as its agent last described it."""

    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.id = ""
        self.life = ""
        self.service = ""
        self.capacity = NOTHING
        self.used = NOTHING
        # Capacity that is being freed here: {unit: member count}.
        self.claims = {}
        self.labels = ()
        self.leaving = False
        self.polls = 0
        self.reachable = False
        self.placements = {}
        # Listed or pending runs without a placement here, and those only pending.
        self.unplaced_runs = frozenset()
        self.unplaced_pending = frozenset()
        # Those that are listed, but for held jobs; and those of held jobs, with their
        # `StepSpec`s if these are known.
        self.foreign_runs = frozenset()
        self.held_runs = {}
        # Whether the shape of one of them is not known.
        self.has_unknown_shapes = False
        # Whether its list of ends may soon be too long to name further ones, as those
        # of a held job stay in it.
        self.has_long_list = False
        # Whether it gets no new work for one of these reasons or a foreign run.
        self.is_closed = False
        self.failures = []
        self.successes = []
        self.stalled_at = None
        # Expected speed relative to an average worker, and when it is estimated anew.
        self.speed = 1.0
        self.speed_due_at = float("-inf")

    @property
    def rack(self):
        """The rack label, which comes last, or the worker's own name."""
        return self.labels[-1] if len(self.labels) > 1 else self.name

    @property
    def free(self):
        """The capacity not used by placements and held runs."""
        return self.capacity.minus(self.used)

    def capacity_for(self, unit):
        """Return the capacity free for a unit: unused and not claimed by others."""
        free = self.free
        for claiming_unit, count in self.claims.items():
            if claiming_unit is not unit:
                free = free.minus(claiming_unit.demand.times(count))
        return free

    def forget_unplaced_runs(self):
        """Forget the runs without a placement: none of them is here any more."""
        self.unplaced_runs = self.unplaced_pending = self.foreign_runs = frozenset()
        self.set_held_runs({})
        self.has_long_list = False
        self.update_closed()

    def update_closed(self):
        """Determine anew whether the worker gets no new work."""
        self.is_closed = bool(
            self.foreign_runs or self.has_unknown_shapes or self.has_long_list
        )

    def set_held_runs(self, runs):
        """Replace the runs of held jobs, and their use of capacity."""
        if runs == self.held_runs:
            return
        for step in self.held_runs.values():
            if step is not None:
                self.used = self.used.minus(demand_of(step))
        for step in runs.values():
            if step is not None:
                self.used = self.used.plus(demand_of(step))
        self.held_runs = runs
        self.has_unknown_shapes = None in runs.values()

    def add(self, placement):
        """Add a placement and its use of capacity."""
        self.placements[(placement.task, placement.run)] = placement
        self.used = self.used.plus(placement.shape)

    def remove(self, placement):
        """Remove a placement and release its capacity."""
        if self.placements.pop((placement.task, placement.run), None):
            self.used = self.used.minus(placement.shape)
