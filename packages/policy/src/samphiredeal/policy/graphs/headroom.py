"""Capacity reserved for the next urgent work.

Work that can wait is started only if the remaining capacity would hold urgent units
as large as the largest recent one. Otherwise those would have to preempt it, and its
work up to then would be lost. Of the workers the fastest are left to urgent work, which
has little time to spare.
"""

from samphiredeal.model.shape import NOTHING

# How long an urgent unit counts; covers bursts and the gaps between them.
_RETENTION_S = 60.0
# Urgent units arrive in bursts: one is still running when the next one arrives.
_CONCURRENT_URGENT_UNITS = 2
# Largest share of the capacity that is kept free; more would leave too much idle.
SHARE_MAX = 0.3
# Speed from which a worker counts as fast.
_FAST = 1.1


class Headroom:
    """Shares of the cluster that recent urgent units needed."""

    def __init__(self):
        self._recent = {}

    def record(self, unit, total, now):
        """Record a ready urgent unit; `total` is the capacity of all workers."""
        share = unit.demand.times(unit.count).dominant_share(total)
        self._recent[(unit.job.id, unit.key)] = (now, share)

    def share(self, now):
        """Return the share of the capacity to keep free."""
        self._recent = {
            key: (at, share)
            for key, (at, share) in self._recent.items()
            if now - at < _RETENTION_S
        }
        largest = max((share for _at, share in self._recent.values()), default=0.0)
        return min(_CONCURRENT_URGENT_UNITS * largest, SHARE_MAX)


def fastest_workers(workers, share):
    """Return the names of the fastest workers that have this share of the capacity.

    Workers that are hardly faster than an average one are left out.
    """
    names, reserved, total = set(), NOTHING, NOTHING
    fast = [worker for worker in workers if worker.speed >= _FAST]
    if not fast or not share:
        return names
    for worker in workers:
        total = total.plus(worker.capacity)
    for worker in sorted(fast, key=lambda one: (-one.speed, one.name)):
        if reserved.dominant_share(total) >= share:
            break
        names.add(worker.name)
        reserved = reserved.plus(worker.capacity)
    return names
