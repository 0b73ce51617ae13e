"""Learned corrections of declared run times and sizes.

Declarations are off by up to ten times either way. For each account and kind
the ratios of what was measured to what was declared are kept, and a quantile
of them corrects the next declaration.
"""

import bisect
import collections

WINDOW = 64
TYPICAL = 0.5
CAUTIOUS = 0.9

# Corrections stay within the range in which declarations are known to be off.
_MAX_FACTOR = 10.0


class Quantiles:
    """The quantiles of the latest observations."""

    def __init__(self):
        self._recent = collections.deque()
        self._ordered = []

    def add(self, value):
        """Take in one observation."""
        self._recent.append(value)
        bisect.insort(self._ordered, value)
        if len(self._recent) > WINDOW:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def at(self, share, default=1.0):
        """Return the quantile, or `default` without observations."""
        if not self._ordered:
            return default
        return self._ordered[int(share * (len(self._ordered) - 1))]


class Estimator:
    """Corrects declared run times, and processors and memory of a shape."""

    def __init__(self):
        self._run_time = {}
        self._usage = {}

    def observe_run(self, job, run_s):
        """Take in how long a job really ran in total."""
        if job.declared_s > 0:
            key = (job.account, job.kind)
            ratios = self._run_time.setdefault(key, Quantiles())
            ratios.add(_bounded(run_s / job.declared_s))

    def observe_usage(self, job, share):
        """Take in the share of the declared size that a member really used."""
        key = (job.account, job.kind)
        self._usage.setdefault(key, Quantiles()).add(_bounded(share))

    def run_time(self, job, quantile=TYPICAL):
        """Return the expected run time in seconds."""
        ratios = self._run_time.get((job.account, job.kind))
        factor = ratios.at(quantile) if ratios else 1.0
        return job.declared_s * factor

    def shape(self, job):
        """Return the shape of one member with corrected processors and memory."""
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
