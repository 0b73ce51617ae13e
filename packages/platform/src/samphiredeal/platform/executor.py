"""Client for the worker on this VM, and the decoding of its heartbeats."""

from typing import NamedTuple

import msgspec

from samphiredeal.model import runs
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


class PollResult(NamedTuple):
    """The worker's lists of runs; `clock_ms` is its own monotonic clock."""

    clock_ms: int
    born_ms: int
    running: tuple
    ended: tuple


class Started(NamedTuple):
    """The run has started; `clock_ms` is the worker's clock."""

    clock_ms: int


class ExecutorClient:
    """Client for one worker, over an `HttpClient`."""

    def __init__(self, http):
        self._http = http

    async def start(self, order, epoch, deadline_ms, timeout_s):
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
        answer = await self._post(b"/api/run-start", body, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        status, fields = answer
        if status == 200:
            return Started(int(fields.get("clock-ms", 0)))
        reason = {400: runs.MALFORMED, 429: runs.UNHEALTHY, 503: runs.UNHEALTHY}.get(
            status
        ) or _REFUSAL_REASONS.get(fields.get("reason"))
        if reason is None:
            return Unavailable(f"status {status}")
        return Refused(order.task, order.run, reason)

    async def stop(self, run, epoch, timeout_s):
        """Stop a run; return True if the worker accepted it, or an `Unavailable`."""
        body = {"task": run.task, "run": run.run, "fencing-token": epoch}
        answer = await self._post(b"/api/run-stop", body, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        return True if answer[0] == 200 else Unavailable(f"status {answer[0]}")

    async def poll(self, epoch, ends_recorded, deadline_ms, wait_s):
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
        answer = await self._post(b"/api/hold", body, wait_s + _POLL_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            return answer
        status, fields = answer
        if status != 200:
            return Unavailable(f"status {status}: {fields.get('reason', '')}")
        try:
            return _poll_result(fields)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            return Unavailable(f"unreadable lists: {type(error).__name__}: {error}")

    async def _post(self, path, body, timeout_s):
        answer = await self._http.call(
            b"POST", path, msgspec.json.encode(body), timeout_s=timeout_s
        )
        if isinstance(answer, Unavailable):
            return answer
        status, data = answer
        try:
            fields = msgspec.json.decode(data) if data else {}
        except msgspec.DecodeError as error:
            return Unavailable(f"unreadable answer: {error}"[:200])
        return status, fields if isinstance(fields, dict) else {}


def _poll_result(fields):
    return PollResult(
        clock_ms=int(fields["clock-ms"]),
        born_ms=int(fields.get("born", 0)),
        running=tuple(
            Running(
                str(row[0]),
                int(row[1]),
                str(row[2] or ""),
                int(row[3]),
                int(row[4]) if len(row) > 4 else 0,
            )
            for row in fields["running"]
        ),
        ended=tuple(
            Ended(
                int(row[0]),
                str(row[1]),
                int(row[2]),
                _COMPLETIONS.get(row[3], runs.STOPPED),
                str(row[4] or ""),
            )
            for row in fields["ended"]
        ),
    )


class HeartbeatFields(NamedTuple):
    """A worker's heartbeat; `sequence` shows whether it arrived out of order."""

    facts: WorkerFacts
    sequence: int


def decode_heartbeat(worker_id, body):
    """Return the `HeartbeatFields` in a body; raise ValueError if unreadable."""
    try:
        document = msgspec.json.decode(body)
        capacity = document.get("capacity") or {}
        state = document["state"]
        if state not in ("ready", _LEAVING_STATE):
            raise ValueError(f"state: {state!r} is unknown")
        facts = WorkerFacts(
            id=worker_id,
            born_ms=_integer(document, "born", 0),
            service=_string(document, "service"),
            zone=_string(document, "zone"),
            capacity=Shape(
                _integer(capacity, "cpu", 0),
                _integer(capacity, "mem-mb", 0),
                _integer(capacity, "gpu", 0),
            ),
            labels=tuple(str(label) for label in document.get("labels", ())),
            leaving=state == _LEAVING_STATE,
            leaving_in_ms=_integer(document, "remaining-ms", 0),
        )
        return HeartbeatFields(facts, _integer(document, "sequence", 0))
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"heartbeat: {type(error).__name__}: {error}") from error


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


def _integer(document, name, default):
    value = document.get(name, default)
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int:
        raise ValueError(f"{name}: {value!r} is not an integer")
    return value


def _string(document, name):
    value = document[name]
    if not isinstance(value, str):
        raise ValueError(f"{name}: {value!r} is not a string")
    return value
