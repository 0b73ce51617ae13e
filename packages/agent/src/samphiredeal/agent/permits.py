"""Permits: proof that a sender heard from this agent lately.

Every heartbeat has a number. A dispatch carries the number of a heartbeat that
its sender had received, so the time since that heartbeat was sent, on the
agent's own monotonic clock, bounds how long ago the sender decided. No clocks
are compared.
"""

import collections

from samphiredeal.model.timing import START_MAX_STALENESS_S

_REMEMBERED_S = 4 * START_MAX_STALENESS_S


class PermitIssuer:
    """Numbers heartbeats and tells the age of a permit."""

    def __init__(self, clock):
        self._clock = clock
        self._newest = 0
        self._sent_at = collections.OrderedDict()

    @property
    def newest(self):
        """The number of the newest heartbeat."""
        return self._newest

    def issue(self):
        """Return the next heartbeat's number, noting the time it is sent."""
        now = self._clock.seconds()
        self._newest += 1
        self._sent_at[self._newest] = now
        while next(iter(self._sent_at.values())) < now - _REMEMBERED_S:
            self._sent_at.popitem(last=False)
        return self._newest

    def age(self, permit):
        """Return the age of a permit in seconds; infinite if it is unknown."""
        sent_at = self._sent_at.get(permit)
        return float("inf") if sent_at is None else self._clock.seconds() - sent_at

    def is_fresh(self, permit, confirm_age_ms):
        """Return whether a start under this permit is recent enough.

        The configuration was confirmed `confirm_age_ms` before the sender
        decided, and the sender decided after it received the permit.
        """
        return self.age(permit) + confirm_age_ms / 1000 <= START_MAX_STALENESS_S
