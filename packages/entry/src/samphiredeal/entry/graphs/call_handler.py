"""Handling of callers' calls: accept jobs, return their state, cancel them.

A job is accepted once its row is stored. If the store does not answer, the row may
still be written, so the caller is never told that the job was not accepted.
"""

from eliot import log_message
from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import work
from samphiredeal.entry.graphs.first_tries import FirstTries
from samphiredeal.entry.graphs.in_doubt import InDoubtCalls
from samphiredeal.entry.graphs.relayed_states import RelayedStates
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
from samphiredeal.policy.graphs.state import CANCELLED, FINAL_STATES, QUEUED

# A probe is sent every 0.1 s, and a healthy store answers it within milliseconds.
_PROBE_TIMEOUT_S = 0.3
_PROBE_POLL_INTERVAL_S = 0.05
# The largest share of a caller's last time to spend on it, with the way to the entry
# and back: the rest is for a write.
_PROBE_TIME_SHARE = 0.5
# What the links and the processes at their ends take of a caller's time.
_LINKS_S = 0.015
# A store that is back would not take a write in less.
_PROBE_POLL_MIN_S = 0.005
# The largest share of a caller's time to spend on waiting for changes.
_WAIT_TIME_SHARE = 0.35
# How long a request for a running job's state is held, so that a completion which the
# worker already lists gets stored first. Callers often ask just then, and would poll
# again at once if they were told that the job is running.
_COMPLETION_WRITE_S = 0.25
# Bounds of the delay after which a refused caller should retry. The delay is the
# present length of the outage: short ones cost little time, and a few tries outlast
# a long one. Callers get it in whole seconds, so there is no shorter one.
_RETRY_AFTER_MIN_S = 1.0
_RETRY_AFTER_MAX_S = 4.0
# A caller with less time left has one or two tries left, and may find no entry up then.
_LAST_TRIES_S = 1.5
# What a caller's last try needs of its time.
_LAST_TRY_S = 0.3


