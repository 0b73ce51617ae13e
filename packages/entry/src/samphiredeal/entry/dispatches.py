"""Dispatches on their way: sent, acknowledged, answered, refused or lost.

A dispatch is sent again under the same id whenever its agent opens a new link,
which attaches it to the running one. It is lost once the agent is.
"""

from typing import NamedTuple

from twisted.internet.defer import Deferred

from samphiredeal.model.verdict import UPSTREAM_LOST, Reason
from samphiredeal.wire.digest import digest
from samphiredeal.wire.messages import AnswerAck


class Lost(NamedTuple):
    """The agent was lost; `sent` says whether the dispatch may have arrived."""

    reason: Reason


class Flight:
    """One dispatch and the Deferred of its `Answer`, `Refusal` or `Lost`."""

    __slots__ = ("agent", "dispatch", "ended", "keyed")

    def __init__(self, agent, dispatch):
        self.agent = agent
        self.dispatch = dispatch
        self.keyed = bool(dispatch.key)
        self.ended = Deferred()


class Dispatches:
    """The dispatches of this entry by id."""

    def __init__(self):
        self._flights = {}

    def __len__(self):
        return len(self._flights)

    def send(self, session, dispatch):
        """Send a dispatch; return a Deferred of how it ended."""
        flight = Flight(session.info.name, dispatch)
        self._flights[dispatch.dispatch_id] = flight
        session.take_slot(dispatch.dispatch_id)
        session.link.send(dispatch)
        return flight.ended

    def on_ack(self, session, dispatch_id):
        """Take in that the agent has taken a dispatch on."""
        session.unacknowledged.discard(dispatch_id)

    def on_answer(self, session, answer):
        """Take in an answer; return whether it was whole and wanted."""
        session.unacknowledged.discard(answer.dispatch_id)
        flight = self._flights.get(answer.dispatch_id)
        if digest(answer.body) != answer.digest:
            return False
        if flight is None:
            session.link.send(AnswerAck(answer.dispatch_id))
            return True
        if not flight.keyed:
            session.link.send(AnswerAck(answer.dispatch_id))
        del self._flights[answer.dispatch_id]
        flight.ended.callback(answer)
        return True

    def on_refusal(self, session, refusal):
        """Take in that a dispatch did not run and never will."""
        session.unacknowledged.discard(refusal.dispatch_id)
        flight = self._flights.pop(refusal.dispatch_id, None)
        if flight is not None:
            flight.ended.callback(refusal)

    def on_new_link(self, session):
        """Send again what the same incarnation may not have got; end the rest."""
        for flight in self._of(session.info.name):
            if flight.dispatch.incarnation == session.info.incarnation:
                session.link.send(flight.dispatch)
            else:
                self._lose(flight)

    def on_agent_lost(self, name):
        """End the dispatches of an agent that is lost."""
        for flight in self._of(name):
            self._lose(flight)

    def abandon(self, dispatch_id):
        """Stop waiting for a dispatch."""
        flight = self._flights.pop(dispatch_id, None)
        if flight is not None:
            flight.ended.callback(Lost(UPSTREAM_LOST))

    def _of(self, agent):
        return [f for f in self._flights.values() if f.agent == agent]

    def _lose(self, flight):
        del self._flights[flight.dispatch.dispatch_id]
        flight.ended.callback(Lost(UPSTREAM_LOST))
