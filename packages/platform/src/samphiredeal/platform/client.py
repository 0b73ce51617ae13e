"""HTTP clients for the platform's store and for other services, with limits.

The duration, the number in flight and the rate of calls are limited. A call over
the limit of number or rate is not sent; its result is an `Unavailable`.
"""

import base64
from io import BytesIO
from urllib.parse import quote

import msgspec
from eliot import log_message
from twisted.internet.defer import ensureDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    readBody,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from samphiredeal.model import untrusted
from samphiredeal.platform.table import (
    CALL_TIMEOUT_S,
    CHANGES_TIMEOUT_S,
    NO_OBJECT,
    STORED,
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Limits,
    Row,
    Unavailable,
)

# Keeps one process to a part of the store's rate limits, even if it misbehaves.
MAX_IN_FLIGHT = 64
MAX_CALLS_PER_S = 400
_MAX_CONNECTIONS = 16
# The maximum number of rows in one answer of the store.
_MAX_PAGE_ROWS = 500
_JSON = Headers({b"content-type": [b"application/json"]})
# Statuses of a service that refused a call without any effect.
_REFUSED_STATUSES = (429, 503)
# The call is malformed, exceeds a limit or writes what only others may write.
_REJECTED_STATUSES = (400, 403, 413)
_MAX_LOGGED_BYTES = 200
_LIMITS = Limits()


