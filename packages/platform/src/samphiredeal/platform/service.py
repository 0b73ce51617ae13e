"""The platform's store protocol as twisted.web resources, over any table.

Used by the simulated platform and by the contract tests.
"""

import base64

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from samphiredeal.platform.table import (
    NO_OBJECT,
    Condition,
    Conflict,
    HistoryLost,
    Put,
    Unavailable,
)

_MAX_PAGE_ROWS = 500


class RowsResource(Resource):
    """Serves ``rows-tx``, ``rows-get`` and ``rows-feed`` for several tables.

    `tables` maps a table's name to an implementation of the table interface.
    """

    isLeaf = True

    def __init__(self, tables, call):
        super().__init__()
        self._tables = tables
        self._call = call

    def render_GET(self, request):
        """Return a range of rows, or the changes once there is at least one."""
        ensureDeferred(self._answer(request, self._read))
        return NOT_DONE_YET

    def render_POST(self, request):
        """Apply a transaction."""
        ensureDeferred(self._answer(request, self._transact))
        return NOT_DONE_YET

    async def _answer(self, request, serve):
        status, body = await serve(request)
        request.setResponseCode(status)
        _finish(request, msgspec.json.encode(body))

    async def _read(self, request):
        table_name = _argument(request, "table", "")
        table = self._tables[table_name]
        if self._call == "rows-feed":
            after = int(_argument(request, "after", "0"))
            wait_s = int(_argument(request, "wait-ms", "0")) / 1000
            answer = await table.changes(after, wait_s)
        else:
            answer = await table.snapshot()
        if isinstance(answer, Unavailable):
            return 503, {}
        if isinstance(answer, HistoryLost):
            return 410, {"ver": answer.version}
        rows = answer.rows
        if self._call == "rows-get":
            rows = _in_range(request, rows)
        limit = int(_argument(request, "limit", str(_MAX_PAGE_ROWS)))
        body = {
            "rows": [_row_fields(table_name, row) for row in rows[:limit]],
            "ver": answer.version,
            "now-ms": answer.store_ms,
            "has-more": len(rows) > limit,
        }
        return 200, body

    async def _transact(self, request):
        call = msgspec.json.decode(request.content.read())
        entries = call["expected"] + call["puts"] + call["remove"]
        name = entries[0]["table"] if entries else ""
        answer = await self._tables[name].write(
            [Condition(entry["key"], entry["ver"]) for entry in call["expected"]],
            [
                Put(entry["key"], base64.b64decode(entry["value"]))
                for entry in call["puts"]
            ],
            [entry["key"] for entry in call["remove"]],
        )
        if isinstance(answer, Unavailable):
            return 503 if answer.not_applied else 500, {}
        if isinstance(answer, Conflict):
            row = answer.row
            rows = [_row_fields(name, row)] if row.version else []
            return 412, {"rows": rows, "ver": row.version}
        return 200, {"ver": max(answer.versions.values(), default=0)}


class ObjectResource(Resource):
    """Serves ``PUT blob-put/NAME`` and ``GET blob-get/NAME``."""

    isLeaf = True

    def __init__(self, objects):
        super().__init__()
        self._objects = objects

    def render_GET(self, request):
        """Return the bytes of an object, or 404."""
        ensureDeferred(self._get(request))
        return NOT_DONE_YET

    def render_PUT(self, request):
        """Store the body as an object."""
        ensureDeferred(self._put(request))
        return NOT_DONE_YET

    async def _get(self, request):
        answer = await self._objects.get(_name(request))
        if answer is NO_OBJECT:
            request.setResponseCode(404)
            answer = b""
        _finish(request, _bytes_or_503(request, answer))

    async def _put(self, request):
        answer = await self._objects.put(_name(request), request.content.read())
        _finish(request, _bytes_or_503(request, answer))


def add_store(root, tables, objects):
    """Serve the store under a root resource; return the resource of ``/api``."""
    api = Resource()
    root.putChild(b"api", api)
    for call in ("rows-tx", "rows-get", "rows-feed"):
        api.putChild(call.encode(), RowsResource(tables, call))
    for call in (b"blob-put", b"blob-get"):
        api.putChild(call, ObjectResource(objects))
    return api


def _row_fields(table, row):
    if row.version == 0:
        return {"table": table, "part": "", "key": row.key, "deleted": True}
    value = base64.b64encode(row.value).decode()
    fields = {"table": table, "part": "", "key": row.key, "value": value}
    return {**fields, "ver": row.version}


def _in_range(request, rows):
    start = _argument(request, "from", "")
    end = _argument(request, "to", "")
    return [row for row in rows if row.key >= start and (not end or row.key < end)]


def _argument(request, name, default):
    return request.args.get(name.encode(), [default.encode()])[0].decode()


def _name(request):
    return b"/".join(request.postpath).decode()


def _bytes_or_503(request, answer):
    if isinstance(answer, Unavailable):
        request.setResponseCode(503)
    return answer if isinstance(answer, bytes) else b""


def _finish(request, body):
    if not request._disconnected:
        request.write(body)
        request.finish()
