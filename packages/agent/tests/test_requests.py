"""The request side of an agent against every reason to refuse a dispatch.

Proves: each stale or forbidden dispatch is refused with its reason and never
runs, also when it arrives again after the cause has gone.
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
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class Side:
    """A request side with one slot, whose runs are counted."""

    def __init__(self):
        self.clock = Clock()
        self.permits = PermitIssuer(self.clock)
        self.link = RecordingLink()
        self.ran = []
        self.reason = None
        self.endings = []
        self.side = RequestHandler(
            self.clock, self.permits, "i1", 1, self.run, lambda: self.reason
        )

    def run(self, body, budget_s):
        self.ran.append(body)
        ended = Deferred()
        self.endings.append(ended)
        return ended

    def dispatch(self, **fields):
        dispatch = make_dispatch(permit=self.permits.newest, **fields)
        self.side.on_dispatch(self.link, dispatch, 5)
        return dispatch


def make_dispatch(id="d1", body=b"x", **fields):
    """Return a dispatch that an agent with incarnation i1 takes on."""
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


def make_side():
    """Return a side that has sent one heartbeat."""
    side = Side()
    side.permits.issue()
    return side


REFUSALS = [
    ({"incarnation": "i0"}, verdict.WRONG_INCARNATION),
    ({"revision": 4}, verdict.STALE_REVISION),
    ({"confirm_age_ms": 4001}, verdict.STALE_PERMIT),
    ({"digest": b"0" * 16}, verdict.BAD_DIGEST),
]


@pytest.mark.parametrize(("fields", "reason"), REFUSALS)
def test_refuses_with_the_reason(fields, reason):
    side = make_side()
    side.dispatch(**fields)
    assert side.link.sent[-1].code == reason.code
    assert side.ran == []


@pytest.mark.parametrize(("age_s", "runs"), [(4.0, 1), (4.1, 0)])
def test_permit_bounds_the_age(age_s, runs):
    side = make_side()
    side.clock.advance(age_s)
    side.dispatch()
    assert len(side.ran) == runs


def test_permit_and_confirmation_ages_add_up():
    side = make_side()
    side.clock.advance(2.0)
    side.dispatch(confirm_age_ms=2001)
    assert side.ran == []


def test_same_dispatch_attaches_and_runs_once():
    side = make_side()
    side.dispatch()
    side.dispatch()
    side.endings[0].callback((200, b"done"))
    side.dispatch()
    assert len(side.ran) == 1
    assert side.link.sent[-1].body == b"done"


@pytest.mark.parametrize("reason", [verdict.LEAVING, verdict.ZONE_OUT])
def test_refused_dispatch_never_runs(reason):
    side = make_side()
    side.reason = reason
    side.dispatch()
    side.reason = None
    side.dispatch()
    assert side.ran == []
    assert [m.code for m in side.link.sent] == [reason.code] * 2


def test_full_slot_refuses_for_good():
    side = make_side()
    side.dispatch(id="d1")
    side.dispatch(id="d2")
    side.endings[0].callback((200, b""))
    side.dispatch(id="d2")
    assert len(side.ran) == 1
    assert side.link.sent[-1].code == verdict.NO_SLOT.code


def test_repeated_dispatch_runs_if_refusals_are_forgotten(monkeypatch):
    monkeypatch.setattr(DispatchRecords, "refuse", lambda *_: None)
    side = make_side()
    side.reason = verdict.LEAVING
    side.dispatch()
    side.reason = None
    side.dispatch()
    assert side.ran, "the memory of refusals is what keeps it from running"


def ask_fate(side, dispatch, permit=None):
    query = Query(
        "q",
        "acct",
        "k",
        dispatch.dispatch_id,
        dispatch.permit if permit is None else permit,
        "i1",
    )
    side.side.on_query(side.link, query)
    return side.link.sent[-1].state


def test_unseen_dispatch_is_sealed_and_never_runs():
    side = make_side()
    dispatch = make_dispatch(key="k")
    assert ask_fate(side, dispatch) == "sealed"
    side.dispatch(key="k")
    assert side.ran == []


def test_forgotten_dispatch_is_not_sealed():
    side = make_side()
    dispatch = side.dispatch(key="k")
    side.endings[0].callback((200, b""))
    assert ask_fate(side, dispatch) == "answered"
    side.side.on_answer_ack(dispatch.dispatch_id)
    assert ask_fate(side, dispatch) == "forgotten"


def test_other_incarnation_is_told():
    side = make_side()
    query = Query("q", "acct", "k", "d9", 1, "i0")
    side.side.on_query(side.link, query)
    assert side.link.sent[-1].state == "other-incarnation"


def test_seal_is_kept_until_the_permit_alone_refuses():
    side = make_side()
    dispatch = make_dispatch(key="k")
    assert ask_fate(side, dispatch) == "sealed"
    for _ in range(400):
        side.clock.advance(0.5)
        side.permits.issue()
        side.side.expire()
    side.side.on_dispatch(side.link, dispatch, 5)
    assert side.ran == []
