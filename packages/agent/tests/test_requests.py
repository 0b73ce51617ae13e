"""The agent's request handler and every reason to refuse a dispatch.

Each stale or forbidden dispatch must be refused with its reason and never run,
even if it is received again after the cause no longer holds.
"""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphiredeal.agent.dispatch_records import DispatchRecords
from samphiredeal.agent.permits import PermitIssuer
from samphiredeal.agent.requests import RequestHandler
from samphiredeal.model import verdict
from samphiredeal.wire.digest import digest
from samphiredeal.wire.messages import Dispatch, Query


class RecordingLink:
    """Record the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class HandlerBench:
    """A request handler with one slot and a driver that records its calls."""

    def __init__(self):
        self.clock = Clock()
        self.permits = PermitIssuer(self.clock)
        self.link = RecordingLink()
        self.ran = []
        self.reason = None
        self.completions = []
        self.handler = RequestHandler(
            self.clock, self.permits, "i1", 1, self.run, lambda: self.reason
        )

    def run(self, body, budget_s):
        self.ran.append(body)
        completion = Deferred()
        self.completions.append(completion)
        return completion

    def dispatch(self, **fields):
        dispatch = make_dispatch(permit=self.permits.newest, **fields)
        self.handler.on_dispatch(self.link, dispatch, 5)
        return dispatch


def make_dispatch(id="d1", body=b"x", **fields):
    """Return a dispatch that an agent with incarnation i1 accepts."""
    values = {
        "dispatch_id": id,
        "account": "acct",
        "key": "",
        "permit": 1,
        "incarnation": "i1",
        "revision": 5,
        "confirm_age_ms": 0,
        "budget_ms": 1000,
        "body": body,
        "digest": digest(body),
    }
    return Dispatch(**{**values, **fields})


def make_bench():
    """Return a bench whose agent has sent one heartbeat."""
    bench = HandlerBench()
    bench.permits.issue()
    return bench


REFUSALS = [
    ({"incarnation": "i0"}, verdict.WRONG_INCARNATION),
    ({"revision": 4}, verdict.STALE_REVISION),
    ({"confirm_age_ms": 4001}, verdict.STALE_PERMIT),
    ({"digest": b"0" * 16}, verdict.BAD_DIGEST),
]


@pytest.mark.parametrize(("fields", "reason"), REFUSALS)
def test_refuses_with_the_reason(fields, reason):
    bench = make_bench()
    bench.dispatch(**fields)
    assert bench.link.sent[-1].code == reason.code
    assert bench.ran == []


@pytest.mark.parametrize(("age_s", "runs"), [(4.0, 1), (4.1, 0)])
def test_permit_expires_after_the_maximum_age(age_s, runs):
    bench = make_bench()
    bench.clock.advance(age_s)
    bench.dispatch()
    assert len(bench.ran) == runs


def test_permit_and_confirmation_ages_add_up():
    bench = make_bench()
    bench.clock.advance(2.0)
    bench.dispatch(confirm_age_ms=2001)
    assert bench.ran == []


def test_duplicate_dispatch_attaches_and_runs_once():
    bench = make_bench()
    bench.dispatch()
    bench.dispatch()
    bench.completions[0].callback((200, b"done"))
    bench.dispatch()
    assert len(bench.ran) == 1
    assert bench.link.sent[-1].body == b"done"


@pytest.mark.parametrize("reason", [verdict.LEAVING, verdict.ZONE_OUT])
def test_refused_dispatch_never_runs(reason):
    bench = make_bench()
    bench.reason = reason
    bench.dispatch()
    bench.reason = None
    bench.dispatch()
    assert bench.ran == []
    assert [m.code for m in bench.link.sent] == [reason.code] * 2


def test_refusal_for_lack_of_slots_is_permanent():
    bench = make_bench()
    bench.dispatch(id="d1")
    bench.dispatch(id="d2")
    bench.completions[0].callback((200, b""))
    bench.dispatch(id="d2")
    assert len(bench.ran) == 1
    assert bench.link.sent[-1].code == verdict.NO_SLOT.code


def test_repeated_dispatch_runs_if_refusals_are_forgotten(monkeypatch):
    monkeypatch.setattr(DispatchRecords, "refuse", lambda *_: None)
    bench = make_bench()
    bench.reason = verdict.LEAVING
    bench.dispatch()
    bench.reason = None
    bench.dispatch()
    assert bench.ran, (
        "only the recorded refusal prevents a repeated dispatch from running"
    )


def query_state(bench, dispatch, permit=None):
    query = Query(
        "q",
        "acct",
        "k",
        dispatch.dispatch_id,
        dispatch.permit if permit is None else permit,
        "i1",
    )
    bench.handler.on_query(bench.link, query)
    return bench.link.sent[-1].state


def test_unseen_dispatch_gets_a_tombstone_and_never_runs():
    bench = make_bench()
    dispatch = make_dispatch(key="k")
    assert query_state(bench, dispatch) == "sealed"
    bench.dispatch(key="k")
    assert bench.ran == []


def test_forgotten_dispatch_gets_no_tombstone():
    bench = make_bench()
    dispatch = bench.dispatch(key="k")
    bench.completions[0].callback((200, b""))
    assert query_state(bench, dispatch) == "answered"
    bench.handler.on_answer_ack(dispatch.dispatch_id)
    assert query_state(bench, dispatch) == "forgotten"


def test_query_for_another_incarnation_is_answered_so():
    bench = make_bench()
    query = Query("q", "acct", "k", "d9", 1, "i0")
    bench.handler.on_query(bench.link, query)
    assert bench.link.sent[-1].state == "other-incarnation"


def test_tombstone_is_kept_until_the_expired_permit_refuses():
    bench = make_bench()
    dispatch = make_dispatch(key="k")
    assert query_state(bench, dispatch) == "sealed"
    for _ in range(400):
        bench.clock.advance(0.5)
        bench.permits.issue()
        bench.handler.expire()
    bench.handler.on_dispatch(bench.link, dispatch, 5)
    assert bench.ran == []
