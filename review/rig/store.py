"""The platform's table store, as PROTOCOL.md describes it.

Every machine reaches the store at an address of its own, so that the store can treat
machines differently.
"""

import asyncio
import time

from . import web

ANSWER_S = 0.004
TRANSACTION_S = 0.005
MAX_ROWS = 500


class Store:
    """All rows, the history of their changes, and the disruptions of the store.

    `on_commit(machine, puts)` is called right after a transaction of a machine has been
    applied, before it is answered; `puts` are (table, key, value) with decoded values.
    """

    def __init__(self, record):
        self._record = record
        self._rows = {}
        self._history = []
        self._version = 0
        self._changed = asyncio.Event()
        self._locks = {}
        self._servers = []
        self._late = set()
        self.on_commit = lambda machine, puts: None
        # `late_s(machine, puts)` returns how much later a transaction is applied, which
        # is then not answered; None for one that is applied at once.
        self.late_s = lambda machine, puts: None
        # Machines that get no answer at present, and whose calls have no effect.
        self.silent_to = set()
        self.is_silent = False
        # Machines whose calls are refused with this status.
        self.refused = {}
        # Of these machines writes are applied and not answered.
        self.loses_answers_of = set()
        # Seconds that an answer takes.
        self.answer_s = ANSWER_S

    async def listen(self, machine, host="127.0.0.1"):
        """Accept calls of one machine; return the address for it."""
        server = web.Server(lambda request: self._handle(machine, request))
        self._servers.append(server)
        return f"{host}:{await server.listen(host, 0)}"

    async def close(self):
        """Stop listening."""
        for server in self._servers:
            await server.close()

    def row(self, table, key):
        """Return the value of a row as the base64 text that was put, or None."""
        found = self._rows.get((table, "", key))
        return found["value"] if found else None

    def keys(self, table, prefix):
        """Return the keys of a table with a prefix."""
        return sorted(
            key
            for (name, _part, key) in self._rows
            if name == table and key.startswith(prefix)
        )

    def put(self, table, key, value):
        """Write a row as the operator does."""
        self._apply([{"table": table, "part": "", "key": key, "value": value}], [])

    def remove(self, table, key):
        """Remove a row as the operator does."""
        self._apply([], [{"table": table, "part": "", "key": key}])

    async def _handle(self, machine, request):
        if self.is_silent or machine in self.silent_to:
            return web.NO_ANSWER
        if machine in self.refused:
            return self.refused[machine], {}
        call = request.path.removeprefix("/api/")
        if call == "rows-tx":
            late_s = self.late_s(machine, request.document["puts"])
            if late_s is not None:
                self._transact_later(machine, request.document, late_s)
                return web.NO_ANSWER
            answer = await self._transact(machine, request.document)
            if machine in self.loses_answers_of:
                return web.NO_ANSWER
        elif call == "rows-get":
            answer = self._get(request.query)
        elif call == "rows-feed":
            answer = await self._feed(machine, request.query)
        else:
            return 404, {}
        await asyncio.sleep(self.answer_s)
        if self.is_silent or machine in self.silent_to:
            return web.NO_ANSWER
        return answer

    def _transact_later(self, machine, document, seconds):
        async def transact():
            await asyncio.sleep(seconds)
            status, _answer = await self._transact(machine, document)
            keys = [put["key"] for put in document["puts"]]
            self._record("late-write", machine=machine, keys=keys, status=status)

        task = asyncio.create_task(transact())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _transact(self, machine, document):
        entries = document["expected"] + document["puts"] + document["remove"]
        part = entries[0]["part"] if entries else ""
        async with self._locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TRANSACTION_S)
            for one in document["expected"]:
                found = self._rows.get(_name(one))
                if (found["ver"] if found else 0) != one["ver"]:
                    expected = [
                        self._rows[_name(each)]
                        for each in document["expected"]
                        if _name(each) in self._rows
                    ]
                    return 412, {"rows": expected, **self._stamp()}
            self._apply(document["puts"], document["remove"])
            answer = 200, self._stamp()
        self.on_commit(machine, document["puts"])
        return answer

    def _apply(self, puts, removed):
        self._version += 1
        for one in puts:
            row = {**one, "ver": self._version}
            self._rows[_name(one)] = row
            self._history.append((self._version, row))
        for one in removed:
            if self._rows.pop(_name(one), None) is not None:
                self._history.append((self._version, {**one, "deleted": True}))
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = [
            row
            for (name, its_part, key), row in sorted(self._rows.items())
            if (name, its_part) == (table, part)
            and key >= start
            and (not end or key < end)
        ]
        body = {"rows": rows[:limit], "has-more": len(rows) > limit, **self._stamp()}
        return 200, body

    async def _feed(self, machine, query):
        table, after = query["table"], int(query["after"])
        give_up_at = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            rows = [
                row
                for version, row in self._history
                if version > after and row["table"] == table
            ]
            left_s = give_up_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows, **self._stamp()}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _stamp(self):
        return {"ver": self._version, "now-ms": int(time.monotonic() * 1000)}


def _name(entry):
    return entry["table"], entry["part"], entry["key"]
