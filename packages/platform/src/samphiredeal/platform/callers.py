"""Decoding of callers' HTTP requests, and encoding of the answers."""

import math

import msgspec

from samphiredeal.model import untrusted
from samphiredeal.model.graph import GraphSpec, StepSpec, validation_error
from samphiredeal.model.shape import Shape

# Ids have 16 characters; the limit allows longer ones and bounds the keys of rows.
_MAX_ID_CHARS = 64
_ID_CHARS = set("0123456789abcdefABCDEF")
# A caller that claims to wait for longer is served as if it waited this long.
_MAX_WAIT_S = 300.0


class BadRequest(ValueError):
    """A request is malformed; the message names the field and its value."""


def api_key(authorization):
    """Return the key in an ``Authorization`` header, or '' if there is none."""
    scheme, _, key = (authorization or "").partition(" ")
    return key.strip() if scheme.lower() == "token" else ""


def is_job_id(text):
    """Return whether a text has the form of a job's id."""
    return 0 < len(text) <= _MAX_ID_CHARS and set(text) <= _ID_CHARS


def wait_limit_s(header, default_s):
    """Return for how many seconds the caller waits for an answer."""
    try:
        wait_s = float(header) / 1000
    except (TypeError, ValueError):
        return default_s
    return default_s if math.isnan(wait_s) else min(max(0.0, wait_s), _MAX_WAIT_S)


def decode_job(body):
    """Return the `GraphSpec` in a request's body; raise `BadRequest` if malformed."""
    try:
        document = untrusted.decode_json(body)
    except ValueError as error:
        raise BadRequest(f"body: not JSON: {error}"[:200]) from error
    if not isinstance(document, dict):
        raise BadRequest("body: expected an object")
    steps = document.get("steps")
    if not isinstance(steps, list):
        raise BadRequest(f"steps: {repr(steps)[:80]} is not a list")
    spec = GraphSpec(
        payload=_field(document, "spec", str, "", ""),
        steps=tuple(_step(number, step) for number, step in enumerate(steps)),
        repeats=_field(document, "repetitions", int, 0, ""),
        first_due_ms=_field(document, "start-at-ms", int, 0, ""),
        interval_ms=_field(document, "interval-ms", int, 0, ""),
    )
    error = validation_error(spec)
    if error:
        raise BadRequest(error)
    return spec


def _step(number, step):
    where = f"steps[{number}]."
    if not isinstance(step, dict):
        raise BadRequest(f"steps[{number}]: {repr(step)[:80]} is not an object")

    def get(name, kind, default):
        return _field(step, name, kind, default, where)

    after = get("after", list, [])
    if not all(type(earlier) is int for earlier in after):
        raise BadRequest(f"{where}after: {repr(after)[:80]} is not a list of numbers")
    return StepSpec(
        count=get("count", int, 0),
        shape=Shape(get("cpu", int, 0), get("mem-mb", int, 0), get("gpu", int, 0)),
        estimate_ms=get("estimated-ms", int, 0),
        after=tuple(after),
        checkpointing=get("checkpointing", bool, False),
        gang=get("gang", bool, False),
        one_rack=get("tightly-coupled", bool, False),
        label=get("requirements", str, ""),
        data_rack=get("data-rack", str, ""),
        spread_limit=get("anti-affinity", int, 0),
        copies_allowed=get("speculative-execution", bool, False),
        lasting=get("long-running", bool, False),
        image=get("image", str, ""),
        target_latency_ms=get("target-ms", int, 0),
        fills=get("fills", bool, False),
        may_be_away=get("may-miss", int, 0),
    )


def _field(document, name, kind, default, where):
    value = document.get(name, default)
    if kind is int and type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not kind:
        shown = repr(value)[:80]
        raise BadRequest(f"{where}{name}: {shown} is not of type {kind.__name__}")
    return value


def encode_state(state):
    """Return the response body with a job's state."""
    return msgspec.json.encode({"state": state})


def encode_waiting(count):
    """Return the response body with the number of waiting jobs of a queue."""
    return msgspec.json.encode({"waiting": count})


def encode_error(text):
    """Return the response body with an error message."""
    return msgspec.json.encode({"error": text})
