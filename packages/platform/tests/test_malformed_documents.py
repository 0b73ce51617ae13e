"""Malformed documents are refused where they are read, with a reason.

Operators of similar systems have seen processes end, or stop following a list, over
one entry with very deep nesting, a number too large or a port out of range.
"""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from malformed_documents import DEEP, LARGE, LONG, MALFORMED_VALUES, paths, with_value
from twisted.internet.defer import ensureDeferred

from samphiredeal.model.runs import RunId, StartOrder
from samphiredeal.platform import callers, operator
from samphiredeal.platform.advice import Advice, AdviceClient
from samphiredeal.platform.client import HttpTable
from samphiredeal.platform.executor import (
    ExecutorClient,
    PollResult,
    decode_heartbeat,
)
from samphiredeal.platform.table import Changes, Committed, Condition, Put, Unavailable

HEARTBEAT = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "remaining-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "clock-ms": 482113,
    "born": 1700000000000,
    "sequence": 4,
}
LISTS = {
    "clock-ms": 9,
    "born": 5,
    "running": [["a.0.0.0", 1, "c", 41, 3]],
    "ended": [[58, "a.0.0.1", 1, "done", ""]],
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "path-prefix": "/q/",
            "service": "desk",
            "priority": 0,
            "max-attempts": 2,
            "stretch": 3.0,
            "target-latency-ms": 250,
            "public": False,
            "advice": {"decision-ms": 1, "period-ms": 1, "validity-ms": 1},
        }
    ],
    "services": [{"name": "desk", "admission-check": True}],
    "tenants": [{"name": "t", "api-keys": ["k"], "guaranteed": {"gpu": 8}}],
    "limits": {"max-body-bytes": 1000},
}
JOB = {
    "spec": "text",
    "steps": [
        {
            "count": 2,
            "cpu": 500,
            "mem-mb": 256,
            "gpu": 1,
            "estimated-ms": 900,
            "after": [],
            "requirements": "a",
            "data-rack": "r1",
            "anti-affinity": 1,
            "target-ms": 5,
            "may-miss": 1,
        }
    ],
    "repetitions": 1,
    "start-at-ms": 5,
    "interval-ms": 5,
}
ROWS = {
    "rows": [{"table": "t", "part": "", "key": "k", "value": "e30=", "ver": 3}],
    "ver": 4,
    "now-ms": 9,
    "has-more": False,
}
ADVICE = {"good": [["i-1", "ticket"]], "validity-ms": 1000}


class Answering:
    """A service that gives one answer to every call."""

    def __init__(self, body, status=200):
        self._answer = (status, body)

    async def call(self, *args, **kwargs):
        return self._answer


def result(awaitable):
    """Return the result of a coroutine or a Deferred that needs no waiting."""
    results = []
    if hasattr(awaitable, "send"):
        awaitable = ensureDeferred(awaitable)
    awaitable.addBoth(results.append)
    return results[0]


def cases(document):
    """Return (path, malformed JSON) for each value of a document."""
    return [
        pytest.param(path, value, id=f"{'.'.join(map(str, path))}-{value[:4].decode()}")
        for path in paths(document)
        for value in MALFORMED_VALUES
    ]


@pytest.mark.parametrize("path, value", cases(HEARTBEAT))
def test_malformed_heartbeat_is_refused_or_usable(path, value):
    try:
        fields = decode_heartbeat("i-1", with_value(HEARTBEAT, path, value))
    except ValueError as error:
        assert 0 < len(str(error)) < 1000
        return
    assert msgspec.msgpack.encode(fields.facts)
    assert min(fields.facts.capacity) >= 0


@pytest.mark.parametrize("value", [DEEP, LARGE, LONG, b"-1"])
@pytest.mark.parametrize("name", ["cpu", "mem-mb", "gpu"])
def test_impossible_capacity_is_refused_with_its_field(name, value):
    with pytest.raises(ValueError) as error:
        decode_heartbeat("i-1", with_value(HEARTBEAT, ("capacity", name), value))
    assert name in str(error.value) or "nested" in str(error.value)


@pytest.mark.parametrize("path, value", cases(LISTS))
def test_malformed_lists_of_a_worker_are_unavailable_or_usable(path, value):
    client = ExecutorClient(Answering(with_value(LISTS, path, value)))
    answer = result(client.poll(1, 0, None, 0.0, "i-w"))
    assert isinstance(answer, PollResult | Unavailable)
    assert msgspec.msgpack.encode(answer)


