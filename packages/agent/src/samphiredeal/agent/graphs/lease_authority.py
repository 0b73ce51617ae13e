"""Whether this agent may go on extending its worker's lease.

Trust comes from the scheduler, which answers a numbered report, and from the
store, which shows that this agent is not evicted. Either counts from the
moment at which this agent asked, so no delay on the way can stretch it.
"""

import collections

from samphiredeal.model.timing import TRUST_S

# More reports than leave within the time for which trust lasts.
_REMEMBERED_REPORTS = 64


class LeaseAuthority:
    """Trust in time, and the newest scheduler's epoch."""

    def __init__(self, clock):
        self._clock = clock
        self._epoch = 0
        self._trusted_at = float("-inf")
        self._heard_at = float("-inf")
        self._sent = collections.OrderedDict()

    @property
    def epoch(self):
        """The highest epoch heard of."""
        return self._epoch

    @property
    def age_s(self):
        """Seconds since the moment for which trust was last shown."""
        return self._clock.seconds() - self._trusted_at

    @property
    def trusted(self):
        """Whether leases may be extended now."""
        return self.age_s < TRUST_S

    @property
    def scheduler_silent_s(self):
        """Seconds since the scheduler last answered a report."""
        return self._clock.seconds() - self._heard_at

    def saw_epoch(self, epoch):
        """Note an epoch; return whether it is not older than one seen before."""
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def report_sent(self, number):
        """Note that a report leaves now."""
        self._sent[number] = self._clock.seconds()
        while len(self._sent) > _REMEMBERED_REPORTS:
            self._sent.popitem(last=False)

    def report_answered(self, number):
        """Note that the scheduler has answered a report."""
        sent_at = self._sent.get(number)
        if sent_at is not None:
            self._heard_at = self._clock.seconds()
            self._trusted_at = max(self._trusted_at, sent_at)

    def not_evicted(self, asked_at):
        """Note that the store, asked at this time, shows no eviction."""
        self._trusted_at = max(self._trusted_at, asked_at)
