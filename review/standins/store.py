"""A stand-in for the platform's metadata store: the row calls of one deployment.

`on_write(puts)` may return the number of seconds after which a transaction is to be
carried out without an answer, or None to carry it out at once and answer it.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from standins.http import LOST, Server

_ANSWER_S = 0.004
_MAX_ENTRIES = 100
_MAX_CALL_BYTES = 1_000_000
_PAGE_ROWS = 500
_READ_ONLY_TABLES = ("op", "servers")


class Store:
    """Rows in tables with one version counter, and the feed of their changes."""

    def __init__(self, port, row_bytes=65536, transaction_s=0.005):
        self.on_write = lambda puts: None
        self.refused_writes = []
        self._row_bytes = row_bytes
        self._transaction_s = transaction_s
        self._rows = {}
        self._version = 0
        self._changes = []
        self._changed = asyncio.Event()
        self._part_locks = {}
        self._server = Server(port, self._handle)
        self._background = set()

    async def start(self):
        """Serve."""
        await self._server.start()

    async def stop(self):
        """Stop serving."""
        await self._server.stop()

    def put_as_operator(self, table, key, document):
        """Write a row as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._version += 1
        self._put({"table": table, "part": "", "key": key, "value": value})
        self._wake()

    def value_of(self, key, table="samphiredeal"):
        """Return the bytes of a row, or None."""
        row = self._rows.get((table, "", key))
        return row and base64.b64decode(row["value"])

    async def _handle(self, request):
        if request.path == "/api/rows-tx":
            return await self._transact(request)
        await asyncio.sleep(_ANSWER_S)
        fields = {name: values[0] for name, values in parse_qs(request.query).items()}
        if request.path == "/api/rows-get":
            return 200, self._get(fields)
        if request.path == "/api/rows-feed":
            return 200, await self._feed(fields)
        return 404, {}

    async def _transact(self, request):
        document = json.loads(request.body)
        entries = [
            *document.get("expected", ()),
            *document.get("puts", ()),
            *document.get("remove", ()),
        ]
        refusal = self._refusal(request, document, entries)
        if refusal:
            await asyncio.sleep(_ANSWER_S)
            return refusal
        late_s = self.on_write(document.get("puts", ()))
        if late_s is not None:
            task = asyncio.ensure_future(self._apply_later(document, late_s))
            self._background.add(task)
            task.add_done_callback(self._background.discard)
            return LOST
        part = entries[0]["part"] if entries else ""
        async with self._part_locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(self._transaction_s)
            return self._apply(document)

    def _refusal(self, request, document, entries):
        """Return the answer to a transaction that the store does not take, or None."""
        if len(entries) > _MAX_ENTRIES or len(request.body) > _MAX_CALL_BYTES:
            return 400, {"reason": "too large"}
        for put in document.get("puts", ()):
            if put["table"] in _READ_ONLY_TABLES:
                return 403, {}
            size = len(base64.b64decode(put["value"]))
            if size > self._row_bytes:
                self.refused_writes.append((time.monotonic(), put["key"], size))
                return 400, {"reason": f"{put['key']}: {size} bytes"}
        return None

    async def _apply_later(self, document, late_s):
        await asyncio.sleep(late_s)
        self._apply(document)

    def _apply(self, document):
        expected = document.get("expected", ())
        current = [self._rows.get(_key(entry)) for entry in expected]
        for entry, row in zip(expected, current, strict=True):
            if (row["ver"] if row else 0) != entry["ver"]:
                rows = [row for row in current if row]
                return 412, {"rows": rows, **self._stamp()}
        self._version += 1
        for put in document.get("puts", ()):
            self._put(put)
        for entry in document.get("remove", ()):
            if self._rows.pop(_key(entry), None):
                self._changes.append((self._version, {**entry, "deleted": True}))
        self._wake()
        return 200, self._stamp()

    def _put(self, put):
        row = {name: put[name] for name in ("table", "part", "key", "value")}
        row["ver"] = self._version
        self._rows[_key(row)] = row
        self._changes.append((self._version, row))

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _stamp(self):
        return {"ver": self._version, "now-ms": int(time.monotonic() * 1000)}

    def _get(self, fields):
        table, part = fields["table"], fields.get("part", "")
        low, high = fields.get("from", ""), fields.get("to", "")
        limit = min(int(fields.get("limit", _PAGE_ROWS)), _PAGE_ROWS)
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == (table, part)
            and key[2] >= low
            and (not high or key[2] < high)
        )
        rows = [self._rows[key] for key in keys[:limit]]
        return {"rows": rows, "has-more": len(keys) > limit, **self._stamp()}

    async def _feed(self, fields):
        table, after = fields["table"], int(fields.get("after", 0))
        give_up_at = time.monotonic() + int(fields.get("wait-ms", 0)) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for version, row in self._changes
                if version > after and row["table"] == table
            ]
            left_s = give_up_at - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows, **self._stamp()}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


def _key(entry):
    return entry["table"], entry["part"], entry["key"]
