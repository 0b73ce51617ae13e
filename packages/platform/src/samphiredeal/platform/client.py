"""The table service and object store over HTTP.

Calls are bounded in time, in number in flight and in rate. A call over a bound
is answered with `Unavailable` and was never sent.
"""

import base64
from io import BytesIO

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, readBody

from samphiredeal.platform.table import (
    NO_OBJECT,
    STORED,
    Committed,
    Conflict,
    Row,
    Unavailable,
)

CALL_TIMEOUT_S = 2.0
MAX_IN_FLIGHT = 64
MAX_CALLS_PER_S = 400
_MAX_CONNECTIONS = 16


class _Budget:
    """A token bucket together with a count of calls in flight."""

    def __init__(self, clock, rate_per_s=MAX_CALLS_PER_S, in_flight=MAX_IN_FLIGHT):
        self._clock = clock
        self._rate = rate_per_s
        self._tokens = float(rate_per_s)
        self._filled_at = clock.seconds()
        self._free = in_flight

    def take(self):
        """Return whether one more call may be sent now."""
        now = self._clock.seconds()
        self._tokens += (now - self._filled_at) * self._rate
        self._tokens = min(self._rate, self._tokens)
        self._filled_at = now
        if self._tokens < 1 or self._free < 1:
            return False
        self._tokens -= 1
        self._free -= 1
        return True

    def give_back(self):
        """Tell that a call has ended."""
        self._free += 1


class HttpPlatform:
    """Sends requests to the platform within the limits of this process."""

    def __init__(self, reactor, base_url, timeout_s=CALL_TIMEOUT_S):
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = _MAX_CONNECTIONS
        self._agent = Agent(reactor, connectTimeout=timeout_s, pool=pool)
        self._reactor = reactor
        self._base_url = base_url.rstrip("/").encode()
        self._timeout_s = timeout_s
        self._budget = _Budget(reactor)

    async def call(self, method, path, body=None):
        """Return (status, body), or an `Unavailable` if there was no answer."""
        if not self._budget.take():
            return Unavailable("over this process's limit of platform calls")
        producer = None if body is None else FileBodyProducer(BytesIO(body))
        exchange = ensureDeferred(self._exchange(method, path, producer))
        exchange.addTimeout(self._timeout_s, self._reactor)
        try:
            return await exchange
        except Exception as error:
            return Unavailable(f"{type(error).__name__}: {error}"[:200])
        finally:
            self._budget.give_back()

    async def _exchange(self, method, path, producer):
        response = await self._agent.request(
            method, self._base_url + path, bodyProducer=producer
        )
        return response.code, await readBody(response)


class HttpTable:
    """The table interface over `HttpPlatform`."""

    def __init__(self, platform):
        self._platform = platform

    def read(self, key):
        """Return a Deferred of the row; see `samphiredeal.platform.table`."""
        return ensureDeferred(self._call({"read": key}))

    def scan(self, prefix, after="", limit=100):
        """Return a Deferred of a page of rows."""
        return ensureDeferred(self._call({"scan": [prefix, after, limit]}))

    def write(self, conditions, puts, deletes=()):
        """Return a Deferred of the answer to a conditional write."""
        write = {
            "conditions": [list(condition) for condition in conditions],
            "puts": [[key, base64.b64encode(value).decode()] for key, value in puts],
            "deletes": list(deletes),
        }
        return ensureDeferred(self._call({"write": write}))

    async def _call(self, call):
        answer = await self._platform.call(
            b"POST", b"/table", msgspec.json.encode(call)
        )
        if isinstance(answer, Unavailable):
            return answer
        try:
            return _answer_from_json(msgspec.json.decode(answer[1]))
        except (msgspec.DecodeError, ValueError, LookupError, TypeError) as error:
            return Unavailable(f"unreadable answer, status {answer[0]}: {error}"[:200])


class HttpObjects:
    """The object store interface over `HttpPlatform`."""

    def __init__(self, platform):
        self._platform = platform

    def put(self, name, data):
        """Store the bytes; return a Deferred of `STORED` or an `Unavailable`."""
        return ensureDeferred(self._put(name, data))

    def get(self, name):
        """Return a Deferred of the bytes, `NO_OBJECT` or an `Unavailable`."""
        return ensureDeferred(self._get(name))

    async def _put(self, name, data):
        answer = await self._platform.call(b"PUT", b"/objects/" + name.encode(), data)
        return STORED if _status(answer) == 200 else _unavailable(answer)

    async def _get(self, name):
        answer = await self._platform.call(b"GET", b"/objects/" + name.encode())
        if _status(answer) == 404:
            return NO_OBJECT
        return answer[1] if _status(answer) == 200 else _unavailable(answer)


def _status(answer):
    return None if isinstance(answer, Unavailable) else answer[0]


def _unavailable(answer):
    if isinstance(answer, Unavailable):
        return answer
    return Unavailable(f"status {answer[0]}")


def _row(fields):
    return Row(fields[0], fields[1], base64.b64decode(fields[2]))


def _answer_from_json(fields):
    if "unavailable" in fields:
        return Unavailable(fields["unavailable"])
    if "committed" in fields:
        return Committed(fields["committed"])
    if "conflict" in fields:
        return Conflict(_row(fields["conflict"]))
    if "rows" in fields:
        return [_row(row) for row in fields["rows"]]
    return _row(fields["row"])