class _CallLimiter:
    """A token bucket with a limit of calls in flight."""

    def __init__(self, clock, rate_per_s=MAX_CALLS_PER_S, in_flight=MAX_IN_FLIGHT):
        self._clock = clock
        self._rate = rate_per_s
        self._tokens = float(rate_per_s)
        self._filled_at = clock.seconds()
        self._free = in_flight

    def try_acquire(self):
        """Return whether one more call may be sent now, and count it if so."""
        now = self._clock.seconds()
        self._tokens += (now - self._filled_at) * self._rate
        self._tokens = min(self._rate, self._tokens)
        self._filled_at = now
        if self._tokens < 1 or self._free < 1:
            return False
        self._tokens -= 1
        self._free -= 1
        return True

    def release(self):
        """Record that a call has ended."""
        self._free += 1


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to IP addresses, without name resolution."""

    def __init__(self, reactor, timeout_s):
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri):
        """Return the endpoint of a URI; see `IAgentEndpointFactory`."""
        host = uri.host.decode()
        return TCP4ClientEndpoint(self._reactor, host, uri.port, self._timeout_s)


class HttpClient:
    """Sends calls to one service, within limits of number and rate."""

    def __init__(self, reactor, base_url, timeout_s=CALL_TIMEOUT_S, clock=None):
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = _MAX_CONNECTIONS
        self._agent = Agent.usingEndpointFactory(
            reactor, _AddressEndpoints(reactor, timeout_s), pool=self._pool
        )
        self._clock = clock or reactor
        self._base_url = base_url.rstrip("/").encode()
        self._timeout_s = timeout_s
        self._limiter = _CallLimiter(self._clock)
        self._unresponsive = False

    async def call(self, method, path, body=None, headers=_JSON, timeout_s=None):
        """Return (status, body), or an `Unavailable` if there was no answer."""
        if not self._limiter.try_acquire():
            reason = "this process exceeds its limit of calls to the platform"
            return Unavailable(reason, not_applied=True)
        producer = None if body is None else FileBodyProducer(BytesIO(body))
        exchange = ensureDeferred(self._exchange(method, path, producer, headers))
        exchange.addTimeout(timeout_s or self._timeout_s, self._clock)
        try:
            answer = await exchange
        except Exception as error:
            return self._handle_failure(path, error)
        finally:
            self._limiter.release()
        self._handle_success()
        return answer

    async def _exchange(self, method, path, producer, headers):
        response = await self._agent.request(
            method, self._base_url + path, headers, bodyProducer=producer
        )
        return response.code, await readBody(response)

    def _handle_failure(self, path, error):
        """Close the idle connections, which may be just as unresponsive."""
        reason = f"{type(error).__name__}: {error}"[:200]
        if not self._unresponsive:
            self._unresponsive = True
            log_message(
                message_type="dependency_lost",
                service=self._base_url.decode(),
                path=path.decode()[:100],
                reason=reason,
            )
        self._pool.closeCachedConnections()
        refused = isinstance(error, ConnectionRefusedError)
        return Unavailable(reason, not_applied=refused, nobody_listens=refused)

    def _handle_success(self):
        if self._unresponsive:
            self._unresponsive = False
            log_message(
                message_type="dependency_regained", service=self._base_url.decode()
            )


class HttpTable:
    """The table interface over HTTP, for one table and one part of the store."""

    def __init__(self, platform, table="samphiredeal", part="", limits=_LIMITS):
        self._platform = platform
        self._table = table
        self._part = part
        self.limits = limits

    def read(self, key):
        """Return a Deferred of the row; see `samphiredeal.platform.table`."""
        return ensureDeferred(self._read(key))

    def scan(self, prefix, after="", limit=100):
        """Return a Deferred of a page of rows."""
        return ensureDeferred(self._scan(prefix, after, limit))

    def snapshot(self):
        """Return a Deferred of all rows as `Changes`."""
        return ensureDeferred(self._snapshot())

    def changes(self, after, wait_s):
        """Return a Deferred of the rows changed after a version."""
        return ensureDeferred(self._changes(after, wait_s))

    def write(self, conditions, puts, deletes=()):
        """Return a Deferred of the answer to a conditional write."""
        return ensureDeferred(self._write(conditions, puts, deletes))

    async def _read(self, key):
        answer = await self._page(key, key + "\0", 1)
        if isinstance(answer, Unavailable):
            return answer
        rows = _rows(answer)
        return rows[0] if rows else Row(key)

    async def _scan(self, prefix, after, limit):
        start = max(prefix, after + "\0") if after else prefix
        answer = await self._page(start, prefix + "\U0010ffff", limit)
        return answer if isinstance(answer, Unavailable) else _rows(answer)

    async def _snapshot(self):
        rows, start, version, store_ms = [], "", None, 0
        while True:
            answer = await self._page(start, "", _MAX_PAGE_ROWS, CHANGES_TIMEOUT_S)
            if isinstance(answer, Unavailable):
                return answer
            page = _rows(answer)
            rows += page
            # Later pages may be newer. The version of the first makes the caller read
            # the changes since then again.
            if version is None:
                version, store_ms = answer.get("ver", 0), answer.get("now-ms", 0)
            if not answer.get("has-more") or not page:
                return Changes(rows, version, store_ms)
            if page[-1].key < start:
                return Unavailable("unreadable answer: the rows are out of order")
            start = page[-1].key + "\0"

    async def _changes(self, after, wait_s):
        path = (
            f"/api/rows-feed?table={quote(self._table)}&after={after}"
            f"&wait-ms={int(wait_s * 1000)}"
        )
        answer = await self._platform.call(
            b"GET", path.encode(), timeout_s=wait_s + CHANGES_TIMEOUT_S
        )
        body = _body(answer, (200, 410))
        if isinstance(body, Unavailable):
            return body
        if answer[0] == 410:
            return HistoryLost(body.get("ver", after))
        return Changes(_rows(body), body.get("ver", after), body.get("now-ms", 0))

    async def _page(self, start, end, limit, timeout_s=CALL_TIMEOUT_S):
        path = (
            f"/api/rows-get?table={quote(self._table)}&part={quote(self._part)}"
            f"&from={quote(start)}&limit={limit}"
        )
        if end:
            path += f"&to={quote(end)}"
        answer = await self._platform.call(b"GET", path.encode(), timeout_s=timeout_s)
        return _body(answer, (200,))

    async def _write(self, conditions, puts, deletes):
        location = {"table": self._table, "part": self._part}
        call = {
            "expected": [{**location, "key": c[0], "ver": c[1]} for c in conditions],
            "puts": [
                {**location, "key": key, "value": base64.b64encode(value).decode()}
                for key, value in puts
            ],
            "remove": [{**location, "key": key} for key in deletes],
        }
        answer = await self._platform.call(
            b"POST", b"/api/rows-tx", msgspec.json.encode(call)
        )
        body = _body(answer, (200, 412))
        if isinstance(body, Unavailable):
            return body
        if answer[0] == 412:
            return _conflict(conditions, _rows(body))
        if "ver" not in body:
            return Unavailable("unreadable answer, status 200: ver is missing")
        return Committed({key: body["ver"] for key, _value in puts})


class HttpObjects:
    """The object store interface over HTTP."""

    def __init__(self, platform):
        self._platform = platform

    def put(self, name, data):
        """Store the bytes; return a Deferred of `STORED` or an `Unavailable`."""
        return ensureDeferred(self._put(name, data))

    def get(self, name):
        """Return a Deferred of the bytes, `NO_OBJECT` or an `Unavailable`."""
        return ensureDeferred(self._get(name))

    async def _put(self, name, data):
        path = b"/api/blob-put/" + quote(name, safe="").encode()
        answer = await self._platform.call(b"PUT", path, data)
        return STORED if _status(answer) == 200 else _unavailable(answer)

    async def _get(self, name):
        path = b"/api/blob-get/" + quote(name, safe="").encode()
        answer = await self._platform.call(b"GET", path)
        if _status(answer) == 404:
            return NO_OBJECT
        return answer[1] if _status(answer) == 200 else _unavailable(answer)


def _status(answer):
    return None if isinstance(answer, Unavailable) else answer[0]


def _unavailable(answer):
    if isinstance(answer, Unavailable):
        return answer
    status, body = answer
    if status in _REJECTED_STATUSES:
        detail = body[:_MAX_LOGGED_BYTES].decode(errors="replace")
        return Unavailable(
            f"status {status}: {detail}", not_applied=True, rejected=True
        )
    return Unavailable(f"status {status}", status in _REFUSED_STATUSES)


def _body(answer, expected):
    """Return the decoded body of an answer with an expected status."""
    if _status(answer) not in expected:
        return _unavailable(answer)
    try:
        body = untrusted.decode_json(answer[1])
        if not isinstance(body, dict):
            raise ValueError("not an object")
        untrusted.integer("ver", body.get("ver", 0))
        untrusted.integer("now-ms", body.get("now-ms", 0))
        if not isinstance(body.get("rows", []), list):
            raise ValueError("rows: not a list")
    except ValueError as error:
        return Unavailable(f"unreadable answer, status {answer[0]}: {error}"[:200])
    return body


def _rows(body):
    """Return the rows of an answer; a deleted row has version 0.

    An unreadable row is left out.
    """
    rows = []
    for fields in body.get("rows", ()):
        try:
            rows.append(_row(fields))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log_message(
                message_type="store_row_unreadable",
                reason=f"{type(error).__name__}: {error}"[:200],
            )
    return rows


def _row(fields):
    key = fields["key"]
    if not isinstance(key, str):
        raise ValueError("key: not a string")
    if fields.get("deleted"):
        return Row(key)
    value = base64.b64decode(fields.get("value", ""))
    return Row(key, untrusted.integer("ver", fields["ver"]), value)


def _conflict(conditions, rows):
    """Return a `Conflict` with the first row that violated a condition."""
    found = {row.key: row for row in rows}
    for key, version in conditions:
        row = found.get(key, Row(key))
        if row.version != version:
            return Conflict(row)
    return Conflict(rows[0] if rows else Row(conditions[0][0]))
