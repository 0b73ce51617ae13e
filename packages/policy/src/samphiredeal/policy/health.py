"""Telling workers that fail everything from jobs that fail everywhere.

A worker on which several different jobs failed in a row is quarantined, for
longer each time, and comes back through a probe: one small job whose success
clears it. A job that failed on several workers is stopped, and the workers it
failed on are no longer blamed for it.
"""

from typing import NamedTuple

WORKER_FAILURES = 3
JOB_FAILURES = 3
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0


class Quarantine(NamedTuple):
    """Until when no work goes to a worker, and how often it happened in a row."""

    until: float
    count: int
    probing: bool = False


class Health:
    """Failures by worker and by job."""

    def __init__(self):
        self._by_worker = {}
        self._by_job = {}
        self._quarantines = {}

    @property
    def quarantines(self):
        """Quarantines by worker."""
        return self._quarantines

    def failed(self, worker, job_id, now):
        """Take in a failure; return whether the worker is now quarantined."""
        self._by_job.setdefault(job_id, set()).add(worker)
        blamed = self._by_worker.setdefault(worker, set())
        blamed.add(job_id)
        current = self._quarantines.get(worker)
        if current is not None and current.probing:
            self._quarantine(worker, current.count + 1, now)
            return True
        if current is None and len(blamed) >= WORKER_FAILURES:
            self._quarantine(worker, 1, now)
            return True
        return False

    def succeeded(self, worker):
        """Take in a success, which clears the worker; return whether it was out."""
        self._by_worker.pop(worker, None)
        return self._quarantines.pop(worker, None) is not None

    def job_is_bad(self, job_id):
        """Return whether a job failed on enough workers to be stopped."""
        return len(self._by_job.get(job_id, ())) >= JOB_FAILURES

    def workers_failed_by(self, job_id):
        """Return the workers on which a job failed."""
        return self._by_job.get(job_id, set())

    def forget_job(self, job_id):
        """Drop a job that is over; a bad job's failures blame no worker."""
        workers = self._by_job.pop(job_id, set())
        for worker in workers if len(workers) >= JOB_FAILURES else ():
            self._by_worker.get(worker, set()).discard(job_id)

    def due_probes(self, now):
        """Return quarantined workers that may take one probe now."""
        return [
            worker
            for worker, state in self._quarantines.items()
            if not state.probing and now >= state.until
        ]

    def begin_probe(self, worker):
        """Note that a worker may take one probe."""
        state = self._quarantines[worker]
        self._quarantines[worker] = state._replace(probing=True)

    def is_probing(self, worker):
        """Return whether a worker takes only a probe."""
        state = self._quarantines.get(worker)
        return state is not None and state.probing

    def _quarantine(self, worker, count, now):
        length = min(MAX_QUARANTINE_S, QUARANTINE_S * 2 ** (count - 1))
        self._quarantines[worker] = Quarantine(now + length, count)
