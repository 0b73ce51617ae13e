"""HTTP drivers for the executor or worker runtime beside an agent."""

from io import BytesIO

import msgspec
from eliot import log_message
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.client import Agent as HttpAgent
from twisted.web.client import FileBodyProducer, HTTPConnectionPool, readBody

from samphiredeal.agent.requests import UpstreamUnreachable

CONNECT_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.5
# The runtime stops a task whose lease is not renewed for this long.
TASK_LEASE_S = 4.0
_CALL_TIMEOUT_S = 2.0


class HttpCaller:
    """Send HTTP requests to one base URL over persistent connections."""

    def __init__(self, reactor, base_url, connections):
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = connections
        # A transparent retry of the HTTP client could run a request twice.
        pool.retryAutomatically = False
        self._reactor = reactor
        self._base_url = base_url.rstrip("/").encode()
        self._agent = HttpAgent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)

    def call(self, method, path, body, timeout_s):
        """Return a Deferred of (status, body)."""
        response = ensureDeferred(self._exchange(method, path, body))
        return response.addTimeout(timeout_s, self._reactor)

    async def _exchange(self, method, path, body):
        producer = FileBodyProducer(BytesIO(body)) if body is not None else None
        url = self._base_url + path.encode()
        response = await self._agent.request(method, url, bodyProducer=producer)
        return response.code, await readBody(response)


def executor_driver(caller):
    """Return the `run` function of a `RequestHandler` for an HTTP executor."""

    async def run(body, budget_s):
        try:
            return await caller.call(b"POST", "/", body, max(budget_s, 1.0) * 2)
        except (ConnectionRefusedError, ConnectError) as error:
            raise UpstreamUnreachable(str(error)) from error

    return run


class HttpRuntime:
    """The worker runtime over HTTP: leased tasks, polled for completion."""

    def __init__(self, reactor, caller, on_ended, on_usage=lambda usage: None):
        self._reactor = reactor
        self._caller = caller
        self._on_ended = on_ended
        self._on_usage = on_usage
        self._running = set()
        self._poll_loop = LoopingCall(lambda: ensureDeferred(self._poll_tasks()))
        self._poll_loop.clock = reactor
        self._poll_loop.start(POLL_INTERVAL_S, now=False)

    async def start(self, attempt_id, job, count):
        """Start the members of an attempt as one task of the runtime.

        A start that fails without a refusal may have taken effect, so it is reported
        as failed only once the task is stopped or its lease has expired.
        """
        body = {"job": job, "count": count, "lease_s": TASK_LEASE_S}
        try:
            status, text = await self._call(b"PUT", f"/tasks/{attempt_id}", body)
        except Exception as error:
            _log_unsettled_call("start", attempt_id, error)
            await self.stop(attempt_id, False, 0.0)
            raise
        if status == 200:
            self._running.add(attempt_id)
            return
        error = RuntimeError(f"worker runtime returned status {status}: {text[:100]!r}")
        if status >= 500:
            _log_unsettled_call("start", attempt_id, error)
            await self.stop(attempt_id, False, 0.0)
        raise error

    async def stop(self, attempt_id, checkpoint, grace_s):
        """Stop a task; return the seconds of work that its checkpoint preserves.

        If the runtime does not confirm the stop, the task ends when its lease, no
        longer renewed, expires.
        """
        self._running.discard(attempt_id)
        body = {"checkpoint": checkpoint, "grace_s": grace_s}
        try:
            status, text = await self._call(
                b"POST", f"/tasks/{attempt_id}/stop", body, grace_s + _CALL_TIMEOUT_S
            )
            if status == 200:
                return msgspec.json.decode(text)["kept_s"]
            error = RuntimeError(f"status {status}")
        except Exception as failure:
            error = failure
        _log_unsettled_call("stop", attempt_id, error)
        await deferLater(self._reactor, TASK_LEASE_S)
        return 0.0

    async def reset(self):
        """Stop all tasks left running by a previous agent process."""
        try:
            await self._call(b"POST", "/reset", {})
        except Exception:
            # The runtime is unreachable; its tasks end when their leases expire.
            await deferLater(self._reactor, TASK_LEASE_S)

    async def throttle(self, attempt_id, share):
        """Limit a task to a share of its processors, from 0 to 1."""
        await self._call(b"POST", f"/tasks/{attempt_id}/throttle", {"share": share})

    async def _poll_tasks(self):
        """Renew the leases of running tasks and process completed ones."""
        body = {"renew": sorted(self._running)}
        try:
            _status, text = await self._call(b"POST", "/tasks", body)
        except Exception:
            return
        document = msgspec.json.decode(text)
        for attempt_id, task in document["tasks"].items():
            if attempt_id in self._running and task["state"] != "running":
                self._running.discard(attempt_id)
                self._on_ended(attempt_id, task["state"] == "done", task["detail"])
        self._on_usage(document["usage"])

    def _call(self, method, path, body, timeout_s=_CALL_TIMEOUT_S):
        return self._caller.call(method, path, msgspec.json.encode(body), timeout_s)


def _log_unsettled_call(verb, attempt_id, error):
    """Log a call of which it is unknown whether it took effect."""
    log_message(
        message_type="runtime_call_unsettled",
        verb=verb,
        attempt=attempt_id,
        reason=f"{type(error).__name__}: {error}"[:200],
    )
