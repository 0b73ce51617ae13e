"""Client for the worker on this VM, and the decoding of its heartbeats."""

from typing import NamedTuple

import msgspec
from twisted.web.http_headers import Headers

from samphiredeal.model import runs, untrusted
from samphiredeal.model.runs import Ended, Refused, Running, WorkerFacts
from samphiredeal.model.shape import Shape
from samphiredeal.platform.table import Unavailable

# A worker on the same VM answers sooner; a call without an answer by then is lost.
_POLL_TIMEOUT_S = 0.5
# The worker's names for how a run ended, and for why it refused one.
_COMPLETIONS = {
    "done": runs.DONE,
    "failed": runs.FAILED,
    "stopped": runs.STOPPED,
    "lapsed": runs.LAPSED,
    "broken": runs.GANG_BROKEN,
    "alone": runs.GANG_INCOMPLETE,
}
_REFUSAL_REASONS = {
    "fence": runs.STALE_EPOCH,
    "old": runs.OLD_RUN,
    "late": runs.TOO_LATE,
    "room": runs.NO_ROOM,
    "ticket": runs.NO_TICKET,
}
# The inverse, for simulated workers.
REFUSAL_REASON_NAMES = {reason: name for name, reason in _REFUSAL_REASONS.items()}
_LEAVING_STATE = "draining"
# The answer of a worker that is not the one named in the call.
_OTHER_WORKER_STATUS = 421
# A completion beyond this many is listed only once earlier ones are recorded.
_MAX_LISTED_COMPLETIONS = 500
# Bounds of what a worker says of itself: far above any worker, and small enough for
# every message and sum in which they are used.
_MAX_CPU_MILLI = 10**9
_MAX_MEMORY_MB = 10**9
_MAX_ACCELERATORS = 10**5
_MAX_LABELS = 64


class PollResult(NamedTuple):
    """The worker's lists of runs; `clock_ms` is its own monotonic clock.

    If not `complete`, the worker may have further completions.
    """

    clock_ms: int
    born_ms: int
    running: tuple
    ended: tuple
    complete: bool = True


class Started(NamedTuple):
    """The run has started; `clock_ms` is the worker's clock, or 0 if not given."""

    clock_ms: int = 0


class ExecutorClient:
    """Client for one worker, over an `HttpClient`.

    Each call names the worker that it is meant for by `worker_id`; a worker with
    another id does not apply it. An incarnation that starts again under the same id
    does, and is told apart by `PollResult.born_ms` only.
    """

    def __init__(self, http):
        self._http = http

    async def start(self, order, epoch, deadline_ms, timeout_s, worker_id):
        """Start a run; return `Started`, `Refused` or an `Unavailable`.

        Extends the worker's lease until `deadline_ms` on the worker's clock.
        """
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline-ms": deadline_ms,
            "fencing-token": epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._post(b"/api/run-start", body, timeout_s, worker_id)
        if isinstance(answer, Unavailable):
            return answer
        status, fields = answer
        if status == 200:
            return Started(_clock_ms(fields))
        reason = {400: runs.MALFORMED, 429: runs.UNHEALTHY, 503: runs.UNHEALTHY}.get(
            status
        ) or _REFUSAL_REASONS.get(str(fields.get("reason"))[:40])
        if reason is None:
            return Unavailable(f"status {status}")
        return Refused(order.task, order.run, reason)

    async def stop(self, run, epoch, timeout_s, worker_id):
        """Stop a run; return True if the worker accepted it, or an `Unavailable`."""
        body = {"task": run.task, "run": run.run, "fencing-token": epoch}
        answer = await self._post(b"/api/run-stop", body, timeout_s, worker_id)
        if isinstance(answer, Unavailable):
            return answer
        return True if answer[0] == 200 else Unavailable(f"status {answer[0]}")

    async def poll(self, epoch, ends_recorded, deadline_ms, wait_s, worker_id):
        """List all runs, and extend the lease if `deadline_ms` is given.

        Waits up to `wait_s` for a run to end; returns a `PollResult` or `Unavailable`.
        """
        body = {
            "fencing-token": epoch,
            "last-seen": ends_recorded,
            "wait-ms": int(wait_s * 1000),
        }
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        timeout_s = wait_s + _POLL_TIMEOUT_S
        answer = await self._post(b"/api/hold", body, timeout_s, worker_id)
        if isinstance(answer, Unavailable):
            return answer
        status, fields = answer
        if status != 200:
            reason = str(fields.get("reason", ""))[:40]
            return Unavailable(f"status {status}: {reason}")
        try:
            return _poll_result(fields)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            reason = f"unreadable lists: {type(error).__name__}: {error}"
            return Unavailable(reason[:200])

    async def _post(self, path, body, timeout_s, worker_id):
        headers = Headers(
            {
                b"content-type": [b"application/json"],
                b"x-expected-instance": [worker_id.encode()],
            }
        )
        answer = await self._http.call(
            b"POST", path, msgspec.json.encode(body), headers, timeout_s
        )
        if isinstance(answer, Unavailable):
            return answer
        status, data = answer
        if status == _OTHER_WORKER_STATUS:
            return misdirected()
        try:
            fields = untrusted.decode_json(data) if data else {}
        except ValueError as error:
            return Unavailable(f"unreadable answer: {error}"[:200])
        return status, fields if isinstance(fields, dict) else {}


