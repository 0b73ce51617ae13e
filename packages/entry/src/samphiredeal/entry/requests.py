"""Serving of requests: repeatable ones with retries, keyed ones at most once."""

from typing import NamedTuple

from eliot import log_message
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry import claims as claim_rows
from samphiredeal.entry.dispatches import DispatchLost
from samphiredeal.entry.routing import RetryBudget, SlotRequest
from samphiredeal.model import verdict
from samphiredeal.model.timing import START_MAX_STALENESS_S
from samphiredeal.model.verdict import Outcome, Reason
from samphiredeal.platform.table import Unavailable
from samphiredeal.wire.digest import digest
from samphiredeal.wire.messages import (
    Answer,
    AnswerAck,
    Dispatch,
    Query,
    Refusal,
)

MAX_TRIES = 4
# The time after its deadline for which a request still waits for its answer.
ANSWER_GRACE_S = 2.0
_QUERY_INTERVAL_S = 0.25
_QUERY_TIMEOUT_S = 1.0
_CLOSE_RETRY_S = 1.0

# The codes of refusals after which no other agent is tried.
_FINAL_REFUSAL_CODES = frozenset({verdict.BAD_DIGEST.code})
_REASONS = {
    value.code: value for value in vars(verdict).values() if isinstance(value, Reason)
}


class Request(NamedTuple):
    """A caller's request; `deadline` is on this entry's clock.

    `first_try` is the caller's assertion that the key was never sent before. It
    is used only while the table is unavailable, so that the outcome of earlier
    tries cannot be read. `request_id` correlates the log lines of entries and
    agents.
    """

    account: str
    klass: str
    deadline: float
    key: str
    repeatable: bool
    body: bytes
    first_try: bool = False
    request_id: str = ""


