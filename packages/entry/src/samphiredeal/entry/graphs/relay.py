"""Forwarding of callers' calls to another entry while the store is unreachable.

The store may reject one entry and serve the others, which can then serve the calls of
the rejected one. Entries find each other by their rows. A call is forwarded at most
once: an entry never forwards a call that another entry has forwarded to it.
"""

import msgspec
from eliot import log_message
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import work
from samphiredeal.entry.graphs.peer_query import NoLink, NoReply, query
from samphiredeal.model import answers
from samphiredeal.model.answers import Call, JobAnswer
from samphiredeal.platform.table import Committed, Put
from samphiredeal.wire.messages import Ask, AskReply

TOPIC = "call"
# Another entry answers from memory or after one write; a slow store takes 0.5 s.
_REPLY_TIMEOUT_S = 0.6
# Entries to try one after another before the caller is refused.
_MAX_PEERS = 3
_ANNOUNCE_RETRY_DELAY_S = 0.3
# The largest share of the caller's remaining time to spend on forwarding.
_TIME_SHARE = 0.3
# A caller with less time left gets no other entry's answer in time.
_MIN_WAIT_S = 0.02
# How long an entry that could not be reached is tried last: its VM is partitioned or
# powered off, and each try costs a caller the timeout of a hanging connection.
_UNREACHABLE_PENALTY_S = 60.0


class Relay:
    """Forwards calls to other entries; `serve(call)` answers calls forwarded here."""

    def __init__(self, clock, name, address, connect, table, view, serve):
        self._clock = clock
        self._name = name
        self._address = address
        self._connect = connect
        self._table = table
        self._view = view
        self._serve = serve
        self._stopped = False
        self._unreachable_at = {}

    async def announce(self):
        """Store this entry's address for other entries."""
        value = msgspec.json.encode(work.EntryRecord(self._address))
        while not self._stopped:
            put = Put(work.entry_key(self._name), value)
            if isinstance(await self._table.write([], [put]), Committed):
                return
            await deferLater(self._clock, _ANNOUNCE_RETRY_DELAY_S)

    def stop(self):
        """Stop trying to announce this entry."""
        self._stopped = True

    # Outgoing calls

    async def forward(self, call):
        """Return another entry's `JobAnswer`, or None if none could help.

        If an entry doesn't reply, the call may have taken effect: the answer is then
        `UNSETTLED` unless the next entry has a definite one.
        """
        if call.wait_s < _MIN_WAIT_S:
            return None
        unsettled_answer = None
        give_up_at = self._clock.seconds() + _TIME_SHARE * call.wait_s
        for name in self._peers()[:_MAX_PEERS]:
            left_s = max(0.0, give_up_at - self._clock.seconds())
            answer = await self._forward_to(name, call._replace(wait_s=left_s))
            log_message(
                message_type="call_relayed",
                path=call.path[:120],
                verb=call.verb,
                entry=name,
                answer=answer.kind,
                reason=answer.reason[:200],
            )
            if answers.is_definite(call, answer, unsettled_answer):
                return answer
            if answer.kind == answers.UNSETTLED:
                unsettled_answer = answer
        return unsettled_answer

    def _peers(self):
        """Return the other entries in the order to try them.

        Recently unreachable ones come last. Otherwise the scheduler's is first, since
        it writes to the store the most.
        """
        holder = self._view.epoch.value.holder
        penalty_began_at = self._clock.seconds() - _UNREACHABLE_PENALTY_S
        others = [name for name in self._view.entries if name != self._name]

        def rank(name):
            failed_at = self._unreachable_at.get(name, penalty_began_at)
            return (max(failed_at, penalty_began_at), name != holder, name)

        return sorted(others, key=rank)

    async def _forward_to(self, name, call):
        address = self._view.entries[name].value.address
        ask = Ask(self._name, TOPIC, msgspec.msgpack.encode(call))
        limit_s = min(_REPLY_TIMEOUT_S, call.wait_s)
        reply = await query(self._clock, self._connect, address, ask, limit_s)
        if isinstance(reply, NoLink):
            self._unreachable_at[name] = self._clock.seconds()
            reason = f"no link to {name}: {reply.reason}"
            return JobAnswer(answers.NOT_DONE, reason=reason)
        if isinstance(reply, NoReply):
            return JobAnswer(answers.UNSETTLED, reason=f"{name} did not reply")
        try:
            return msgspec.msgpack.decode(reply, type=JobAnswer)
        except msgspec.DecodeError as error:
            reason = f"{name} sent a reply that cannot be decoded: {error}"
            return JobAnswer(answers.UNSETTLED, reason=reason)

    # Incoming calls

    def answer(self, link, message):
        """Answer a call that another entry has forwarded in an `Ask`."""
        try:
            call = msgspec.msgpack.decode(message.document, type=Call)
        except msgspec.DecodeError as error:
            log_message(
                message_type="relayed_call_unreadable",
                entry=message.query_id,
                reason=str(error)[:300],
            )
            return
        ensureDeferred(self._answer(link, message.query_id, call)).addErrback(
            _log_failure
        )

    async def _answer(self, link, query_id, call):
        answer = await self._serve(call)
        link.send(AskReply(query_id, msgspec.msgpack.encode(answer)))


def _log_failure(failure):
    log_message(message_type="relayed_call_failed", reason=failure.getTraceback())
