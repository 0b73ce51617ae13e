"""Jobs that wait, kept by account and class, and the order of trying them."""

import heapq

from samphiredeal.model.job import URGENT


class WaitingJob:
    """A job that waits: since when, and the work its checkpoints kept.

    Before `reserve_at` no workers are sought to reserve for it.
    """

    __slots__ = ("blocked_by", "job", "progress_s", "reserve_at", "since")

    def __init__(self, job, since, progress_s=0.0):
        self.job = job
        self.since = since
        self.progress_s = progress_s
        self.blocked_by = ""
        self.reserve_at = 0.0


class Queue:
    """Waiting jobs; adding and removing cost O(1)."""

    def __init__(self):
        self._waiting = {}
        self._lines = {}

    def __len__(self):
        return len(self._waiting)

    def __contains__(self, job_id):
        return job_id in self._waiting

    def get(self, job_id):
        """Return the waiting job, or None."""
        return self._waiting.get(job_id)

    def add(self, waiting):
        """Add a job to its account's line."""
        job = waiting.job
        self._waiting[job.id] = waiting
        self._lines.setdefault((job.klass != URGENT, job.account), {})[job.id] = waiting

    def remove(self, job_id):
        """Remove a job and return it, or None."""
        waiting = self._waiting.pop(job_id, None)
        if waiting is not None:
            job = waiting.job
            key = (job.klass != URGENT, job.account)
            del self._lines[key][job_id]
            if not self._lines[key]:
                del self._lines[key]
        return waiting

    def all(self):
        """Return all waiting jobs."""
        return self._waiting.values()

    def by_line(self):
        """Return lists of waiting jobs, one for each account and class.

        Urgent lines come first; within a line the longest waiting come first.
        """
        return [
            sorted(line.values(), key=lambda waiting: waiting.since)
            for _key, line in sorted(self._lines.items(), key=lambda item: item[0])
        ]

    def in_share_order(self, share):
        """Yield waiting jobs, urgent first, then by the account's share.

        `share(account)` is asked again after each job that is yielded, so that
        an account whose job has just started falls behind.
        """
        heap = []
        for (later, account), line in self._lines.items():
            ordered = sorted(line.values(), key=lambda waiting: waiting.since)
            heap.append((later, share(account), ordered[0].since, account, 0, ordered))
        heapq.heapify(heap)
        while heap:
            later, _share, _since, account, index, ordered = heapq.heappop(heap)
            waiting = ordered[index]
            if waiting.job.id in self._waiting:
                yield waiting
            index += 1
            if index < len(ordered):
                entry = (later, share(account), ordered[index].since, account)
                heapq.heappush(heap, (*entry, index, ordered))
