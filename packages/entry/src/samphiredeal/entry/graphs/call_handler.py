"""Answering callers: accepting jobs, telling their state, cancelling them.

A job is accepted once its row is stored. If the store does not answer, the row
may still appear, so the caller is never told that the job was not accepted.
"""

from eliot import log_message
from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import work
from samphiredeal.entry.graphs.in_doubt import InDoubtCalls
from samphiredeal.entry.graphs.write_resolver import WriteResolver
from samphiredeal.model import answers
from samphiredeal.model.answers import JobAnswer
from samphiredeal.model.graph import JobRecord
from samphiredeal.platform import callers
from samphiredeal.platform.table import (
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
)
from samphiredeal.policy.graphs import records

# A probe is sent every 0.1 s, and a sound store answers it within milliseconds.
_PROBE_TIMEOUT_S = 0.3
_PROBE_POLL_INTERVAL_S = 0.05
# At most this share of a caller's time is spent on waiting for news.
_WAIT_TIME_SHARE = 0.35
# Callers with less time than this can hardly come back once more.
_LAST_RETRY_S = 0.6
# A running job's state is told once an end that a worker lists as the caller asks
# would have been stored; callers often ask just then, and would ask again at once.
_COMPLETION_WRITE_S = 0.25
# A refused caller comes back after about as long as the outage has lasted: short
# ones cost little, and its few tries last through a long one.
_RETRY_AFTER_MIN_S = 1.0
_RETRY_AFTER_MAX_S = 4.0


