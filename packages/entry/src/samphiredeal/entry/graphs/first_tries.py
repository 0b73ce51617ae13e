"""When callers first tried to submit the jobs that were refused since.

A caller who is refused comes back, perhaps at another entry, and counts its job's time
from the first try. Entries that were asked on the way know that too.
"""

import collections

# Callers give up within seconds.
_KEPT_S = 15.0
# Bounds the memory under a load of refused calls.
_MAX_TRIES = 5000


class FirstTries:
    """The times of the first tries that reached this entry, oldest first."""

    def __init__(self, clock):
        self._clock = clock
        self._tried_at = collections.OrderedDict()

    def record(self, call):
        """Record a try to submit a job, unless an earlier one is known."""
        now = self._clock.seconds()
        self._drop_expired(now)
        self._tried_at.setdefault((call.host, call.path), now)

    def age_s(self, call):
        """Return how long ago the first known try of a job was."""
        now = self._clock.seconds()
        return now - self._tried_at.get((call.host, call.path), now)

    def forget(self, call):
        """Drop a job that is accepted, or never will be."""
        self._tried_at.pop((call.host, call.path), None)

    def _drop_expired(self, now):
        while self._tried_at:
            oldest = next(iter(self._tried_at.values()))
            is_full = len(self._tried_at) >= _MAX_TRIES
            if now - oldest < _KEPT_S and not is_full:
                return
            self._tried_at.popitem(last=False)
