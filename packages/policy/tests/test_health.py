"""Unhealthy workers are distinguished from failing jobs.

A worker on which three jobs failed gets no work until a probe succeeds; a failed probe
doubles the quarantine; a job that failed on three workers is finished as failed, and
its failures don't count against those workers.
"""

from builders import make_job, make_worker

from samphiredeal.model.configuration import Configuration
from samphiredeal.policy.actions import FinishJob, StartAttempt
from samphiredeal.policy.health import JOB_FAILURES, QUARANTINE_S, WORKER_FAILURES
from samphiredeal.policy.scheduler import Scheduler


def make_scheduler(*names):
    """Return a scheduler with workers and one account without a guarantee."""
    scheduler = Scheduler()
    scheduler.configure(Configuration(1, {"guest": {}}), 0.0)
    for name in names:
        scheduler.worker_up(make_worker(name), 0.0)
    return scheduler


def start(scheduler, job, now):
    """Submit a job and return the action that starts it, or None."""
    scheduler.submit(job, now)
    actions = scheduler.decide(now)
    starts = [a for a in actions if isinstance(a, StartAttempt)]
    return next((a for a in starts if a.job.id == job.id), None)


def fail_on(scheduler, worker, count, now):
    """Fail jobs on a worker and cancel them."""
    for number in range(count):
        job = make_job(f"{worker}-{now}-{number}", "guest", selector=f"worker={worker}")
        action = start(scheduler, job, now)
        scheduler.ended(action.attempt_id, now, "failed", blame=(worker,))
        scheduler.cancel(job.id)


def test_worker_is_quarantined_and_returns_through_a_probe():
    scheduler = make_scheduler("failing", "healthy")
    fail_on(scheduler, "failing", WORKER_FAILURES, 1.0)
    here = make_job("here", "guest", selector="worker=failing")
    assert start(scheduler, here, 2.0) is None
    assert scheduler.next_wakeup(2.0) == 1.0 + QUARANTINE_S
    probe = scheduler.decide(1.0 + QUARANTINE_S)
    assert [a.job.id for a in probe if isinstance(a, StartAttempt)] == ["here"]
    second = make_job("second", "guest", selector="worker=failing")
    assert start(scheduler, second, 70.0) is None, "one probe at a time"
    scheduler.ended(probe[0].attempt_id, 80.0, "done")
    started = [a for a in scheduler.decide(80.0) if isinstance(a, StartAttempt)]
    assert [a.job.id for a in started] == ["second"]


def test_failed_probe_doubles_the_quarantine():
    scheduler = make_scheduler("failing")
    fail_on(scheduler, "failing", WORKER_FAILURES, 0.0)
    now = QUARANTINE_S
    action = start(scheduler, make_job("probe", "guest"), now)
    scheduler.ended(action.attempt_id, now, "failed", blame=("failing",))
    scheduler.decide(now)
    assert scheduler.next_wakeup(now) == now + 2 * QUARANTINE_S


def test_job_failing_everywhere_is_finished_and_counts_against_no_worker():
    names = [f"w{n}" for n in range(JOB_FAILURES)]
    scheduler = make_scheduler(*names)
    for number in range(2):
        bad = make_job(f"bad{number}", "guest", accelerators=8)
        scheduler.submit(bad, 0.0)
        actions = scheduler.decide(0.0)
        for name in names:
            action = next(a for a in actions if isinstance(a, StartAttempt))
            worker = next(iter(action.places))
            busy = make_job(f"busy-{number}-{name}", "guest", accelerators=8)
            scheduler.ended(action.attempt_id, 0.0, "failed", blame=(worker,))
            busy = busy._replace(selector=f"worker={worker}", klass="urgent")
            scheduler.submit(busy, 0.0)
            actions = scheduler.decide(0.0)
            actions = [a for a in actions if getattr(a, "job", bad).id == bad.id]
        finished = [a for a in actions if isinstance(a, FinishJob)]
        assert "failed on workers" in finished[0].reason
        for attempt in list(scheduler.attempts.values()):
            scheduler.cancel(attempt.job.id)
            scheduler.ended(attempt.id, 0.0, "cancelled")
        scheduler.decide(0.0)
    assert not scheduler.health.quarantines


# Guards against a job that is finished as failed after one attempt, as several members
# of it have failed together on as many workers.
def test_attempt_that_fails_on_several_workers_counts_once():
    scheduler = make_scheduler(*(f"w{n}" for n in range(2 * JOB_FAILURES)))
    job = make_job("gang", "guest", accelerators=8, members=JOB_FAILURES)
    action = start(scheduler, job, 0.0)
    blame = tuple(action.places)
    assert len(blame) == JOB_FAILURES
    scheduler.ended(action.attempt_id, 1.0, "failed", blame=blame)
    actions = scheduler.decide(1.0)
    assert [one for one in actions if isinstance(one, FinishJob)] == []
    assert [one.job.id for one in actions if isinstance(one, StartAttempt)] == ["gang"]