@pytest.mark.parametrize("status", [200, 400, 409, 503])
@pytest.mark.parametrize("value", MALFORMED_VALUES)
@pytest.mark.parametrize("name", ["clock-ms", "reason"])
def test_malformed_answer_to_an_order_does_not_fail_the_call(name, value, status):
    body = with_value({"clock-ms": 9, "reason": "room"}, (name,), value)
    client = ExecutorClient(Answering(body, status))
    started = result(client.start(StartOrder("a.0.0.0", 1, "p"), 1, 9, 1.0, "i-w"))
    stopped = result(client.stop(RunId("a.0.0.0", 1), 1, 1.0, "i-w"))
    assert msgspec.msgpack.encode(started) and msgspec.msgpack.encode(stopped)


def test_figures_that_only_inform_do_not_make_a_worker_unreadable():
    lists = {**LISTS, "running": [["a.0.0.0", 1, "", 104.5, -3.5]]}
    client = ExecutorClient(Answering(msgspec.json.encode(lists)))
    (running,) = result(client.poll(1, 0, None, 0.0, "i-w")).running
    assert (running.percent, running.usage) == (100, -3)


def test_worker_that_stays_longer_than_announced_is_heard():
    data = with_value(HEARTBEAT, ("remaining-ms",), b"-250")
    assert decode_heartbeat("i-1", data).facts.leaving_in_ms == 0


@pytest.mark.parametrize("path, value", cases(CONFIGURATION))
def test_malformed_configuration_is_refused_or_usable(path, value):
    try:
        operations = operator.decode_operations(with_value(CONFIGURATION, path, value))
    except ValueError as error:
        assert 0 < len(str(error)) < 1000
        return
    assert hash(operations) and msgspec.msgpack.encode(operations)


@pytest.mark.parametrize("path, value", cases(JOB))
def test_malformed_job_is_refused_or_usable(path, value):
    try:
        spec = callers.decode_job(with_value(JOB, path, value))
    except callers.BadRequest as error:
        assert 0 < len(str(error)) < 1000
        return
    assert msgspec.msgpack.encode(spec)


@pytest.mark.parametrize("path, value", cases(ROWS))
def test_malformed_answer_of_the_store_never_fails_the_call(path, value):
    table = HttpTable(Answering(with_value(ROWS, path, value)))
    answers = [result(table.snapshot()), result(table.changes(1, 0.0))]
    answers.append(result(table.write([Condition("k", 1)], [Put("k", b"")])))
    assert all(isinstance(a, Changes | Unavailable | Committed) for a in answers)
    assert all(msgspec.msgpack.encode(one) for one in answers)


def test_unreadable_row_is_left_out_and_the_others_are_kept():
    rows = [{"key": 5, "ver": 1}, {"key": "a"}, "x", *ROWS["rows"]]
    table = HttpTable(Answering(msgspec.json.encode({**ROWS, "rows": rows})))
    assert [row.key for row in result(table.changes(1, 0.0)).rows] == ["k"]


@pytest.mark.parametrize("path, value", cases(ADVICE))
def test_malformed_advice_is_unavailable_or_usable(path, value):
    client = AdviceClient(Answering(with_value(ADVICE, path, value)))
    answer = result(client.query("a.0.0", ["i-1"], 1.0))
    assert isinstance(answer, Advice | Unavailable)
    assert msgspec.msgpack.encode(answer)


@pytest.mark.parametrize("header", ["nan", "inf", "-inf", "1e400", "x", "-5", None])
def test_malformed_deadline_of_a_caller_is_bounded(header):
    assert 0.0 <= callers.wait_limit_s(header, 3.0) <= 300.0


DECODERS = [
    lambda data: decode_heartbeat("i-1", data),
    operator.decode_operations,
    callers.decode_job,
    lambda data: result(ExecutorClient(Answering(data)).poll(1, 0, None, 0.0, "i-w")),
    lambda data: result(HttpTable(Answering(data)).snapshot()),
    lambda data: result(AdviceClient(Answering(data)).query("s", [], 1.0)),
]
DOCUMENTS = [HEARTBEAT, CONFIGURATION, JOB, LISTS, ROWS, ADVICE]
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@st.composite
def damaged(draw):
    """Draw a decoder and a document of its kind with damage at one or two places."""
    number = draw(st.integers(0, len(DECODERS) - 1))
    document = DOCUMENTS[number]
    for _ in range(draw(st.integers(1, 2))):
        path = draw(st.sampled_from(list(paths(document))[1:]))
        value = msgspec.json.encode(draw(JSON_VALUES))
        try:
            document = msgspec.json.decode(with_value(document, path, value))
        except (KeyError, TypeError, IndexError):
            continue
    data = msgspec.json.encode(document)
    cut = draw(st.none() | st.integers(0, len(data)))
    return DECODERS[number], data[:cut]


@settings(max_examples=400, deadline=None, derandomize=True, database=None)
@given(damaged())
def test_drawn_damage_raises_nothing_but_a_value_error(case):
    decoder, data = case
    try:
        answer = decoder(data)
    except ValueError:
        return
    assert not hasattr(answer, "getTraceback"), answer
