"""Corrections of declared run times and sizes, learned from observations.

Declared values are wrong by up to a factor of ten in either direction. The ratios of
observed to declared values are kept for each account and kind, and a quantile of them
corrects later declarations.
"""

import bisect
import collections

WINDOW = 64
TYPICAL = 0.5
CAUTIOUS = 0.9

# Corrections are bounded by the known error of declarations, a factor of ten.
_MAX_FACTOR = 10.0


class Quantiles:
    """Quantiles of the latest `WINDOW` observations."""

    def __init__(self):
        self._recent = collections.deque()
        self._ordered = []

    def add(self, value):
        """Add an observation."""
        self._recent.append(value)
        bisect.insort(self._ordered, value)
        if len(self._recent) > WINDOW:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def at(self, quantile, default=1.0):
        """Return a quantile, or `default` if there are no observations."""
        if not self._ordered:
            return default
        return self._ordered[int(quantile * (len(self._ordered) - 1))]


class Estimator:
    """Corrections of declared run times, and of the CPU and memory of shapes."""

    def __init__(self):
        self._run_time = {}
        self._usage = {}

    def observe_run(self, job, run_s):
        """Record the total run time of a job."""
        if job.declared_s > 0:
            key = (job.account, job.kind)
            ratios = self._run_time.setdefault(key, Quantiles())
            ratios.add(_bounded(run_s / job.declared_s))

    def observe_usage(self, job, share):
        """Record the share of its declared size that a member used."""
        key = (job.account, job.kind)
        self._usage.setdefault(key, Quantiles()).add(_bounded(share))

    def run_time(self, job, quantile=TYPICAL):
        """Return the expected run time in seconds."""
        ratios = self._run_time.get((job.account, job.kind))
        factor = ratios.at(quantile) if ratios else 1.0
        return job.declared_s * factor

    def shape(self, job):
        """Return the shape of one member with corrected CPU and memory."""
        ratios = self._usage.get((job.account, job.kind))
        if ratios is None:
            return job.shape
        factor = ratios.at(CAUTIOUS)
        return job.shape._replace(
            cpu_milli=int(job.shape.cpu_milli * factor),
            memory_mb=int(job.shape.memory_mb * factor),
        )


def _bounded(ratio):
    return min(_MAX_FACTOR, max(1 / _MAX_FACTOR, ratio))
