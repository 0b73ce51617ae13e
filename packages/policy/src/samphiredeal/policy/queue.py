"""Waiting jobs by urgency and account, and the order in which they are tried."""

import heapq

from samphiredeal.model.job import URGENT


class WaitingJob:
    """A waiting job, the time it was first queued and its checkpointed progress.

    Until `reserve_at` no search for workers to reserve is made.
    """

    __slots__ = ("blocked_by", "job", "progress_s", "reserve_at", "since")

    def __init__(self, job, since, progress_s=0.0):
        self.job = job
        self.since = since
        self.progress_s = progress_s
        self.blocked_by = ""
        self.reserve_at = 0.0


class Queue:
    """Waiting jobs; adding and removing are O(1)."""

    def __init__(self):
        self._waiting = {}
        self._groups = {}

    def __len__(self):
        return len(self._waiting)

    def __contains__(self, job_id):
        return job_id in self._waiting

    def get(self, job_id):
        """Return a waiting job by id, or None."""
        return self._waiting.get(job_id)

    def add(self, waiting):
        """Add a waiting job."""
        job = waiting.job
        self._waiting[job.id] = waiting
        self._groups.setdefault((job.klass != URGENT, job.account), {})[job.id] = (
            waiting
        )

    def remove(self, job_id):
        """Remove a job and return it, or None."""
        waiting = self._waiting.pop(job_id, None)
        if waiting is not None:
            job = waiting.job
            key = (job.klass != URGENT, job.account)
            del self._groups[key][job_id]
            if not self._groups[key]:
                del self._groups[key]
        return waiting

    def all(self):
        """Return all waiting jobs."""
        return self._waiting.values()

    def by_urgency_and_account(self):
        """Return lists of waiting jobs, one for each urgency and account.

        Lists of urgent jobs come first; each list starts with the longest-waiting job.
        """
        return [
            sorted(jobs.values(), key=lambda waiting: waiting.since)
            for _key, jobs in sorted(self._groups.items(), key=lambda item: item[0])
        ]

    def in_share_order(self, share):
        """Yield waiting jobs, urgent first, then by the account's share.

        `share(account)` is evaluated again after each job, so that an account whose
        job was just admitted loses precedence.
        """
        heap = []
        for (not_urgent, account), jobs in self._groups.items():
            ordered = sorted(jobs.values(), key=lambda waiting: waiting.since)
            heap.append(
                (not_urgent, share(account), ordered[0].since, account, 0, ordered)
            )
        heapq.heapify(heap)
        while heap:
            not_urgent, _share, _since, account, index, ordered = heapq.heappop(heap)
            waiting = ordered[index]
            if waiting.job.id in self._waiting:
                yield waiting
            index += 1
            if index < len(ordered):
                entry = (not_urgent, share(account), ordered[index].since, account)
                heapq.heappush(heap, (*entry, index, ordered))
