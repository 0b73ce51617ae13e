"""Health of workers, judged by the results of the runs on them."""

from typing import NamedTuple

from samphiredeal.model import runs

# Failure scores, from 0 (healthy) to 1.
UNHEALTHY_SCORE = 1.0
SUSPECT_SCORE = 0.4
CLEARED_SCORE = 0.1
# A run that fails within this share of its estimate counts as an early failure.
_EARLY_FAILURE_SHARE = 0.1

# How long failures count against a worker: about as long as the periods in which
# executors are unhealthy, as reported by operators.
_FAILURE_RETENTION_S = 12.0
# A run without one percent of progress for this share of its estimate is stalled.
# Short runs get a larger share because they are polled only a few times, with an upper
# bound so that they can still be restarted and end in time.
_STALL_SHARE = 0.08
_STALL_SHORT_SHARE = 0.2
_STALL_SHORT_MAX_S = 1.5
_STALL_MIN_S = 0.4
# Number of polls without progress that rules out missing polls as the cause.
_STALL_MIN_POLLS = 2
# A run below this share of its siblings' median speed is restarted elsewhere if most of
# it is left. Speeds of the tasks of a step differ by a factor of up to six on healthy
# workers, so the share is below one sixth.
_SLOW_SPEED_SHARE = 0.15
_SLOW_REMAINING_MIN = 0.6
_SIBLINGS_MIN = 3
# How long a worker is avoided after a run stalled there; workers hang for about this
# long.
_STALL_RETENTION_S = 6.0
# The longest stall after which runs have continued.
_STALL_DURATION_MAX_S = 8.0


class Failure(NamedTuple):
    """A run that failed on a worker, or whose start the worker refused.

    `job` is the id of the run's job, or the reason of the refusal. `blamed` is set if
    the worker is the likely cause of the failure.
    """

    at: float
    job: str
    blamed: bool


def record_failure(worker, unit, ran_s, now):
    """Record a run that failed on the worker after `ran_s` seconds.

    An early failure is attributed to the worker unless the unit has failed on
    another worker before.
    """
    early = ran_s < _EARLY_FAILURE_SHARE * unit.estimate_s
    elsewhere = any(name != worker.name for name in unit.failed_on)
    worker.failures.append(Failure(now, unit.job.id, early and not elsewhere))


def record_success(worker, now):
    """Record a run that succeeded on the worker."""
    worker.successes.append(now)


def record_refusal(worker, reason, now):
    """Record a refused start if the worker was unhealthy or did not answer."""
    if reason in (runs.UNHEALTHY, runs.UNANSWERED):
        worker.failures.append(Failure(now, reason, False))


def record_stall(worker, now):
    """Record that a run stalled on the worker."""
    worker.stalled_at = now


def drop_expired(worker, now):
    """Drop records that are too old to count."""
    worker.failures = [f for f in worker.failures if now - f.at < _FAILURE_RETENTION_S]
    worker.successes = [
        at for at in worker.successes if now - at < _FAILURE_RETENTION_S
    ]
    if worker.stalled_at is not None and now - worker.stalled_at > _STALL_RETENTION_S:
        worker.stalled_at = None


def failure_score(worker):
    """Return the failure score, from 0 for a healthy worker to 1 for an unhealthy one.

    Failures of several jobs weigh more than several failures of one job, which may
    be caused by the job itself. A later success clears the worker.
    """
    if worker.stalled_at is not None:
        return UNHEALTHY_SCORE
    if not worker.failures:
        return 0.0
    last_failure = max(failure.at for failure in worker.failures)
    if worker.successes and worker.successes[-1] > last_failure:
        return CLEARED_SCORE
    if any(failure.blamed for failure in worker.failures):
        return UNHEALTHY_SCORE
    jobs = {failure.job for failure in worker.failures}
    return SUSPECT_SCORE if len(jobs) == 1 else UNHEALTHY_SCORE


def is_risky(worker, unit):
    """Return whether a run on the worker is likely to cost the unit an attempt."""
    if worker.name in unit.failed_on:
        return True
    last = unit.failures + 1 >= unit.job.record.max_attempts
    return failure_score(worker) >= (
        SUSPECT_SCORE if last and unit.failures else UNHEALTHY_SCORE
    )


def is_stalled(placement):
    """Return whether a run has been polled often enough and shows no progress."""
    unit = placement.unit
    if unit.spec.lasting or placement.percent >= 99 or not _all_members_running(unit):
        return False
    if placement.still_looks < _STALL_MIN_POLLS:
        return False
    return placement.seen_at - _stalled_since(placement) > stall_limit_s(unit)


def should_restart(placement):
    """Return whether to restart a stalled run elsewhere instead of waiting.

    Runs continue when a hung worker recovers, so a run keeps its place if a restart
    would lose more work than the time that the stall can still last.
    """
    stalled_s = placement.seen_at - _stalled_since(placement)
    left_s = _STALL_DURATION_MAX_S - stalled_s
    return left_s <= 0 or placement.unsaved_s <= left_s


def _all_members_running(unit):
    """Return whether all members run; those of a gang wait for the last one."""
    members = unit.placements.values()
    listed = [one for one in members if one.running_since is not None]
    return len(listed) == unit.count


def _stalled_since(placement):
    """Return the time since which a run has made no progress.

    A gang begins to work when its last member starts.
    """
    unit = placement.unit
    if unit.count == 1 or placement.percent > 0:
        return placement.percent_at
    began_at = max(one.running_since for one in unit.placements.values())
    return max(placement.percent_at, began_at)


def stall_limit_s(unit):
    """Return how long a run of the unit may go without progress."""
    short_s = min(_STALL_SHORT_SHARE * unit.estimate_s, _STALL_SHORT_MAX_S)
    if unit.checkpoint:
        # Restoring a checkpoint makes no progress either.
        short_s = _STALL_SHORT_MAX_S
    return max(_STALL_MIN_S, short_s, _STALL_SHARE * unit.estimate_s)


def stalled_workers(placement, workers):
    """Return the names of the workers that may have stalled a run.

    One stalled member stalls its whole gang. Workers on which another run has
    progressed meanwhile are excluded, unless none would be left.
    """
    names = {one.worker for one in placement.unit.placements.values()}
    since = _stalled_since(placement)
    progressing = {
        name
        for name in names
        for other in workers[name].placements.values()
        if other.unit is not placement.unit and other.percent_at > since
    }
    return names - progressing or names


def step_speeds(unit):
    """Return the known (speed, worker) of all runs of a unit's step, slowest first."""
    return sorted(
        (placement.speed, placement.worker)
        for sibling in unit.job.units.values()
        if sibling.step == unit.step and sibling.occurrence == unit.occurrence
        for placement in sibling.placements.values()
        if placement.speed is not None
    )


def is_abnormally_slow(placement, speeds):
    """Return whether a run is far slower than its siblings on other workers.

    `speeds` are the (speed, worker) of all runs of its step, slowest first. Siblings
    are compared because estimates are unreliable across jobs, but consistent within
    a step.
    """
    speed = placement.speed
    if speed is None or not speeds or speed >= _SLOW_SPEED_SHARE * speeds[-1][0]:
        return False
    others = [other for other, worker in speeds if worker != placement.worker]
    if len(others) < _SIBLINGS_MIN:
        return False
    median = others[len(others) // 2]
    left = 1 - placement.percent / 100
    return speed < _SLOW_SPEED_SHARE * median and left > _SLOW_REMAINING_MIN
