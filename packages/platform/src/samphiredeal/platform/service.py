"""The table and object interface over HTTP, as twisted.web resources.

Used by the stand-in platform and by the contract test. Rows travel as JSON
with base64 values.
"""

import base64

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from samphiredeal.platform.table import (
    NO_OBJECT,
    Committed,
    Condition,
    Conflict,
    Put,
    Unavailable,
)

_encode = msgspec.json.encode


def row_to_json(row):
    """Return a row as a JSON-ready list."""
    return [row.key, row.version, base64.b64encode(row.value).decode()]


def answer_to_json(answer):
    """Return the answer of a table call as a JSON-ready object."""
    if isinstance(answer, Unavailable):
        return {"unavailable": answer.reason}
    if isinstance(answer, Committed):
        return {"committed": answer.versions}
    if isinstance(answer, Conflict):
        return {"conflict": row_to_json(answer.row)}
    if isinstance(answer, list):
        return {"rows": [row_to_json(row) for row in answer]}
    return {"row": row_to_json(answer)}


class TableResource(Resource):
    """Serves ``POST /table`` with ``{"read"|"scan"|"write": ...}``."""

    isLeaf = True

    def __init__(self, table):
        super().__init__()
        self._table = table

    def render_POST(self, request):
        """Run one table call and answer with its result as JSON."""
        call = msgspec.json.decode(request.content.read())
        ensureDeferred(self._run(call, request))
        return NOT_DONE_YET

    async def _run(self, call, request):
        answer = await self._dispatch(call)
        if isinstance(answer, Unavailable):
            request.setResponseCode(503)
        _finish(request, _encode(answer_to_json(answer)))

    def _dispatch(self, call):
        if "read" in call:
            return self._table.read(call["read"])
        if "scan" in call:
            return self._table.scan(*call["scan"])
        write = call["write"]
        puts = [Put(key, base64.b64decode(value)) for key, value in write["puts"]]
        conditions = [Condition(*pair) for pair in write["conditions"]]
        return self._table.write(conditions, puts, write["deletes"])


class ObjectResource(Resource):
    """Serves ``GET`` and ``PUT`` below ``/objects/``."""

    isLeaf = True

    def __init__(self, objects):
        super().__init__()
        self._objects = objects

    def render_GET(self, request):
        """Answer with the bytes of an object, or 404."""
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
