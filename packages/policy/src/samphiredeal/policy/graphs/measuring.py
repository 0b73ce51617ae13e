"""Measures the speeds of workers by the progress of the runs on them."""

from samphiredeal.policy.graphs import fitting, health
from samphiredeal.policy.graphs.speeds import Sample

# Error of a difference of two percentages, each of which is rounded down.
_PERCENT_ERROR = 0.5
# How often the belief on a worker is updated. One that is precise changes little.
_REFRESH_INTERVAL_S = 1.0
_PRECISE_REFRESH_INTERVAL_S = 4.0
_PRECISE = 140.0
# Beliefs that are updated in a second, and at once after a pause. Bounds the cost in a
# large system, where each is updated less often.
_REFRESHES_PER_S = 50.0
# A change of a speed by this share is logged.
_LOGGED_CHANGE = 0.05


def record_change(placement, percent, polled_at):
    """Record that a poll shows another percentage; before `Placement.percent` is set.

    The first change only begins the measurement: a run may restore a checkpoint or wait
    for its gang before. A span in which the run stalled says nothing about its speed.
    """
    span_s = polled_at - placement.percent_at
    if placement.is_moving and span_s <= health.stall_limit_s(placement.unit):
        placement.worked_percent += max(0, percent - placement.percent)
        placement.progress_s += span_s
    placement.is_moving = True


def record_run(speeds, placement, worker):
    """Record what a run has shown so far of its worker's speed."""
    unit = placement.unit
    if placement.worked_percent and _is_representative(placement, worker):
        sample = Sample(
            placement.worked_percent / 100 * unit.estimate_s,
            placement.progress_s,
            _PERCENT_ERROR / 100 * unit.estimate_s,
        )
        speeds.record(worker.name, unit.job.id, placement.task, placement.run, sample)


def _is_representative(placement, worker):
    """Return whether the run is as fast as the worker allows, and counts once.

    Members of a gang progress with the slowest of them. Work that is away from its data
    or shares processors is slower for other reasons.
    """
    unit = placement.unit
    spec = unit.spec
    if spec.lasting or fitting.is_sensitive(unit):
        return False
    if spec.data_rack and spec.data_rack not in worker.labels:
        return False
    if unit.count == 1:
        return True
    members = unit.placements.values()
    is_whole = len(members) == unit.count and placement.index == unit.indexes[0]
    return is_whole and all(other.worker == worker.name for other in members)


class RefreshLimit:
    """Bounds how many beliefs are updated, by a token bucket."""

    def __init__(self):
        self._tokens = _REFRESHES_PER_S
        self._filled_at = 0.0

    def select(self, workers, now):
        """Return the workers to update now, those that have waited longest first."""
        due = [one for one in workers if one.placements and now >= one.speed_due_at]
        added = (now - self._filled_at) * _REFRESHES_PER_S
        self._tokens = min(_REFRESHES_PER_S, self._tokens + added)
        self._filled_at = now
        if len(due) > self._tokens:
            due.sort(key=lambda worker: worker.speed_due_at)
            due = due[: int(self._tokens)]
        self._tokens -= len(due)
        return due


def refresh(speeds, worker, now):
    """Update the belief on a worker; return what to log of it, or None."""
    for placement in worker.placements.values():
        record_run(speeds, placement, worker)
    belief = speeds.refresh(worker.name)
    is_precise = belief.precision > _PRECISE
    interval_s = _PRECISE_REFRESH_INTERVAL_S if is_precise else _REFRESH_INTERVAL_S
    worker.speed_due_at = now + interval_s
    before, worker.speed = worker.speed, belief.speed
    if abs(worker.speed - before) < _LOGGED_CHANGE * before:
        worker.speed = before
        return None
    return {
        "worker": worker.name,
        "speed": round(belief.speed, 3),
        "before": round(before, 3),
        "error": round(belief.precision**-0.5, 3),
    }
