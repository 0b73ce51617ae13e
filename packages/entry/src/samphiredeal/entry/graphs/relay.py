"""Passing callers' calls on to another entry while the store is not heard here.

The store may turn one entry away and serve the others, which can then do what
this entry cannot. Entries find each other by their rows. A call is passed on
once: an entry answers for another by itself or not at all.
"""

import msgspec
from eliot import log_message
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import work
from samphiredeal.model import answers
from samphiredeal.model.answers import Call, JobAnswer
from samphiredeal.platform.table import Committed, Put, within
from samphiredeal.wire.messages import Ask, AskReply

_TOPIC = "call"
# Another entry answers from memory or after one write; a slow store takes 0.5 s.
_REPLY_TIMEOUT_S = 0.6
# Connections between entries are made within milliseconds, or hang.
_CONNECT_TIMEOUT_S = 0.2
# So many entries are asked, one after another, before the caller is refused.
_MAX_PEERS = 3
_ANNOUNCE_RETRY_DELAY_S = 0.3
# Of the time that a caller still waits, at most this share is spent on others.
_TIME_SHARE = 0.3
# An entry that cannot be reached is asked last for this long: its VM is cut off or
# gone, and each try costs a caller the time of a connection that hangs.
_UNREACHABLE_PENALTY_S = 60.0
# Answers by which another entry says that it could not help either.
_UNHELPFUL_ANSWERS = (answers.NOT_DONE, answers.UNSETTLED)


class Relay:
    """This entry's links to others. `serve(call)` answers for another entry."""

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
        """Store where this entry can be reached."""
        value = msgspec.json.encode(work.EntryRecord(self._address))
        while not self._stopped:
            put = Put(work.entry_key(self._name), value)
            if isinstance(await self._table.write([], [put]), Committed):
                return
            await deferLater(self._clock, _ANNOUNCE_RETRY_DELAY_S)

    def stop(self):
        """Announce no more."""
        self._stopped = True

    # Asking others

    async def forward(self, call):
        """Return another entry's `JobAnswer`, or None if none could help.

        Without a reply the call may have taken effect: the answer is then
        `UNSETTLED` unless the next entry knows better.
        """
        in_doubt = None
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
            if answer.kind not in _UNHELPFUL_ANSWERS:
                return answer
            if answer.kind == answers.UNSETTLED:
                in_doubt = answer
        return in_doubt

    def _peers(self):
        """Return the other entries, the scheduler's first: it writes the most."""
        holder = self._view.epoch.value.holder
        penalty_began_at = self._clock.seconds() - _UNREACHABLE_PENALTY_S
        others = [name for name in self._view.entries if name != self._name]

        def rank(name):
            failed_at = self._unreachable_at.get(name, penalty_began_at)
            return (max(failed_at, penalty_began_at), name != holder, name)

        return sorted(others, key=rank)

    async def _forward_to(self, name, call):
        address = self._view.entries[name].value.address
        limit_s = min(_CONNECT_TIMEOUT_S, call.wait_s)
        try:
            link = await self._connect(address).addTimeout(limit_s, self._clock)
        except Exception as error:
            # Whatever the cause, nothing has been sent.
            self._unreachable_at[name] = self._clock.seconds()
            reason = f"no link to {name}: {type(error).__name__}"
            return JobAnswer(answers.NOT_DONE, reason=reason)
        replied = Deferred()
        link.on_message = lambda _link, message: _deliver(replied, message)
        link.on_lost = lambda _link: _deliver(replied, None)
        link.send(Ask(self._name, _TOPIC, msgspec.msgpack.encode(call)))
        reply = await within(self._clock, min(_REPLY_TIMEOUT_S, call.wait_s), replied)
        link.close()
        if not isinstance(reply, AskReply):
            return JobAnswer(answers.UNSETTLED, reason=f"{name} did not reply")
        try:
            return msgspec.msgpack.decode(reply.document, type=JobAnswer)
        except msgspec.DecodeError as error:
            reason = f"{name} replied unreadably: {error}"
            return JobAnswer(answers.UNSETTLED, reason=reason)

    # Answering for others

    def answer(self, link, message):
        """Answer a call that another entry has passed on in an `Ask`."""
        if message.topic != _TOPIC:
            return
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


def _deliver(replied, message):
    if not replied.called:
        replied.callback(message)


def _log_failure(failure):
    log_message(message_type="relayed_call_failed", reason=failure.getTraceback())