class CallHandler:
    """Answers calls from the rows in memory and writes to the store.

    `relay(call)` asks another entry while the store is not heard here; it gives
    a `JobAnswer`, or None if no entry can help.
    """

    def __init__(
        self,
        clock,
        wall_ms,
        table,
        operations,
        view,
        store_health,
        config_max_age_s,
        relay,
    ):
        self._clock = clock
        self._wall_ms = wall_ms
        self._table = table
        self._operations = operations
        self._view = view
        self._store_health = store_health
        self._write_resolver = WriteResolver(clock, table, store_health)
        self._in_doubt = InDoubtCalls(clock)
        self._config_max_age_s = config_max_age_s
        self._relay = relay
        self._in_flight = 0

    @property
    def in_flight(self):
        """How many calls are being answered."""
        return self._in_flight

    async def answer(self, call):
        """Return the `JobAnswer` to a `Call`, and log the decision."""
        self._in_flight += 1
        began_at = self._clock.seconds()
        try:
            if not self._store_health.is_healthy:
                answer = await self._answer_without_store(call)
            else:
                answer = await self._answer_here(call)
                if answer.kind == answers.NOT_DONE:
                    relayed = await self._relay(
                        self._with_remaining_time(call, began_at)
                    )
                    answer = _prefer_relayed(answer, relayed)
            answer = self._in_doubt.correct(call, answer)
        finally:
            self._in_flight -= 1
        self._log_answer(call, answer, began_at)
        return answer

    async def answer_for_entry(self, call):
        """Return the answer to a call that another entry has passed on.

        An entry that may itself not hear the store says so at once: the caller's
        time is short, and a write into the silence would be unsettled.
        """
        began_at = self._clock.seconds()
        if self._store_health.is_prompt:
            self._in_flight += 1
            try:
                answer = await self._answer_here(call)
            finally:
                self._in_flight -= 1
        else:
            no_response_s = self._store_health.since_last_response_s
            reason = f"the store was last heard {no_response_s:.1f} s ago"
            answer = _not_done(reason, no_response_s)
        answer = self._in_doubt.correct(call, answer)
        self._log_answer(call, answer, began_at)
        return answer

    async def _answer_without_store(self, call):
        """Answer by another entry if one hears the store, else from memory."""
        began_at = self._clock.seconds()
        relayed = await self._relay(call)
        if relayed is not None and relayed.kind != answers.UNSETTLED:
            return relayed
        await self._wait_for_probe(call, began_at)
        answer = await self._answer_here(self._with_remaining_time(call, began_at))
        return _prefer_relayed(answer, relayed)

    def _with_remaining_time(self, call, began_at):
        """Return a call with the time that its caller still waits."""
        spent_s = self._clock.seconds() - began_at
        return call._replace(wait_s=max(0.0, call.wait_s - spent_s))

    async def _wait_for_probe(self, call, began_at):
        """Give the store the time to answer one more probe to a caller's last tries.

        Callers with more time are told at once when to come back.
        """
        if call.wait_s > _LAST_RETRY_S:
            return
        wait_s = min(_PROBE_TIMEOUT_S, _WAIT_TIME_SHARE * call.wait_s)
        give_up_at = began_at + wait_s
        while self._lacks_current_rows() and self._clock.seconds() < give_up_at:
            await deferLater(self._clock, _PROBE_POLL_INTERVAL_S)

    def _lacks_current_rows(self):
        """Return whether calls are refused for what is known here."""
        too_old = self._store_health.config_age_s > self._config_max_age_s
        return too_old or not self._store_health.is_healthy

    async def _answer_here(self, call):
        queue, job_id, answer = self._route(call)
        if answer is None:
            answer = await self._serve(call, queue, job_id)
        return answer

    def _route(self, call):
        """Return (queue, job id, None), or (None, '', the refusal)."""
        directory = self._operations.directory
        if directory is None:
            return None, "", _not_done("no configuration is known yet")
        age_s = self._store_health.config_age_s
        if age_s > self._config_max_age_s:
            reason = f"the configuration was last confirmed {age_s:.1f} s ago"
            return None, "", _not_done(reason, age_s)
        queue = directory.queue_for(call.host, call.path)
        if queue is None:
            return None, "", JobAnswer(answers.NO_QUEUE, reason="no such queue")
        if not queue.public and directory.account_of(call.key) is None:
            return None, "", JobAnswer(answers.UNKNOWN_KEY, reason="unknown key")
        return queue, call.path[len(queue.path_prefix) :], None

    async def _serve(self, call, queue, job_id):
        if not job_id and call.verb == answers.GET_STATE:
            count = self._view.count_waiting(queue.name)
            return JobAnswer(answers.WAITING, waiting=count)
        if not callers.is_job_id(job_id):
            return JobAnswer(answers.MALFORMED, reason=f"id: {job_id[:40]!r}")
        if call.verb == answers.SUBMIT:
            return await self._submit(call, queue, job_id)
        if call.verb == answers.CANCEL:
            return await self._cancel(call, job_id)
        return await self._report_state(call, job_id)

    async def _submit(self, call, queue, job_id):
        if job_id in self._view.jobs:
            return JobAnswer(answers.ACCEPTED)
        limit = self._operations.directory.operations.max_body_bytes
        if len(call.body) > limit:
            reason = f"body: {len(call.body)} bytes is over {limit}"
            return JobAnswer(answers.MALFORMED, reason=reason)
        try:
            spec = callers.decode_job(call.body)
        except callers.BadRequest as error:
            return JobAnswer(answers.MALFORMED, reason=str(error))
        account = self._operations.directory.account_of(call.key)
        record = JobRecord(
            id=job_id,
            queue=queue.name,
            service=queue.service,
            account=account.name if account else "",
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            target_latency_ms=queue.target_latency_ms,
            accepted_ms=self._wall_ms(),
            spec=spec,
            advice=queue.advice,
        )
        key = work.job_key(job_id)
        answer = await self._write_resolver.write(
            call, [Condition(key, 0)], [Put(key, records.encode(record))]
        )
        if isinstance(answer, Committed | Conflict):
            return JobAnswer(answers.ACCEPTED)
        return self._store_refusal(answer)

    async def _cancel(self, call, job_id):
        accepted = await self._check_accepted(job_id)
        if accepted is not True:
            return accepted
        if job_id in self._view.cancels:
            return JobAnswer(answers.CANCELLED)
        key = work.cancel_key(job_id)
        answer = await self._write_resolver.write(
            call, [Condition(key, 0)], [Put(key, b"{}")]
        )
        if isinstance(answer, Committed | Conflict):
            return JobAnswer(answers.CANCELLED)
        return self._store_refusal(answer)

    async def _report_state(self, call, job_id):
        accepted = await self._check_accepted(job_id)
        if accepted is not True:
            return accepted
        if self._view.is_running(job_id):
            wait_s = min(_COMPLETION_WRITE_S, _WAIT_TIME_SHARE * call.wait_s)
            await self._view.wait_until_ended(job_id, wait_s)
        state = self._view.state_of(job_id) or "queued"
        return JobAnswer(answers.STATE, state=state)

    async def _check_accepted(self, job_id):
        """Return True if the job is accepted, else the answer that says so.

        A job that is not in memory may have been accepted just now elsewhere.
        """
        if job_id in self._view.jobs:
            return True
        row = await self._table.read(work.job_key(job_id))
        if not isinstance(row, Row):
            return _not_done(f"the store gave no answer: {row.reason}")
        if not row.version:
            return JobAnswer(answers.NO_JOB, reason="no such job")
        return True

    def _store_refusal(self, answer):
        """Return the answer to a call whose write the store did not confirm."""
        if answer.not_applied:
            reason = f"the store refuses writes: {answer.reason}"
            return _not_done(reason, self._store_health.rows_age_s)
        reason = f"the store gave no answer: {answer.reason}"
        wait_s = _retry_after_s(self._store_health.rows_age_s)
        return JobAnswer(answers.UNSETTLED, reason=reason, retry_after_s=wait_s)

    def _log_answer(self, call, answer, began_at):
        log_message(
            message_type="call_answered",
            verb=call.verb,
            host=call.host,
            path=call.path[:120],
            answer=answer.kind,
            state=answer.state,
            reason=answer.reason[:200],
            retry_after_s=answer.retry_after_s,
            patience_s=round(call.wait_s, 3),
            config_version=self._operations.version,
            config_age_s=round(self._store_health.config_age_s, 3),
            took_ms=round((self._clock.seconds() - began_at) * 1000, 1),
        )


def _prefer_relayed(answer, relayed):
    """Return an entry's own answer, or another's to the same call if it helps.

    A call is refused only if neither can have taken effect.
    """
    if relayed is None or answer.kind not in (answers.NOT_DONE, answers.UNSETTLED):
        return answer
    return relayed


def _not_done(reason, outage_s=0.0):
    """Return a refusal that tells when to come back."""
    wait_s = _retry_after_s(outage_s)
    return JobAnswer(answers.NOT_DONE, reason=reason, retry_after_s=wait_s)


def _retry_after_s(outage_s):
    """Return in how many seconds a caller should come back."""
    return min(max(outage_s, _RETRY_AFTER_MIN_S), _RETRY_AFTER_MAX_S)
