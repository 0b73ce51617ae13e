"""Pending dispatches: sent, acknowledged, answered, refused or lost.

A dispatch is resent under the same id whenever its agent opens a new link, and
the agent attaches it to the request if that is already running. It is lost when
the agent fails or restarts.
"""

from typing import NamedTuple

from twisted.internet.defer import Deferred

from samphiredeal.model.verdict import UPSTREAM_LOST, Reason
from samphiredeal.wire.digest import digest
from samphiredeal.wire.messages import AnswerAck


class DispatchLost(NamedTuple):
    """No answer will come, for this reason; the request may have run."""

    reason: Reason


class PendingDispatch:
    """One dispatch and the Deferred of its `Answer`, `Refusal` or `DispatchLost`."""

    __slots__ = ("agent", "dispatch", "ended", "keyed")

    def __init__(self, agent, dispatch):
        self.agent = agent
        self.dispatch = dispatch
        self.keyed = bool(dispatch.key)
        self.ended = Deferred()


class Dispatches:
    """The pending dispatches of this entry by id."""

    def __init__(self):
        self._pending = {}

    def __len__(self):
        return len(self._pending)

    def send(self, session, dispatch):
        """Send a dispatch; return a Deferred of its result."""
        pending = PendingDispatch(session.info.name, dispatch)
        self._pending[dispatch.dispatch_id] = pending
        session.reserve_slot(dispatch.dispatch_id)
        session.link.send(dispatch)
        return pending.ended

    def on_ack(self, session, dispatch_id):
        """Record that the agent has acknowledged a dispatch."""
        session.unacknowledged.discard(dispatch_id)

    def on_answer(self, session, answer):
        """Process an answer; return False if its digest does not match its body."""
        session.unacknowledged.discard(answer.dispatch_id)
        pending = self._pending.get(answer.dispatch_id)
        if digest(answer.body) != answer.digest:
            return False
        if pending is None:
            session.link.send(AnswerAck(answer.dispatch_id))
            return True
        if not pending.keyed:
            session.link.send(AnswerAck(answer.dispatch_id))
        del self._pending[answer.dispatch_id]
        pending.ended.callback(answer)
        return True

    def on_refusal(self, session, refusal):
        """Process a refusal: the dispatch did not run and never will."""
        session.unacknowledged.discard(refusal.dispatch_id)
        pending = self._pending.pop(refusal.dispatch_id, None)
        if pending is not None:
            pending.ended.callback(refusal)

    def on_new_link(self, session):
        """Resend the dispatches of the same incarnation; fail those of earlier ones."""
        for pending in self._pending_of(session.info.name):
            if pending.dispatch.incarnation == session.info.incarnation:
                session.link.send(pending.dispatch)
            else:
                self._fail(pending)

    def on_agent_lost(self, name):
        """Fail the dispatches of an agent that failed."""
        for pending in self._pending_of(name):
            self._fail(pending)

    def abandon(self, dispatch_id):
        """Stop waiting for a dispatch."""
        pending = self._pending.pop(dispatch_id, None)
        if pending is not None:
            pending.ended.callback(DispatchLost(UPSTREAM_LOST))

    def _pending_of(self, agent):
        return [p for p in self._pending.values() if p.agent == agent]

    def _fail(self, pending):
        del self._pending[pending.dispatch.dispatch_id]
        pending.ended.callback(DispatchLost(UPSTREAM_LOST))
