"""The agent's authority to extend its worker's lease.

The scheduler confirms it by answering a numbered report, and the store by
showing that this agent is not evicted. Either counts from the time at which the
agent sent its report or query, so a delayed answer does not prolong it.
"""

import collections

from samphiredeal.model.timing import LEASE_AUTHORITY_S

# More than the number of reports sent while one confirmation is valid.
_MAX_TRACKED_REPORTS = 64


class LeaseAuthority:
    """When the authority was last confirmed, and the newest scheduler's epoch."""

    def __init__(self, clock):
        self._clock = clock
        self._epoch = 0
        self._authorized_at = float("-inf")
        self._contact_at = float("-inf")
        self._sent_at = collections.OrderedDict()

    @property
    def epoch(self):
        """The highest epoch seen."""
        return self._epoch

    @property
    def age_s(self):
        """Seconds since the sending of the last confirmed report or query."""
        return self._clock.seconds() - self._authorized_at

    @property
    def authorized(self):
        """Whether leases may be extended now."""
        return self.age_s < LEASE_AUTHORITY_S

    @property
    def scheduler_contact_age_s(self):
        """Seconds since the scheduler last answered a report."""
        return self._clock.seconds() - self._contact_at

    def observe_epoch(self, epoch):
        """Record an epoch; return False if it is older than one seen before."""
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def record_report_sent(self, number):
        """Record that a report is sent now."""
        self._sent_at[number] = self._clock.seconds()
        while len(self._sent_at) > _MAX_TRACKED_REPORTS:
            self._sent_at.popitem(last=False)

    def is_recent(self, number):
        """Return whether an answer to a report can still authorize anything."""
        sent_at = self._sent_at.get(number, float("-inf"))
        return self._clock.seconds() - sent_at < LEASE_AUTHORITY_S

    def record_report_answered(self, number):
        """Record that the scheduler has answered a report."""
        sent_at = self._sent_at.get(number)
        if sent_at is not None:
            self._contact_at = self._clock.seconds()
            self._authorized_at = max(self._authorized_at, sent_at)

    def record_not_evicted(self, queried_at):
        """Record that a store query at this time found no eviction."""
        self._authorized_at = max(self._authorized_at, queried_at)