class RequestServer:
    """Serves requests through a router, dispatches and claims.

    `environment` has three functions: `confirm_age()` returns the age of the
    configuration's confirmation in seconds, `revision()` its revision and
    `store_down()` whether the store is unresponsive, so that no claim can be
    written. `new_id()` returns an id that is unique over all processes.
    """

    def __init__(
        self, clock, sessions, router, dispatches, claims, environment, new_id
    ):
        self._clock = clock
        self._sessions = sessions
        self._router = router
        self._dispatches = dispatches
        self._claims = claims
        self._environment = environment
        self._new_id = new_id
        self._retry_budget = RetryBudget()
        self._queries = {}
        self._in_flight = 0
        self._claims_opening = 0
        self._claims_closing = 0

    @property
    def in_flight(self):
        """The number of requests being served and of answers not yet durable."""
        return self._in_flight + self._claims_closing

    async def serve(self, request):
        """Return the `Outcome` of a request."""
        self._in_flight += 1
        try:
            if request.repeatable:
                return await self._serve_repeatable(request)
            return await self._serve_keyed(request)
        finally:
            self._in_flight -= 1
            self._router.grant_waiting()

    def on_query_reply(self, reply):
        """Process an agent's reply to a query."""
        waiting = self._queries.pop(reply.query_id, None)
        if waiting is not None:
            waiting.callback(reply)

    # Repeatable requests

    async def _serve_repeatable(self, request):
        may_have_run = False
        reason = verdict.NO_UPSTREAM
        skip = set()
        for _ in range(MAX_TRIES):
            if skip and not self._router.has_other(skip):
                break
            session = await self._acquire_slot(request, skip)
            if isinstance(session, Reason):
                reason = session
                break
            if not may_have_run:
                self._retry_budget.earn()
            result = await self._dispatch(request, session, self._new_id(), "")
            if isinstance(result, Answer) and not result.failed:
                return Outcome(verdict.RAN, result.status, result.body)
            skip.add(session.info.name)
            if isinstance(result, Refusal):
                reason = _refusal_reason(result)
                if result.code in _FINAL_REFUSAL_CODES:
                    break
                skip = skip if result.code != verdict.NO_SLOT.code else set()
                continue
            may_have_run = True
            reason = _failure_reason(result)
            if not self._retry_budget.spend():
                break
        if may_have_run:
            return verdict.may_have_run(reason)
        return verdict.not_run(reason)

    async def _acquire_slot(self, request, skip=()):
        """Return a session with a free slot, or a `Reason`."""
        if self._environment.confirm_age() > START_MAX_STALENESS_S:
            return verdict.UNCONFIRMED
        return await self._router.acquire(
            SlotRequest(request.klass, request.deadline, skip)
        )

    async def _dispatch(self, request, session, dispatch_id, key, permit=None):
        """Send a dispatch and return the `Answer`, `Refusal` or `DispatchLost`."""
        started_at = self._clock.seconds()
        dispatch = Dispatch(
            dispatch_id,
            request.account,
            key,
            session.permit if permit is None else permit,
            session.info.incarnation,
            self._environment.revision(),
            int(max(0.0, self._environment.confirm_age()) * 1000) + 1,
            int(max(0.0, request.deadline - started_at) * 1000),
            request.body,
            digest(request.body),
        )
        log_message(
            message_type="dispatch",
            request_id=request.request_id,
            dispatch_id=dispatch_id,
            agent=session.info.name,
        )
        ended = self._dispatches.send(session, dispatch)
        give_up = self._clock.callLater(
            max(0.0, request.deadline - started_at) + ANSWER_GRACE_S,
            self._dispatches.abandon,
            dispatch_id,
        )
        result = await ended
        if give_up.active():
            give_up.cancel()
        if isinstance(result, Answer):
            self._router.service.observe(self._clock.seconds() - started_at)
        self._router.grant_waiting()
        return result

    # Requests that are not repeatable

    async def _serve_keyed(self, request):
        if self._environment.store_down():
            return _outcome_without_run(request, verdict.STORE_DOWN)
        found = await self._claims.read(request.account, request.key)
        if isinstance(found, Unavailable):
            return _outcome_without_run(request, verdict.STORE_DOWN)
        if found is not None:
            return await self._follow_claim(request, found)
        return await self._claim_and_run(request)

    async def _claim_and_run(self, request, refused_claim=None, tries=MAX_TRIES):
        """Claim the key, then dispatch under the claim.

        `refused_claim` is the claim to replace: its dispatch never ran and never
        will. None means that there must be no claim yet.
        """
        session = await self._acquire_slot(request)
        if isinstance(session, Reason):
            return await self._refuse_keyed(request, refused_claim, session)
        claim = claim_rows.Claim(
            self._new_id(),
            session.info.name,
            session.info.incarnation,
            session.permit,
            digest(request.body).hex(),
        )
        opened = await self._open_claim(session, request, claim, refused_claim)
        if isinstance(opened, Reason):
            return await self._refuse_keyed(request, refused_claim, opened)
        ours, stored_claim = opened
        if not ours:
            return await self._follow_claim(request, stored_claim)
        current = self._sessions.get(session.info.name) or session
        result = await self._dispatch(
            request, current, claim.dispatch_id, request.key, claim.permit
        )
        return await self._conclude_keyed(request, stored_claim, result, tries)

    async def _open_claim(self, session, request, claim, refused_claim):
        """Write the claim while holding a slot.

        At most half of the slots are held for claims that are being written.
        """
        if self._claims_opening >= max(1, self._router.slots() // 2):
            return verdict.STORE_DOWN.with_detail("too many claims are being written")
        self._claims_opening += 1
        session.reserve_slot(claim.dispatch_id)
        version = refused_claim.version if refused_claim is not None else 0
        is_open = False
        try:
            opened = await self._claims.open(
                request.account, request.key, claim, version
            )
            is_open = not isinstance(opened, Unavailable) and opened[0]
        finally:
            self._claims_opening -= 1
            if not is_open:
                session.release_slot(claim.dispatch_id)
        if isinstance(opened, Unavailable):
            return verdict.STORE_DOWN.with_detail(opened.reason)
        return opened

    async def _conclude_keyed(self, request, stored_claim, result, tries):
        """Return the outcome of a keyed dispatch; close or replace its claim."""
        if isinstance(result, Answer):
            outcome = _answer_outcome(result)
            self._close_claim_later(stored_claim, claim_rows.DONE, outcome)
            return outcome
        if isinstance(result, DispatchLost):
            return verdict.may_have_run(result.reason)
        reason = _refusal_reason(result)
        late = self._clock.seconds() >= request.deadline
        if tries > 1 and not late and result.code not in _FINAL_REFUSAL_CODES:
            return await self._claim_and_run(request, stored_claim, tries - 1)
        return await self._void_claim(request, stored_claim, reason)

    async def _refuse_keyed(self, request, refused_claim, reason):
        """Return the outcome of a try that got no slot or no claim.

        Another try of the same key may have run meanwhile, through any entry,
        so the claim row decides.
        """
        if refused_claim is not None:
            return await self._void_claim(request, refused_claim, reason)
        found = await self._claims.read(request.account, request.key)
        if isinstance(found, Unavailable):
            return _outcome_without_run(request, reason)
        if found is None:
            return verdict.not_run(reason)
        return await self._follow_claim(request, found)

    async def _void_claim(self, request, stored_claim, reason):
        """Close a claim whose dispatch was refused and is not tried again."""
        outcome = verdict.not_run(reason)
        closed = await self._claims.close(stored_claim, claim_rows.VOID, outcome)
        if isinstance(closed, Unavailable):
            return _outcome_without_run(request, reason)
        ours, found = closed
        return outcome if ours else await self._follow_claim(request, found)

    def _close_claim_later(self, stored_claim, state, outcome):
        """Make an outcome durable, then acknowledge the answer to the agent."""
        self._claims_closing += 1
        ensureDeferred(self._close_claim(stored_claim, state, outcome)).addErrback(
            _log_close_failed, stored_claim.key
        )

    async def _close_claim(self, stored_claim, state, outcome):
        try:
            while isinstance(
                await self._claims.close(stored_claim, state, outcome), Unavailable
            ):
                await deferLater(self._clock, _CLOSE_RETRY_S)
        finally:
            self._claims_closing -= 1
        session = self._sessions.get(stored_claim.claim.agent)
        if session is not None:
            session.link.send(AnswerAck(stored_claim.claim.dispatch_id))

    # Claims of another try

    async def _follow_claim(self, request, stored_claim):
        """Return the outcome of the try that holds the claim; run if that never ran."""
        if stored_claim.claim.request_digest != digest(request.body).hex():
            return verdict.not_run(verdict.KEY_REUSED)
        if stored_claim.claim.state == claim_rows.VOID:
            return await self._claim_and_run(request, stored_claim)
        if stored_claim.claim.state == claim_rows.UNKNOWN:
            return verdict.may_have_run(verdict.UPSTREAM_LOST)
        if stored_claim.claim.state == claim_rows.DONE:
            outcome = await self._claims.outcome_of(stored_claim.claim)
            if isinstance(outcome, Unavailable):
                return verdict.may_have_run(verdict.STORE_DOWN)
            return outcome
        return await self._query_until_final(request, stored_claim)

    async def _query_until_final(self, request, stored_claim):
        """Query the agent that a claim names until the outcome is known."""
        give_up_at = request.deadline + ANSWER_GRACE_S
        while self._clock.seconds() < give_up_at:
            reply = await self._query_agent(stored_claim)
            if reply is None or reply.state == "running":
                await deferLater(self._clock, _QUERY_INTERVAL_S)
                continue
            if reply.state == "sealed":
                return await self._claim_and_run(request, stored_claim)
            if reply.state == "answered" and digest(reply.body) == reply.digest:
                outcome = _answer_outcome(reply)
                self._close_claim_later(stored_claim, claim_rows.DONE, outcome)
                return outcome
            if reply.state != "answered":
                outcome = verdict.may_have_run(verdict.UPSTREAM_LOST)
                self._close_claim_later(stored_claim, claim_rows.UNKNOWN, outcome)
                return outcome
        return verdict.may_have_run(verdict.UPSTREAM_LOST)

    async def _query_agent(self, stored_claim):
        """Return the agent's `QueryReply`, or None without an answer in time."""
        claim = stored_claim.claim
        session = self._sessions.get(claim.agent)
        if session is None:
            return None
        query_id = self._new_id()
        waiting = _with_timeout(self._clock, _QUERY_TIMEOUT_S)
        self._queries[query_id] = waiting
        _claim, account, key = stored_claim.key.split("/", 2)
        session.link.send(
            Query(
                query_id,
                account,
                key,
                claim.dispatch_id,
                claim.permit,
                claim.incarnation,
            )
        )
        reply = await waiting
        self._queries.pop(query_id, None)
        return reply


def _with_timeout(clock, seconds):
    """Return a Deferred that fires with None after a time unless it fires before."""
    waiting = Deferred()
    timer = clock.callLater(seconds, waiting.callback, None)

    def stop_timer(reply):
        if timer.active():
            timer.cancel()
        return reply

    return waiting.addCallback(stop_timer)


def _log_close_failed(failure, key):
    log_message(
        message_type="claim_close_failed", key=key, reason=failure.getTraceback()
    )


def _outcome_without_run(request, reason):
    """Return the outcome of a try that did not run itself.

    An earlier try of the same key may have run unless this is the first.
    """
    if request.first_try:
        return verdict.not_run(reason)
    return verdict.may_have_run(reason)


def _refusal_reason(refusal):
    return _REASONS.get(refusal.code, Reason(refusal.code, refusal.detail))


def _failure_reason(result):
    if isinstance(result, DispatchLost):
        return result.reason
    return verdict.UPSTREAM_FAILED.with_detail(result.body.decode(errors="replace"))


def _answer_outcome(answer):
    if answer.failed:
        return verdict.may_have_run(
            verdict.UPSTREAM_FAILED.with_detail(answer.body.decode(errors="replace"))
        )
    return Outcome(verdict.RAN, answer.status, answer.body)