class CallHandler:
    """Answers calls from the rows in memory and by writes to the store.

    `relay(call)` forwards a call to another entry while the store is unreachable from
    here; it returns a `JobAnswer`, or None if no entry can help.
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
        self._first_tries = FirstTries(clock)
        self._relayed_states = RelayedStates(clock)
        self._config_max_age_s = config_max_age_s
        self._relay = relay
        self._in_flight = 0

    @property
    def in_flight(self):
        """Number of calls being answered."""
        return self._in_flight

    async def answer(self, call):
        """Return the `JobAnswer` to a `Call`, and log the decision."""
        self._in_flight += 1
        began_at = self._clock.seconds()
        self._record_try(call)
        try:
            if not self._store_health.is_healthy:
                answer = await self._answer_without_store(call)
            else:
                answer = await self._answer_here(call)
                if answer.kind == answers.NOT_DONE:
                    relayed = await self._relay(
                        self._with_remaining_time(call, began_at)
                    )
                    answer = _prefer_relayed(call, answer, relayed)
            answer = self._in_doubt.correct(call, answer)
        finally:
            self._in_flight -= 1
        answer = self._within_time(answer, call, began_at)
        self._log_answer(call, answer, began_at)
        return answer

    async def answer_for_entry(self, call):
        """Return the answer to a call that another entry has forwarded.

        If the store doesn't respond promptly here either, refuse at once: the caller's
        time is short, and a write would probably remain in doubt.
        """
        began_at = self._clock.seconds()
        self._record_try(call)
        if self._store_health.is_prompt:
            self._in_flight += 1
            try:
                answer = await self._answer_here(call)
            finally:
                self._in_flight -= 1
        else:
            no_response_s = self._store_health.since_last_response_s
            reason = f"no response from the store for {no_response_s:.1f} s"
            answer = _not_done(reason, no_response_s)
        answer = self._in_doubt.correct(call, answer)
        self._log_answer(call, answer, began_at)
        return answer

    def _record_try(self, call):
        if call.verb == answers.SUBMIT:
            self._first_tries.record(call)

    async def _answer_without_store(self, call):
        """Answer by an entry that can reach the store, if any, else from memory."""
        began_at = self._clock.seconds()
        relayed = await self._relay(call)
        if relayed is not None and relayed.kind != answers.UNSETTLED:
            if relayed.kind == answers.STATE:
                self._relayed_states.record(_job_id(call), relayed.state)
            return relayed
        await self._wait_for_probe(call, began_at)
        answer = await self._answer_here(self._with_remaining_time(call, began_at))
        return _prefer_relayed(call, answer, relayed)

    def _with_remaining_time(self, call, began_at):
        """Return a call with `wait_s` reduced by the time spent so far."""
        spent_s = self._clock.seconds() - began_at
        return call._replace(wait_s=max(0.0, call.wait_s - spent_s))

    def _within_time(self, answer, call, began_at):
        """Return an answer that asks its caller to retry before its deadline."""
        if not answer.retry_after_s:
            return answer
        left_s = self._with_remaining_time(call, began_at).wait_s
        latest_s = max(_RETRY_AFTER_MIN_S, left_s - _LAST_TRY_S)
        delay_s = min(answer.retry_after_s, latest_s)
        return answer._replace(retry_after_s=delay_s)

    async def _wait_for_probe(self, call, began_at):
        """Wait for one more probe of the store if the caller has few tries left.

        A caller with more time is refused at once, and retries later.
        """
        if call.wait_s > _LAST_TRIES_S:
            return
        share_s = _PROBE_TIME_SHARE * call.wait_s - _LINKS_S
        wait_s = min(_PROBE_TIMEOUT_S, share_s)
        give_up_at = began_at + wait_s
        while self._lacks_current_rows():
            left_s = give_up_at - self._clock.seconds()
            if left_s <= _PROBE_POLL_MIN_S:
                return
            await deferLater(self._clock, min(_PROBE_POLL_INTERVAL_S, left_s))

    def _has_recent_rows(self):
        """Return whether states and counts may be told by the rows in memory.

        An entry that has just started may know the configuration before these rows.
        """
        return self._store_health.rows_age_s <= self._config_max_age_s

    def _lacks_current_rows(self):
        """Return whether the rows in memory are too old to serve calls by them."""
        too_old = self._store_health.config_age_s > self._config_max_age_s
        return too_old or not self._store_health.is_healthy

    async def _answer_here(self, call):
        queue, job_id, answer = self._route(call)
        if answer is None:
            answer = await self._serve(call, queue, job_id)
        return answer

    def _route(self, call):
        """Return (queue, job id, None), or (None, '', refusal)."""
        directory = self._operations.directory
        if directory is None:
            return None, "", _not_done("no configuration has been loaded yet")
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
        if call.verb == answers.GET_STATE and not self._has_recent_rows():
            age_s = self._store_health.rows_age_s
            reason = f"the system's rows were last confirmed {age_s:.1f} s ago"
            return _not_done(reason, age_s)
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
            self._first_tries.forget(call)
            return JobAnswer(answers.ACCEPTED)
        limit = self._operations.directory.operations.max_body_bytes
        if len(call.body) > limit:
            reason = f"body: {len(call.body)} bytes exceeds the limit of {limit}"
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
            accepted_ms=self._wall_ms() - round(self._first_tries.age_s(call) * 1000),
            spec=spec,
            advice=queue.advice,
        )
        key, value = work.job_key(job_id), records.encode(record)
        limit = self._table.limits.row_bytes
        if len(value) > limit:
            # The store would reject it, and this caller would wait for an answer.
            reason = f"job: {len(value)} bytes exceed the limit of {limit}"
            return JobAnswer(answers.MALFORMED, reason=reason)
        answer = await self._write_resolver.write(
            call, [Condition(key, 0)], [Put(key, value)]
        )
        if isinstance(answer, Committed | Conflict):
            self._first_tries.forget(call)
            return JobAnswer(answers.ACCEPTED)
        _log_not_stored(record, answer)
        return self._store_refusal(answer)

    async def _cancel(self, call, job_id):
        """Store the cancel, and then look for the job.

        The cancel also holds for a submission that the store applies later, which this
        entry may not know of.
        """
        if job_id not in self._view.cancels:
            key = work.cancel_key(job_id)
            answer = await self._write_resolver.write(
                call, [Condition(key, 0)], [Put(key, b"{}")]
            )
            if not isinstance(answer, Committed | Conflict):
                return self._store_refusal(answer)
        accepted = await self._check_accepted(job_id)
        if accepted is not True and accepted.kind == answers.NO_JOB:
            return accepted
        return JobAnswer(answers.CANCELLED)

    async def _report_state(self, call, job_id):
        accepted = await self._check_accepted(job_id)
        if accepted is not True:
            return accepted
        if self._view.is_running(job_id):
            wait_s = min(_COMPLETION_WRITE_S, _WAIT_TIME_SHARE * call.wait_s)
            await self._view.wait_until_ended(job_id, wait_s)
        state = self._view.state_of(job_id)
        if state is None:
            # Accepted by another entry and not received yet, or not readable.
            return await self._read_state(job_id)
        state = self._relayed_states.furthest(job_id, state)
        return JobAnswer(answers.STATE, state=state)

    async def _read_state(self, job_id):
        """Return the answer with a job's state as it is in the store.

        The cancel is read first: an end that is stored after a cancel is a cancelled
        one, so no later state can be missed between the two.
        """
        cancel = await self._table.read(work.cancel_key(job_id))
        progress = await self._table.read(work.progress_key(job_id))
        for row in (cancel, progress):
            if not isinstance(row, Row):
                return _not_done(f"no answer from the store: {row.reason}")
        state = QUEUED
        if progress.version:
            try:
                state = records.decode(progress.value, records.Progress).state
            except ValueError as error:
                return _not_done(f"{progress.key} cannot be read: {error}")
        elif self._view.is_held(job_id):
            return _not_done(self._view.unreadable.reason_for(job_id))
        if cancel.version and state not in FINAL_STATES:
            state = CANCELLED
        return JobAnswer(answers.STATE, state=state)

    async def _check_accepted(self, job_id):
        """Return True if the job is accepted, else the answer to the call.

        A job that is not in memory may just have been accepted by another entry.
        """
        if job_id in self._view.jobs:
            return True
        row = await self._table.read(work.job_key(job_id))
        if not isinstance(row, Row):
            return _not_done(f"no answer from the store: {row.reason}")
        if not row.version:
            return JobAnswer(answers.NO_JOB, reason="no such job")
        return True

    def _store_refusal(self, answer):
        """Return the answer to a call whose write the store did not confirm."""
        if answer.not_applied:
            reason = f"the store rejects writes: {answer.reason}"
            return _not_done(reason, self._store_health.rows_age_s)
        reason = f"no answer from the store: {answer.reason}"
        wait_s = _retry_after_s(self._store_health.rows_age_s)
        return JobAnswer(answers.UNSETTLED, reason=reason, retry_after_s=wait_s)

    def _state_version(self, call, answer):
        """Return the version of the row here that says the state, or 0 if none does.

        Of a state that another entry gave, that one logs the version.
        """
        job_id = _job_id(call)
        if answer.kind != answers.STATE or answer.state != self._view.state_of(job_id):
            return 0
        return self._view.version_of_state(job_id)

    def _log_answer(self, call, answer, began_at):
        log_message(
            message_type="call_answered",
            verb=call.verb,
            host=call.host,
            path=call.path[:120],
            answer=answer.kind,
            state=answer.state,
            state_version=self._state_version(call, answer),
            rows_age_s=round(self._store_health.rows_age_s, 3),
            reason=answer.reason[:200],
            retry_after_s=answer.retry_after_s,
            patience_s=round(call.wait_s, 3),
            config_version=self._operations.version,
            config_age_s=round(self._store_health.config_age_s, 3),
            took_ms=round((self._clock.seconds() - began_at) * 1000, 1),
        )


def _job_id(call):
    """Return the last part of a call's path."""
    return call.path.rpartition("/")[2]


def _log_not_stored(record, answer):
    """Log what a job would have been that is not known to be stored."""
    log_message(
        message_type="job_not_stored",
        job=record.id,
        queue=record.queue,
        priority=record.priority,
        work_core_s=round(
            sum(
                step.count * step.shape.cores * step.estimate_ms / 1000
                for step in record.spec.steps
            ),
            3,
        ),
        reason=answer.reason[:200],
    )


def _prefer_relayed(call, answer, relayed):
    """Return the relayed answer, if any, where this entry's own is not definite.

    So a call is refused only if neither entry can have applied it.
    """
    if relayed is None or answers.is_definite(call, answer, relayed):
        return answer
    return relayed


def _not_done(reason, outage_s=0.0):
    """Return a refusal with the time after which to retry."""
    wait_s = _retry_after_s(outage_s)
    return JobAnswer(answers.NOT_DONE, reason=reason, retry_after_s=wait_s)


def _retry_after_s(outage_s):
    """Return after how many seconds a caller should retry."""
    return min(max(outage_s, _RETRY_AFTER_MIN_S), _RETRY_AFTER_MAX_S)
