"""The request side of an agent: dispatches to an executor.

Every dispatch is checked against the permit, the configuration and the slots
before it starts. A refused dispatch never runs, also if it arrives again.
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
    """The upstream could not be reached, so the request did not run."""


class RequestHandler:
    """Runs dispatches in a bounded number of slots.

    `run(body, budget_s)` is the driver: it returns a Deferred of (status,
    body), or fails with `UpstreamUnreachable` if the request cannot have run and with
    anything else if it may have. `gate()` returns a reason to refuse all new
    work, or None.
    """

    def __init__(self, clock, permits, incarnation, slots, run, gate):
        self._permits = permits
        self._incarnation = incarnation
        self._slots = slots
        self._run = run
        self._gate = gate
        self._memory = dispatch_records.DispatchRecords(clock, permits)
        self._shares = SlotShares(slots)
        self._on_free = lambda link: None

    @property
    def free(self):
        """How many slots are free."""
        return max(0, self._slots - self._memory.running)

    def offer(self, link):
        """Return how many free slots the entry at a link may use."""
        return min(self.free, self._shares.left(link))

    def set_waiting(self, link, waiting):
        """Take in how many requests wait at the entry at a link."""
        self._shares.set_waiting(link, waiting)

    def drop_link(self, link):
        """Forget a link that is gone."""
        self._shares.drop(link)

    def on_free(self, callback):
        """Call `callback(link)` when a slot is free for an entry that waits."""
        self._on_free = callback

    @property
    def idle(self):
        """Whether nothing runs."""
        return self._memory.running == 0

    def on_dispatch(self, link, dispatch, revision):
        """Take a dispatch on, attach to it if it is known, or refuse it."""
        known = self._memory.record(dispatch.dispatch_id)
        if known is not None:
            self._attach(link, known)
            return
        reason = self._memory.refusal(dispatch.dispatch_id)
        if reason is None:
            reason = self._objection(dispatch, revision)
        if reason is not None:
            self._refuse(link, dispatch, reason)
            return
        record = self._memory.take_on(dispatch)
        self._shares.take(link, dispatch.dispatch_id)
        self._attach(link, record)
        ensureDeferred(self._serve(record))

    def on_query(self, link, query):
        """Tell what became of a keyed dispatch; seal it if it never arrived."""
        if query.incarnation != self._incarnation:
            link.send(_reply(query, OTHER_INCARNATION))
            return
        state = self._memory.fate(query)
        record = self._memory.record(query.dispatch_id)
        link.send(_reply(query, state, record and record.answer))

    def on_answer_ack(self, dispatch_id):
        """Forget an answer that has arrived and is durable."""
        self._memory.forget(dispatch_id)

    def expire(self):
        """Drop what has been kept for long enough."""
        self._memory.expire()

    def _objection(self, dispatch, revision):
        """Return the reason not to start a dispatch, or None."""
        if dispatch.incarnation != self._incarnation:
            return verdict.WRONG_INCARNATION
        if not self._permits.is_fresh(dispatch.permit, dispatch.confirm_age_ms):
            return verdict.STALE_PERMIT
        if dispatch.revision < revision:
            return verdict.STALE_REVISION
        if digest(dispatch.body) != dispatch.digest:
            return verdict.BAD_DIGEST
        return self._gate() or (None if self.free else verdict.NO_SLOT)

    def _refuse(self, link, dispatch, reason):
        self._memory.refuse(dispatch.dispatch_id, dispatch.permit, reason)
        free = self.offer(link)
        log_message(
            message_type="dispatch_refused",
            dispatch_id=dispatch.dispatch_id,
            reason=reason.code,
        )
        link.send(Refusal(dispatch.dispatch_id, reason.code, reason.text, free))

    def _attach(self, link, record):
        """Acknowledge a dispatch, and send its answer now or when there is one."""
        link.send(DispatchAck(record.dispatch.dispatch_id))
        if record.answer is not None:
            link.send(record.answer)
        elif link not in record.listeners:
            record.listeners.append(link)

    async def _serve(self, record):
        dispatch = record.dispatch
        try:
            status, body = await self._run(dispatch.body, dispatch.budget_ms / 1000)
        except UpstreamUnreachable as error:
            self._withdraw(record, verdict.UPSTREAM_FAILED.about(error))
            return
        except Exception as error:
            text = f"{type(error).__name__}: {error}"[:200].encode()
            self._end(record, 0, True, text)
            return
        self._end(record, status, False, body)

    def _withdraw(self, record, reason):
        """Refuse a dispatch that was taken on but could not be started."""
        dispatch = record.dispatch
        self._memory.end(record, reason)
        self._memory.forget(dispatch.dispatch_id)
        self._memory.refuse(dispatch.dispatch_id, dispatch.permit, reason)
        self._shares.give_back(dispatch.dispatch_id)
        refusal = Refusal(dispatch.dispatch_id, reason.code, reason.text, 0)
        for link in record.listeners:
            link.send(refusal._replace(free=self.offer(link)))

    def _end(self, record, status, failed, body):
        answer = Answer(
            record.dispatch.dispatch_id, status, failed, body, digest(body), 0
        )
        self._memory.end(record, answer)
        log_message(
            message_type="dispatch_ended",
            dispatch_id=answer.dispatch_id,
            status=status,
            failed=failed,
        )
        self._shares.give_back(record.dispatch.dispatch_id)
        for link in record.listeners:
            link.send(answer._replace(free=self.offer(link)))
        record.listeners.clear()
        neediest = self._shares.neediest()
        if self.free and neediest is not None:
            self._on_free(neediest)


def _reply(query, state, answer=None):
    if answer is None:
        return QueryReply(query.query_id, state, 0, False, b"", b"")
    return QueryReply(
        query.query_id, state, answer.status, answer.failed, answer.body, answer.digest
    )
