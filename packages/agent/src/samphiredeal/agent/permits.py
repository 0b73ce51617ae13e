"""Permits: proof that a sender recently received a heartbeat of this agent.

Every heartbeat has a number, the permit. A dispatch carries the permit of a
heartbeat that its sender had received before it decided to send. So the age of
the heartbeat on the agent's own monotonic clock is an upper bound for the age of
that decision, and clocks of different machines are never compared.
"""

import collections

from samphiredeal.model.timing import START_MAX_STALENESS_S

_RETENTION_S = 4 * START_MAX_STALENESS_S


class PermitIssuer:
    """Number heartbeats and compute the age of permits."""

    def __init__(self, clock):
        self._clock = clock
        self._newest = 0
        self._sent_at = collections.OrderedDict()

    @property
    def newest(self):
        """The number of the newest heartbeat."""
        return self._newest

    def issue(self):
        """Return the next heartbeat's number and record its send time."""
        now = self._clock.seconds()
        self._newest += 1
        self._sent_at[self._newest] = now
        while next(iter(self._sent_at.values())) < now - _RETENTION_S:
            self._sent_at.popitem(last=False)
        return self._newest

    def age(self, permit):
        """Return the age of a permit in seconds; infinite if it is unknown."""
        sent_at = self._sent_at.get(permit)
        return float("inf") if sent_at is None else self._clock.seconds() - sent_at

    def is_fresh(self, permit, confirm_age_ms):
        """Return whether a start under this permit is recent enough.

        The configuration was confirmed `confirm_age_ms` before the sender's
        decision, which followed the receipt of the permit. So the sum of both
        ages bounds the age of the configuration on which the start is based.
        """
        return self.age(permit) + confirm_age_ms / 1000 <= START_MAX_STALENESS_S
