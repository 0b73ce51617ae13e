"""Ends of jobs that are known but not stored, shared among the entries.

While the store is silent an end cannot be stored, and a caller would be told that a job
runs which has ended long ago. Its worker keeps the end until it is acknowledged, which
happens only after it is stored. So does the scheduler, but either may be lost. An
end is therefore shown once another entry holds it too: then it is forgotten only if all
entries that hold it are lost as well as the worker, before the store is back.

The scheduler offers its unstored ends to the other entries. One accepts them only if
it does not hear the store either and knows of no newer scheduler: otherwise another
scheduler may have been elected that takes the work for lost and starts it again. If one
accepts and none refuses, the ends are confirmed, and these entries show them. Whoever
schedules next takes over what it holds.
"""

from typing import NamedTuple

import msgspec
from eliot import log_message
from twisted.internet.defer import ensureDeferred, gatherResults

from samphiredeal.entry.graphs.peer_query import NoLink, NoReply, query
from samphiredeal.model import untrusted
from samphiredeal.policy.graphs.state import COMPLETED, FAILED
from samphiredeal.wire.messages import Ask, AskReply

TOPIC = "ends"
# States that follow from the ends of tasks.
SHOWN_STATES = (COMPLETED, FAILED)
# How often unstored ends are offered again, to entries that have come back.
_INTERVAL_S = 0.25
_REPLY_TIMEOUT_S = 0.3
# An offer that took longer is not confirmed: this process may have been paused, and
# another scheduler elected meanwhile.
_MAX_OFFER_S = 0.8
# Bounds the size of a message.
_MAX_ENDS = 1000


class Offer(NamedTuple):
    """Ends known to the scheduler of an epoch: {job id: state}.

    With `is_confirmed`, those that the receiver holds may be shown.
    """

    epoch: int
    ends: dict[str, str]
    is_confirmed: bool = False


class Response(NamedTuple):
    """Whether an entry holds the ends of an offer, or why not."""

    is_accepted: bool
    reason: str = ""


