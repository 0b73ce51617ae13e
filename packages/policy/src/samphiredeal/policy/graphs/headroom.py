"""Room that is kept free for the next urgent work.

Work that can wait is started only if the room left over would hold urgent units
as large as the largest of late: otherwise those would have to displace it, and
what it had done by then would be thrown away.
"""

# How long an urgent unit counts: bursts and the gaps between them.
_RETENTION_S = 60.0
# Urgent units come in bursts: one is still at work when the next one comes.
_CONCURRENT_URGENT_UNITS = 2
# At most this share of the workers is kept free; more would idle too much.
SHARE_MAX = 0.3


class Headroom:
    """Shares of the cluster that urgent units have asked for of late."""

    def __init__(self):
        self._recent = {}

    def record(self, unit, total, now):
        """Note that an urgent unit is ready; `total` is all workers' room."""
        share = unit.demand.times(unit.count).dominant_share(total)
        self._recent[(unit.job.id, unit.key)] = (now, share)

    def share(self, now):
        """Return the share of the workers to keep free."""
        self._recent = {
            key: (at, share)
            for key, (at, share) in self._recent.items()
            if now - at < _RETENTION_S
        }
        largest = max((share for _at, share in self._recent.values()), default=0.0)
        return min(_CONCURRENT_URGENT_UNITS * largest, SHARE_MAX)
