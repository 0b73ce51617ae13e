"""Failure tracking that separates unhealthy workers from failing jobs.

A worker on which several different jobs failed in a row is quarantined, each time for
longer, and becomes usable again through a probe: one small job whose success clears
the worker. A job of which several attempts failed, each on another worker, is finished
as failed, and its failures no longer count against those workers.
"""

from typing import NamedTuple

WORKER_FAILURES = 3
JOB_FAILURES = 3
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0


class Quarantine(NamedTuple):
    """The end of a worker's quarantine and the number of quarantines in a row."""

    until: float
    count: int
    probing: bool = False


class Health:
    """Failures and quarantines of workers, and failures of jobs."""

    def __init__(self):
        self._by_worker = {}
        # By job: the workers on which it failed, each with the first attempt that did.
        self._by_job = {}
        self._quarantines = {}

    @property
    def quarantines(self):
        """Quarantines by worker."""
        return self._quarantines

    def failed(self, worker, job_id, attempt_id, now):
        """Record a failure; return whether it puts the worker in quarantine."""
        self._by_job.setdefault(job_id, {}).setdefault(worker, attempt_id)
        failed_jobs = self._by_worker.setdefault(worker, set())
        failed_jobs.add(job_id)
        current = self._quarantines.get(worker)
        if current is not None and current.probing:
            self._quarantine(worker, current.count + 1, now)
            return True
        if current is None and len(failed_jobs) >= WORKER_FAILURES:
            self._quarantine(worker, 1, now)
            return True
        return False

    def succeeded(self, worker):
        """Record a success, which clears the worker.

        Return whether the worker was in quarantine.
        """
        self._by_worker.pop(worker, None)
        return self._quarantines.pop(worker, None) is not None

    def failed_too_often(self, job_id):
        """Return whether `JOB_FAILURES` attempts failed, each on another worker.

        An attempt may fail on several workers at once.
        """
        return len(set(self._by_job.get(job_id, {}).values())) >= JOB_FAILURES

    def workers_failed_by(self, job_id):
        """Return the workers on which a job failed."""
        return self._by_job.get(job_id, {}).keys()

    def forget_job(self, job_id):
        """Remove a finished job.

        Failures of a job that failed too often don't count against workers.
        """
        is_at_fault = self.failed_too_often(job_id)
        workers = self._by_job.pop(job_id, {})
        for worker in workers if is_at_fault else ():
            self._by_worker.get(worker, set()).discard(job_id)

    def due_probes(self, now):
        """Return quarantined workers that are due for a probe."""
        return [
            worker
            for worker, state in self._quarantines.items()
            if not state.probing and now >= state.until
        ]

    def begin_probe(self, worker):
        """Record that a worker accepts one probe."""
        state = self._quarantines[worker]
        self._quarantines[worker] = state._replace(probing=True)

    def is_probing(self, worker):
        """Return whether a worker accepts only a probe."""
        state = self._quarantines.get(worker)
        return state is not None and state.probing

    def _quarantine(self, worker, count, now):
        length_s = min(MAX_QUARANTINE_S, QUARANTINE_S * 2 ** (count - 1))
        self._quarantines[worker] = Quarantine(now + length_s, count)