def misdirected():
    """Return the outcome of a call that another incarnation than the named answered."""
    reason = "another worker answers here"
    return Unavailable(reason, not_applied=True, misdirected=True)


def _clock_ms(fields):
    try:
        return untrusted.integer("clock-ms", fields.get("clock-ms", 0))
    except ValueError:
        # The run has started all the same; polls tell the clock.
        return 0


def _poll_result(fields):
    ended = tuple(_ended(row) for row in fields["ended"])
    return PollResult(
        clock_ms=untrusted.integer("clock-ms", fields["clock-ms"]),
        born_ms=untrusted.integer("born", fields["born"]),
        running=tuple(_running(row) for row in fields["running"]),
        ended=ended,
        complete=len(ended) < _MAX_LISTED_COMPLETIONS,
    )


def _running(row):
    task, run, checkpoint, percent, *usage = row
    return Running(
        untrusted.text("task", task),
        untrusted.integer("run", run),
        untrusted.text("saved", checkpoint or ""),
        min(100, int(untrusted.number("percent", percent))),
        int(untrusted.number("usage", usage[0], -untrusted.MAX_INTEGER))
        if usage
        else 0,
    )


def _ended(row):
    number, task, run, how, checkpoint = row[:5]
    return Ended(
        untrusted.integer("number", number),
        untrusted.text("task", task),
        untrusted.integer("run", run),
        _COMPLETIONS.get(untrusted.text("how", how), runs.STOPPED),
        untrusted.text("saved", checkpoint or ""),
    )


class HeartbeatFields(NamedTuple):
    """A worker's heartbeat; `sequence` shows whether it arrived out of order."""

    facts: WorkerFacts
    sequence: int


def decode_heartbeat(worker_id, body):
    """Return the `HeartbeatFields` in a body; raise ValueError if unreadable."""
    document = untrusted.decode_json(body)
    if not isinstance(document, dict):
        raise ValueError("expected an object")
    state = untrusted.text("state", document.get("state"))
    if state not in ("ready", _LEAVING_STATE):
        raise ValueError(f"state: {state!r} is unknown")

    def integer(name, low=0):
        return untrusted.integer(name, document.get(name, 0), low)

    facts = WorkerFacts(
        id=untrusted.text("id", worker_id),
        born_ms=untrusted.integer("born", document.get("born")),
        service=untrusted.text("service", document.get("service")),
        zone=untrusted.text("zone", document.get("zone")),
        capacity=_capacity(document.get("capacity") or {}),
        labels=_labels(document.get("labels", [])),
        leaving=state == _LEAVING_STATE,
        # A worker that stays longer than announced may count on below zero.
        leaving_in_ms=max(0, integer("remaining-ms", -untrusted.MAX_INTEGER)),
    )
    return HeartbeatFields(facts, integer("sequence"))


def _capacity(fields):
    if not isinstance(fields, dict):
        raise ValueError("capacity: expected an object")

    def amount(name, high):
        return untrusted.integer(f"capacity.{name}", fields.get(name, 0), 0, high)

    return Shape(
        amount("cpu", _MAX_CPU_MILLI),
        amount("mem-mb", _MAX_MEMORY_MB),
        amount("gpu", _MAX_ACCELERATORS),
    )


def _labels(labels):
    if not isinstance(labels, list) or len(labels) > _MAX_LABELS:
        raise ValueError(f"labels: expected a list of at most {_MAX_LABELS}")
    return tuple(untrusted.text("labels", label) for label in labels)


def encode_heartbeat(facts, sequence):
    """Return the body of a heartbeat, as a worker sends it."""
    cpu, memory_mb, accelerators = facts.capacity
    return msgspec.json.encode(
        {
            "service": facts.service,
            "zone": facts.zone,
            "state": _LEAVING_STATE if facts.leaving else "ready",
            "remaining-ms": facts.leaving_in_ms,
            "capacity": {"cpu": cpu, "mem-mb": memory_mb, "gpu": accelerators},
            "labels": list(facts.labels),
            "born": facts.born_ms,
            "sequence": sequence,
        }
    )