class UnstoredEnds:
    """The unstored ends that one entry knows.

    `store_health` is this entry's `StoreHealth`, `leadership` its part in the election.
    """

    def __init__(self, clock, name, connect, view, leadership, store_health):
        self._clock = clock
        self._name = name
        self._connect = connect
        self._view = view
        self._leadership = leadership
        self._store_health = store_health
        self._held = {}
        self._offering = False
        self._offer_at = float("-inf")
        self._confirmed = {}

    @property
    def held(self):
        """The ends that are not stored yet: {job id: state}."""
        self._held = self._without_stored(self._held)
        return dict(self._held)

    def _without_stored(self, ends):
        return {
            job_id: state
            for job_id, state in ends.items()
            if job_id in self._view.jobs and not self._view.is_end_stored(job_id)
        }

    # The scheduler

    @property
    def is_offer_due(self):
        """Whether it is time to offer the ends that are not stored."""
        now = self._clock.seconds()
        is_idle = not self._offering and now - self._offer_at >= _INTERVAL_S
        return is_idle and self._store_health.is_silent

    def offer(self, ends):
        """Offer unstored ends, {job id: state}, to the entries without them."""
        self._confirmed = {
            name: self._without_stored(confirmed)
            for name, confirmed in self._confirmed.items()
        }
        ends = dict(sorted(ends.items())[:_MAX_ENDS])
        names = [
            name
            for name in self._view.entries
            if name != self._name and not ends.items() <= self._known_to(name).items()
        ]
        if ends and names:
            self._offering, self._offer_at = True, self._clock.seconds()
            offered = ensureDeferred(self._offer(names, ends))
            offered.addErrback(self._offer_failed)

    def _known_to(self, name):
        """Return the ends that an entry has been told to show.

        One that has restarted since has forgotten them, but it answers no calls before
        it has heard the store.
        """
        return self._confirmed.get(name, {})

    def _offer_failed(self, failure):
        self._offering = False
        log_message(message_type="offer_failed", reason=failure.getTraceback())

    async def _offer(self, names, ends):
        epoch, began_at = self._leadership.epoch, self._clock.seconds()
        responses = await self._ask_all(names, Offer(epoch, ends))
        holders = [name for name, one in responses.items() if one.is_accepted]
        refusals = {
            name: one.reason
            for name, one in responses.items()
            if one.reason and not one.is_accepted
        }
        is_current = self._leadership.epoch == epoch and epoch > 0
        is_recent = self._clock.seconds() - began_at <= _MAX_OFFER_S
        self._offering = False
        if not holders and not refusals:
            return
        is_shown = bool(holders) and not refusals and is_current and is_recent
        log_message(
            message_type="unstored_ends_offered",
            epoch=epoch,
            jobs=list(ends),
            holders=holders,
            refusals=refusals,
            shown=is_shown,
        )
        if not is_shown:
            return
        self._held |= ends
        self._view.show_ends(ends)
        await self._ask_all(holders, Offer(epoch, ends, is_confirmed=True))
        for name in holders:
            self._confirmed.setdefault(name, {}).update(ends)

    async def _ask_all(self, names, offer):
        """Return {name: `Response`} of the entries that could be reached."""
        asked = [ensureDeferred(self._ask(name, offer)) for name in names]
        responses = await gatherResults(asked)
        return {
            name: response
            for name, response in zip(names, responses, strict=True)
            if response is not None
        }

    async def _ask(self, name, offer):
        """Return an entry's `Response`, or None if there is none.

        One that may have received the offer and does not reply is as good as lost: it
        may hold the ends, but is not counted.
        """
        address = self._view.entries[name].value.address
        ask = Ask(self._name, TOPIC, msgspec.msgpack.encode(offer))
        reply = await query(self._clock, self._connect, address, ask, _REPLY_TIMEOUT_S)
        if isinstance(reply, NoLink | NoReply):
            return None
        try:
            return msgspec.msgpack.decode(reply, type=Response)
        except msgspec.DecodeError as error:
            return Response(is_accepted=False, reason=f"unreadable reply: {error}")

    # The other entries

    def answer(self, link, message):
        """Answer an offer of the scheduler in an `Ask`."""
        try:
            offer = msgspec.msgpack.decode(message.document, type=Offer)
            response = self._respond(offer)
        except msgspec.DecodeError as error:
            response = Response(is_accepted=False, reason=f"unreadable: {error}"[:300])
        if not response.is_accepted:
            log_message(
                message_type="unstored_ends_refused",
                entry=message.query_id,
                reason=response.reason,
            )
        link.send(AskReply(message.query_id, msgspec.msgpack.encode(response)))

    def _respond(self, offer):
        newest = max(self._view.epoch.value.number, self._leadership.epoch)
        if not 0 < offer.epoch <= untrusted.MAX_INTEGER or offer.epoch < newest:
            return Response(is_accepted=False, reason=f"epoch {newest} is known here")
        if not set(offer.ends.values()) <= set(SHOWN_STATES):
            return Response(is_accepted=False, reason="not a state that tasks end in")
        if offer.is_confirmed:
            shown = {
                one: state for one, state in offer.ends.items() if one in self._held
            }
            self._log_held("unstored_ends_shown", offer, shown)
            self._view.show_ends(shown)
            return Response(is_accepted=True)
        if not self._store_health.is_silent:
            return Response(is_accepted=False, reason="the store answers here")
        self._held = {
            job_id: state
            for job_id, state in {**self._held, **offer.ends}.items()
            if not self._view.is_end_stored(job_id)
        }
        self._log_held("unstored_ends_held", offer, offer.ends)
        return Response(is_accepted=True)

    def _log_held(self, message_type, offer, ends):
        log_message(
            message_type=message_type,
            entry=self._name,
            epoch=offer.epoch,
            jobs=sorted(ends),
        )
