"""Handle the dispatches of requests to an executor.

Every dispatch is checked against its permit, the configuration and the free
slots before it starts. A refused dispatch never runs, even if it is received
again.
"""

from eliot import log_message
from twisted.internet.defer import ensureDeferred

from samphiredeal.agent import dispatch_records
from samphiredeal.agent.shares import SlotShares
from samphiredeal.model import verdict
from samphiredeal.wire.digest import digest
from samphiredeal.wire.messages import (
    Answer,
    DispatchAck,
    QueryReply,
    Refusal,
)

OTHER_INCARNATION = "other-incarnation"


class UpstreamUnreachable(Exception):
    """No connection to the upstream was established, so the request did not run."""


class RequestHandler:
    """Run dispatches in a bounded number of slots.

    `run(body, budget_s)` is the driver. It returns a Deferred of (status, body)
    that fails with `UpstreamUnreachable` if the request cannot have run, and with
    any other exception if it may have run. `gate()` returns a reason to refuse
    all new work, or None.
    """

    def __init__(self, clock, permits, incarnation, slots, run, gate):
        self._permits = permits
        self._incarnation = incarnation
        self._slots = slots
        self._run = run
        self._gate = gate
        self._records = dispatch_records.DispatchRecords(clock, permits)
        self._shares = SlotShares(slots)
        self._on_slot_free = lambda link: None

    @property
    def free_slots(self):
        """The number of free slots."""
        return max(0, self._slots - self._records.running)

    def available_slots(self, link):
        """Return the number of free slots that the entry at a link may use."""
        return min(self.free_slots, self._shares.slots_left(link))

    def set_waiting(self, link, waiting):
        """Set the number of requests that wait at the entry at a link."""
        self._shares.set_waiting(link, waiting)

    def drop_link(self, link):
        """Remove a closed link."""
        self._shares.drop(link)

    def on_slot_free(self, callback):
        """Set `callback(link)`, called when a slot is free for a waiting entry."""
        self._on_slot_free = callback

    @property
    def idle(self):
        """Whether no dispatch is running."""
        return self._records.running == 0

    def on_dispatch(self, link, dispatch, revision):
        """Accept a dispatch, attach the link to a known one, or refuse it."""
        record = self._records.get(dispatch.dispatch_id)
        if record is not None:
            self._attach(link, record)
            return
        reason = self._records.refusal(dispatch.dispatch_id)
        if reason is None:
            reason = self._refusal_reason(dispatch, revision)
        if reason is not None:
            self._refuse(link, dispatch, reason)
            return
        record = self._records.add(dispatch)
        self._shares.acquire(link, dispatch.dispatch_id)
        self._attach(link, record)
        ensureDeferred(self._execute(record))

    def on_query(self, link, query):
        """Reply with a keyed dispatch's state; add a tombstone if never received."""
        if query.incarnation != self._incarnation:
            link.send(_reply(query, OTHER_INCARNATION))
            return
        state = self._records.query_state(query)
        record = self._records.get(query.dispatch_id)
        link.send(_reply(query, state, record and record.answer))

    def on_answer_ack(self, dispatch_id):
        """Delete the record of an answer that the entry has stored durably."""
        self._records.forget(dispatch_id)

    def expire(self):
        """Delete records whose retention time has passed."""
        self._records.expire()

    def _refusal_reason(self, dispatch, revision):
        """Return the reason not to start a dispatch, or None."""
        if dispatch.incarnation != self._incarnation:
            return verdict.WRONG_INCARNATION
        if not self._permits.is_fresh(dispatch.permit, dispatch.confirm_age_ms):
            return verdict.STALE_PERMIT
        if dispatch.revision < revision:
            return verdict.STALE_REVISION
        if digest(dispatch.body) != dispatch.digest:
            return verdict.BAD_DIGEST
        return self._gate() or (None if self.free_slots else verdict.NO_SLOT)

    def _refuse(self, link, dispatch, reason):
        self._records.refuse(dispatch.dispatch_id, dispatch.permit, reason)
        available = self.available_slots(link)
        log_message(
            message_type="dispatch_refused",
            dispatch_id=dispatch.dispatch_id,
            reason=reason.code,
        )
        link.send(Refusal(dispatch.dispatch_id, reason.code, reason.text, available))

    def _attach(self, link, record):
        """Acknowledge a dispatch and send its answer, now or once it completes."""
        link.send(DispatchAck(record.dispatch.dispatch_id))
        if record.answer is not None:
            link.send(record.answer)
        elif link not in record.listeners:
            record.listeners.append(link)

    async def _execute(self, record):
        dispatch = record.dispatch
        try:
            status, body = await self._run(dispatch.body, dispatch.budget_ms / 1000)
        except UpstreamUnreachable as error:
            self._refuse_unstarted(record, verdict.UPSTREAM_FAILED.with_detail(error))
            return
        except Exception as error:
            text = f"{type(error).__name__}: {error}"[:200].encode()
            self._complete(record, 0, True, text)
            return
        self._complete(record, status, False, body)

    def _refuse_unstarted(self, record, reason):
        """Refuse a dispatch that was accepted but could not be started."""
        dispatch = record.dispatch
        self._records.complete(record, reason)
        self._records.forget(dispatch.dispatch_id)
        self._records.refuse(dispatch.dispatch_id, dispatch.permit, reason)
        self._shares.release(dispatch.dispatch_id)
        refusal = Refusal(dispatch.dispatch_id, reason.code, reason.text, 0)
        for link in record.listeners:
            link.send(refusal._replace(free=self.available_slots(link)))

    def _complete(self, record, status, failed, body):
        answer = Answer(
            record.dispatch.dispatch_id, status, failed, body, digest(body), 0
        )
        self._records.complete(record, answer)
        log_message(
            message_type="dispatch_ended",
            dispatch_id=answer.dispatch_id,
            status=status,
            failed=failed,
        )
        self._shares.release(record.dispatch.dispatch_id)
        for link in record.listeners:
            link.send(answer._replace(free=self.available_slots(link)))
        record.listeners.clear()
        waiting_link = self._shares.next_waiting()
        if self.free_slots and waiting_link is not None:
            self._on_slot_free(waiting_link)


def _reply(query, state, answer=None):
    if answer is None:
        return QueryReply(query.query_id, state, 0, False, b"", b"")
    return QueryReply(
        query.query_id, state, answer.status, answer.failed, answer.body, answer.digest
    )
