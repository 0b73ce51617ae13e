"""Confirmation that an entry's configuration is current.

Three sources give a time, on this entry's clock, at which the configuration is
known to have been the newest: this entry's read of the table, another entry's
read (dated by the round trip of a peer heartbeat), and, if no entry reaches the
table, the agreement of all entries that none has accepted a newer change.
"""

from typing import NamedTuple

# A table that has not answered for this long counts as unresponsive.
STORE_TIMEOUT_S = 1.5
# An entry with which neither this one nor any agent had contact for this long is
# regarded as down.
PEER_TIMEOUT_S = 3.0


class PeerConfirmation(NamedTuple):
    """The latest echo of a peer; `at` is the send time of the answered heartbeat."""

    at: float
    revision: int
    confirm_age_s: float
    store_down: bool


class Confirmation:
    """Tracks how long ago the configuration was known to be the newest."""

    def __init__(self, clock):
        self._clock = clock
        self._revision = 0
        self._store_confirmed_at = float("-inf")
        self._confirmations = {}
        self._last_contact_at = {}
        self._members = None
        self._writes = 0

    @property
    def store_down(self):
        """Whether the table is unresponsive and no change is being written here."""
        return not self._writes and self.store_unresponsive

    @property
    def store_unresponsive(self):
        """Whether the table has not answered this entry within the time limit."""
        return self._clock.seconds() - self._store_confirmed_at > STORE_TIMEOUT_S

    def set_revision(self, revision):
        """Record the current revision; confirmations of older revisions still count."""
        self._revision = max(self._revision, revision)

    def on_store_read(self, sent_at, revision):
        """Record that the table held this revision at `sent_at` or later."""
        if revision <= self._revision:
            self._store_confirmed_at = max(self._store_confirmed_at, sent_at)

    def on_echo(self, peer, confirmation):
        """Record a peer's echo."""
        self._confirmations[peer] = confirmation
        self._last_contact_at[peer] = max(
            confirmation.at, self._last_contact_at.get(peer, 0.0)
        )

    def on_reachable_entries(self, entries):
        """Record which entries an agent receives messages from."""
        now = self._clock.seconds()
        for entry in entries:
            self._last_contact_at[entry] = now

    def set_members(self, names):
        """Set which other entries hold a lease in the table."""
        now = self._clock.seconds()
        for name in set(names) - (self._members or set()):
            self._last_contact_at.setdefault(name, now)
        self._members = set(names)

    def write_begun(self):
        """Record that a change is being written to the table."""
        self._writes += 1

    def write_ended(self):
        """Record that the write of a change was resolved or abandoned."""
        self._writes -= 1

    def age_s(self):
        """Return how many seconds ago the configuration was known to be the newest."""
        times = [self._store_confirmed_at, self._unanimously_confirmed_at()]
        times += [
            confirmation.at - confirmation.confirm_age_s
            for confirmation in self._confirmations.values()
            if confirmation.revision <= self._revision
        ]
        return self._clock.seconds() - max(times)

    def _unanimously_confirmed_at(self):
        """Return when all entries last agreed that no newer change is accepted.

        An entry that started while the table was unresponsive has no list of all
        entries, so it relies on the confirmation of one that has.
        """
        if self._members is None or not self.store_down:
            return float("-inf")
        now = self._clock.seconds()
        oldest = now
        for name in self._members | set(self._confirmations):
            if now - self._last_contact_at.get(name, float("-inf")) > PEER_TIMEOUT_S:
                continue
            confirmation = self._confirmations.get(name)
            if (
                confirmation is None
                or not confirmation.store_down
                or confirmation.revision > self._revision
            ):
                return float("-inf")
            oldest = min(oldest, confirmation.at)
        return oldest
