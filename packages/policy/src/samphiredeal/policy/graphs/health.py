"""Which workers seem sick, judged by the fate of the tasks on them."""

from samphiredeal.model import runs

# How long failures count against a worker, in seconds: about as long as the
# sick spells of executors that the operators report.
_MEMORY_S = 12.0
# A run without progress for this long, relative to the time that one percent of
# it should take, stands still.
STALL_MIN_S = 1.5
# So many looks without progress show that it is not the look that is missing.
_STALL_LOOKS = 3
_STALL_PERCENTS = 8
# A run at less than this share of its siblings' speed is worth starting anew
# elsewhere if more than half of it is left; workers differ by 1.6 at most.
_CRAWL_SHARE = 0.35
_CRAWL_LEFT_MIN = 0.5
_SIBLINGS_MIN = 2
_STALL_MEMORY_S = 6.0


def note_failure(worker, unit, now):
    """Count a run that failed on the worker."""
    worker.failures.append((now, unit.job.id))


def note_success(worker, now):
    """Count a run that ended well on the worker."""
    worker.successes.append(now)


def note_refusal(worker, reason, now):
    """Count a start that the worker did not answer or was too unwell for."""
    if reason in (runs.UNHEALTHY, runs.UNANSWERED):
        worker.failures.append((now, reason))


def note_stall(worker, now):
    """Note that a run stood still on the worker."""
    worker.stalled_at = now


def forget(worker, now):
    """Drop what is too old to count."""
    worker.failures = [f for f in worker.failures if now - f[0] < _MEMORY_S]
    worker.successes = [at for at in worker.successes if now - at < _MEMORY_S]
    if worker.stalled_at is not None and now - worker.stalled_at > _STALL_MEMORY_S:
        worker.stalled_at = None


def suspicion(worker):
    """Return 0 for a worker with no sign of trouble, up to 1 for a sick one.

    Failures of several jobs weigh more than several of one job, which may be
    the job's own fault; a later success clears the worker.
    """
    if worker.stalled_at is not None:
        return 1.0
    if not worker.failures:
        return 0.0
    last_failure = max(at for at, _job in worker.failures)
    if worker.successes and worker.successes[-1] > last_failure:
        return 0.1
    jobs = {job for _at, job in worker.failures}
    return 0.4 if len(jobs) == 1 else 1.0


def stands_still(placement):
    """Return whether a run was looked at often enough and shows no progress."""
    unit = placement.unit
    if placement.running_since is None or unit.spec.lasting or placement.percent >= 99:
        return False
    if placement.still_looks < _STALL_LOOKS:
        return False
    expected_s = unit.estimate_s * _STALL_PERCENTS / 100
    still_s = placement.seen_at - placement.percent_at
    return still_s > max(STALL_MIN_S, expected_s)


def crawls(placement, siblings):
    """Return whether a run is far slower than its siblings on other workers.

    Estimates are far off from job to job, but alike for the tasks of a step.
    """
    speed = placement.speed
    others = sorted(
        other.speed
        for other in siblings
        if other.worker != placement.worker and other.speed is not None
    )
    if speed is None or len(others) < _SIBLINGS_MIN:
        return False
    usual = others[len(others) // 2]
    left = 1 - placement.percent / 100
    return speed < _CRAWL_SHARE * usual and left > _CRAWL_LEFT_MIN
