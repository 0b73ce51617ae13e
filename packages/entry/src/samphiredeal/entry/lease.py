"""Lease rows: membership of entries and the scheduler's lease.

A row counts as live while its version keeps changing, as measured by the reader's
own clock; no times are written or compared.
"""

from typing import NamedTuple

import msgspec

from samphiredeal.entry.unreadable import log_unreadable_row
from samphiredeal.model import untrusted
from samphiredeal.platform.table import (
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Unavailable,
    scan_all,
)

RENEW_INTERVAL_S = 1.0
# A lease whose row has not changed for this long has expired.
LEASE_DURATION_S = 4.0


class ObservedVersion(NamedTuple):
    """A row's version and the time at which this process first read it."""

    version: int
    at: float


class RowMonitor:
    """Tracks the rows whose version has changed within the lease duration."""

    def __init__(self, clock):
        self._clock = clock
        self._observed = {}

    def observe(self, row):
        """Record a row as read; return whether its lease is live."""
        observed = self._observed.get(row.key)
        if observed is None or observed.version != row.version:
            observed = ObservedVersion(row.version, self._clock.seconds())
            self._observed[row.key] = observed
        return self._clock.seconds() - observed.at <= LEASE_DURATION_S


class EntryRow(NamedTuple):
    """The content of an entry's own lease row."""

    name: str
    address: str
    zone: str
    region: str
    incarnation: str
    beat: int


class HolderRow(NamedTuple):
    """The content of the scheduler's lease row; `holder` is empty if released."""

    epoch: int = 0
    holder: str = ""


def _decode_entry(row):
    """Return the `EntryRow` of a row, or None if another writer left it malformed."""
    try:
        fields = untrusted.decode_json(row.value)
        entry = EntryRow(**fields)
        for name in ("name", "address", "zone", "region", "incarnation"):
            untrusted.text(name, getattr(entry, name))
        untrusted.integer("beat", entry.beat)
    except (TypeError, ValueError) as error:
        log_unreadable_row(row, error)
        return None
    return entry


def _decode_holder(row):
    """Return the `HolderRow` of a row, or None if it is absent or malformed."""
    if not row.version:
        return None
    try:
        fields = untrusted.decode_json(row.value)
        return HolderRow(
            untrusted.integer("epoch", fields["epoch"]),
            untrusted.text("holder", fields["holder"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        log_unreadable_row(row, error)
        return None


class Membership:
    """The lease rows of this entry and of the others."""

    PREFIX = "entry/"

    def __init__(self, clock, table, own):
        self._clock = clock
        self._table = table
        self._own = own
        self._monitor = RowMonitor(clock)
        self._members = {}

    @property
    def members(self):
        """The other entries with a live lease, by name."""
        return self._members

    async def renew(self):
        """Renew this entry's row and read those of the others."""
        self._own = self._own._replace(beat=self._own.beat + 1)
        value = msgspec.json.encode(self._own._asdict())
        await self._table.write([], [Put(self.PREFIX + self._own.name, value)])
        rows = await scan_all(self._table, self.PREFIX)
        if isinstance(rows, Unavailable):
            return
        live = {}
        for row in rows:
            entry = _decode_entry(row)
            is_other = entry is not None and entry.name != self._own.name
            if is_other and self._monitor.observe(row):
                live[entry.name] = entry
        self._members = live

    async def leave(self):
        """Delete this entry's row."""
        await self._table.write([], [], [self.PREFIX + self._own.name])


class SchedulerLease:
    """The lease of one region's scheduler; its epoch rises with each holder."""

    def __init__(self, clock, table, region, name):
        self._table = table
        self._key = f"scheduler/{region}"
        self._name = name
        self._monitor = RowMonitor(clock)
        self._epoch = 0
        self._version = 0
        self._held = False

    @property
    def held(self):
        """Whether this entry held the lease at its last contact with the table.

        A holder that cannot reach the table continues: in an outage of the table
        no other entry can acquire the lease, and agents refuse an epoch below the
        highest they have received.
        """
        return self._held

    @property
    def epoch(self):
        """The epoch of the lease when held."""
        return self._epoch

    async def renew(self):
        """Renew a held lease, or acquire one that has expired."""
        if self._held:
            await self._write(self._epoch)
            return
        row = await self._table.read(self._key)
        if not isinstance(row, Row):
            return
        live = self._monitor.observe(row)
        found = _decode_holder(row)
        self._version = row.version
        if found is None:
            # Epochs rise from the last one known here; agents refuse a lower one.
            found = HolderRow(self._epoch)
        if not row.version or not live or found.holder == "":
            await self._write(found.epoch + 1)

    async def release(self):
        """Release a held lease so that another entry can acquire it at once."""
        if self._held:
            self._held = False
            await self._put(self._epoch, "")

    def fence(self, epoch):
        """Stop holding the lease if a higher epoch exists."""
        if epoch > self._epoch:
            self._held = False

    async def _write(self, epoch):
        answer = await self._put(epoch, self._name)
        if isinstance(answer, Committed):
            self._held = True
            self._epoch = epoch
            self._version = answer.versions[self._key]
        elif isinstance(answer, Conflict):
            await self._on_conflict(answer.row, epoch)

    async def _on_conflict(self, row, epoch):
        """Distinguish a lost answer to this entry's own write from a lost lease."""
        if _decode_holder(row) == HolderRow(epoch, self._name):
            self._held = True
            self._epoch = epoch
            self._version = row.version
        else:
            self._held = False

    def _put(self, epoch, holder):
        value = msgspec.json.encode({"holder": holder, "epoch": epoch})
        condition = Condition(self._key, self._version)
        return self._table.write([condition], [Put(self._key, value)])
