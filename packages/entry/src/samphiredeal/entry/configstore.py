"""The configuration in the table: reading, accepting and snapshots.

``config/head`` holds the revision, and each accepted change is a row of its own,
created in the same transaction. A change is accepted once that transaction has
committed; the condition that its row is new lets only one of concurrent changes
commit.
"""

import collections
from typing import NamedTuple

import msgspec

from samphiredeal.model import configuration as config
from samphiredeal.platform.table import (
    NO_OBJECT,
    Committed,
    Condition,
    Put,
    Row,
    Unavailable,
    write_until_resolved,
)

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
SNAPSHOT_KEY = "config/snapshot"
SNAPSHOT_INTERVAL_CHANGES = 200
_PAGE_ROWS = 100
_ACCEPT_TIMEOUT_S = 4.0
_MAX_CONFLICTS = 5
# The number of recent changes kept in memory for peers that lag slightly behind.
_MAX_RECENT_CHANGES = 256


class Accepted(NamedTuple):
    """The change is committed at this revision."""

    change: config.Change


class LostRace(NamedTuple):
    """Another change was committed first; `version` and `document` are from it."""

    version: int
    document: dict | None


class InDoubt(NamedTuple):
    """The table did not answer: the change may or may not take effect."""

    reason: str


def change_key(revision):
    """Return the key of a change's row; keys sort by revision."""
    return f"{CHANGE_PREFIX}{revision:012d}"


class ConfigStore:
    """This entry's copy of the configuration, read from and written to the table."""

    def __init__(self, clock, table, objects, confirmation, on_changes):
        self._clock = clock
        self._table = table
        self._objects = objects
        self._confirmation = confirmation
        self._on_changes = on_changes
        self._current = config.EMPTY
        self._versions = {}
        self._recent = collections.deque(maxlen=_MAX_RECENT_CHANGES)
        self._reading = False

    @property
    def current(self):
        """The newest configuration that this entry has."""
        return self._current

    def version_of(self, kind, name):
        """Return the revision of the last change to a document, 0 if none."""
        return self._versions.get(f"{kind}/{name}", 0)

    def apply_changes(self, changes):
        """Apply the changes that directly follow the current revision, in order.

        Others are skipped, so the revision never decreases. Return the applied ones.
        """
        applied = []
        for change in changes:
            if change.revision == self._current.revision + 1:
                self._current = self._current.apply(change)
                self._versions[f"{change.kind}/{change.name}"] = change.revision
                self._recent.append(change)
                applied.append(change)
        if applied:
            self._confirmation.set_revision(self._current.revision)
            self._on_changes(applied)
        return applied

    async def refresh(self):
        """Read new changes from the table; do nothing while another read runs."""
        if self._reading:
            return
        self._reading = True
        try:
            await self._refresh()
        finally:
            self._reading = False

    async def _refresh(self):
        sent_at = self._clock.seconds()
        head = await self._table.read(HEAD_KEY)
        if not isinstance(head, Row):
            return
        revision = int(head.value) if head.value else 0
        if self._current.revision == 0 and revision > 1:
            await self._load_snapshot()
        while self._current.revision < revision:
            if not await self._read_page():
                return
        self._confirmation.on_store_read(sent_at, revision)

    def recent_after(self, revision):
        """Return the changes after a revision, or None if some are no longer kept."""
        if revision >= self._current.revision:
            return []
        kept = [change for change in self._recent if change.revision > revision]
        return kept if kept and kept[0].revision == revision + 1 else None

    def snapshot(self):
        """Return the whole configuration as JSON bytes."""
        return msgspec.json.encode(
            {"configuration": self._current._asdict(), "versions": self._versions}
        )

    def apply_snapshot(self, data):
        """Apply the result of `snapshot` if its revision is newer."""
        document = msgspec.json.decode(data)
        current = config.Configuration(**document["configuration"])
        if current.revision > self._current.revision:
            self._current = current
            self._versions = document["versions"]
            self._recent.clear()
            self._confirmation.set_revision(current.revision)
            self._on_changes([])

    async def changes_after(self, revision):
        """Return a page of accepted changes after a revision, None if unavailable."""
        page = await self._table.scan(CHANGE_PREFIX, change_key(revision), _PAGE_ROWS)
        if isinstance(page, Unavailable):
            return None
        return [config.decode_changes(b"[" + row.value + b"]")[0] for row in page]

    async def accept(self, change_id, kind, name, document, expected):
        """Write a change if the document is still at version `expected`.

        `expected` None means any version. Return `Accepted`, `LostRace` or
        `InDoubt`.
        """
        self._confirmation.write_begun()
        try:
            return await self._accept(change_id, kind, name, document, expected)
        finally:
            self._confirmation.write_ended()

    async def _accept(self, change_id, kind, name, document, expected):
        give_up_at = self._clock.seconds() + _ACCEPT_TIMEOUT_S
        for _ in range(_MAX_CONFLICTS):
            version = self.version_of(kind, name)
            if expected is not None and version != expected:
                return LostRace(version, self._current.documents(kind).get(name))
            revision = self._current.revision
            change = config.Change(revision + 1, change_id, kind, name, document)
            answer = await write_until_resolved(
                self._clock,
                self._table,
                [Condition(change_key(revision + 1), 0)],
                [
                    Put(
                        change_key(revision + 1), msgspec.json.encode(change._asdict())
                    ),
                    Put(HEAD_KEY, str(revision + 1).encode()),
                ],
                give_up_at=give_up_at,
            )
            if isinstance(answer, Committed):
                self.apply_changes([change])
                await self._write_snapshot_if_due()
                return Accepted(change)
            if isinstance(answer, Unavailable):
                return InDoubt(answer.reason)
            while self._current.revision <= revision:
                if not await self._read_page():
                    return InDoubt("the concurrent change cannot be read")
        return LostRace(self.version_of(kind, name), None)

    async def _read_page(self):
        """Read and apply the next changes; return whether there were any."""
        changes = await self.changes_after(self._current.revision)
        return bool(changes and self.apply_changes(changes))

    async def _write_snapshot_if_due(self):
        if self._current.revision % SNAPSHOT_INTERVAL_CHANGES:
            return
        name = f"config/{self._current.revision:012d}"
        stored = await self._objects.put(name, self.snapshot())
        if not isinstance(stored, Unavailable):
            await self._table.write([], [Put(SNAPSHOT_KEY, name.encode())])

    async def _load_snapshot(self):
        row = await self._table.read(SNAPSHOT_KEY)
        if not isinstance(row, Row) or not row.version:
            return
        data = await self._objects.get(row.value.decode())
        if data is NO_OBJECT or isinstance(data, Unavailable):
            return
        self.apply_snapshot(data)
