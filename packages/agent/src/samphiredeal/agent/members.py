"""Manage the gang members on a worker.

A gang starts in two steps. *Reserve* holds capacity for a short time and is
answered with a permit; *start* must carry that permit. Members then run under
the lease that the agent's heartbeats renew. A completion is reported repeatedly
until the scheduler acknowledges it.
"""

import msgspec
from twisted.internet.defer import ensureDeferred

from samphiredeal.model import verdict
from samphiredeal.model.shape import NOTHING, Shape
from samphiredeal.wire.messages import (
    AgentReport,
    MemberRefused,
    MembersEnded,
    Reserve,
    Reserved,
    Started,
)

HELD = "held"
RUNNING = "running"
STOPPING = "stopping"
DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
NEVER_STARTED = "never-started"
TERMINAL_STATES = (DONE, FAILED, STOPPED, NEVER_STARTED)

# A reservation expires if its start is not received within this time.
RESERVATION_S = 3.0
ENDED_RETENTION_S = 600.0


class Attempt:
    """The members of one attempt on this worker."""

    def __init__(self, reserve, job, now):
        self.id = reserve.attempt
        self.job = job
        self.count = reserve.count
        self.shape = Shape(*job["shape"]).times(reserve.count)
        self.state = HELD
        self.permit = 0
        self.changed_at = now
        self.detail = ""
        self.progress_s = 0.0
        self.acknowledged = False

    @property
    def holds_capacity(self):
        """Whether the members occupy or reserve capacity on the worker."""
        return self.state not in TERMINAL_STATES


class MemberManager:
    """Reserve capacity for attempts on one worker, start and stop them.

    `runtime` has ``start(attempt_id, job, count)`` and ``stop(attempt_id,
    checkpoint, grace_s)``. Each returns a Deferred; that of `stop` fires with the
    seconds of work that the checkpoint preserves. `notify(message)` sends to the
    scheduler. `gate()` returns a reason to refuse all new work, or None.
    """

    def __init__(self, clock, permits, capacity, runtime, notify, gate):
        self._clock = clock
        self._permits = permits
        self._capacity = capacity
        self._runtime = runtime
        self._notify = notify
        self._gate = gate
        self._attempts = {}
        self._epoch = 0

    @property
    def epoch(self):
        """The highest scheduler epoch seen."""
        return self._epoch

    @property
    def idle(self):
        """Whether no member holds capacity."""
        return not any(attempt.holds_capacity for attempt in self._attempts.values())

    @property
    def running(self):
        """The ids of the attempts with running members."""
        return [a.id for a in self._attempts.values() if a.state == RUNNING]

    def observe_epoch(self, epoch):
        """Record a scheduler's epoch; report all attempts to a newer scheduler."""
        if epoch > self._epoch:
            self._epoch = epoch
            self.report()

    def report(self):
        """Send the scheduler all attempts, including those that have ended."""
        attempts = [
            {
                "attempt": a.id,
                "job": a.job,
                "count": a.count,
                "state": a.state,
                "detail": a.detail,
                "progress_s": a.progress_s,
            }
            for a in self._attempts.values()
            if a.count
        ]
        self._notify(AgentReport(self._epoch, msgspec.json.encode(attempts)))

    def on_reserve(self, message, revision):
        """Hold capacity for members, or refuse."""
        self.observe_epoch(message.epoch)
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            reason = self._refusal_reason(message, revision) or self._capacity_shortage(
                message
            )
            if reason is not None:
                self._refuse(message.attempt, reason)
                return
            job = msgspec.json.decode(message.job)
            attempt = Attempt(message, job, self._clock.seconds())
            attempt.permit = self._permits.issue()
            self._attempts[attempt.id] = attempt
        if attempt.state == HELD:
            self._notify(Reserved(attempt.id, attempt.permit))
        else:
            self._send_state(attempt)

    def on_start(self, message, revision):
        """Start members whose capacity is held, or refuse."""
        self.observe_epoch(message.epoch)
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            self._refuse(message.attempt, verdict.RESERVATION_EXPIRED)
            return
        if attempt.state != HELD:
            self._send_state(attempt)
            return
        reason = self._refusal_reason(message, revision)
        if reason is None and attempt.permit != message.permit:
            reason = verdict.STALE_PERMIT
        if reason is None and not self._permits.is_fresh(
            message.permit, message.confirm_age_ms
        ):
            reason = verdict.STALE_PERMIT
        if reason is not None:
            self._complete(attempt, NEVER_STARTED, reason.code)
            self._refuse(attempt.id, reason)
            return
        self._set_state(attempt, RUNNING)
        ensureDeferred(self._start(attempt))

    def on_stop(self, message):
        """Stop members, with a checkpoint if requested."""
        if message.epoch < self._epoch:
            return
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            self._add_tombstone(message.attempt)
        else:
            self.stop(attempt, message.checkpoint, message.grace_ms / 1000)

    def on_ended_ack(self, attempt_id):
        """Stop reporting the completion of an attempt."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None and not attempt.holds_capacity:
            attempt.acknowledged = True

    def on_task_ended(self, attempt_id, succeeded, detail):
        """Record that the members of an attempt have ended."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None and attempt.state == RUNNING:
            self._complete(attempt, DONE if succeeded else FAILED, detail)

    def stop(self, attempt, checkpoint, grace_s):
        """Stop the members of an attempt or release its reservation."""
        if attempt.state == HELD:
            self._complete(attempt, NEVER_STARTED, "stopped before its start")
        elif attempt.state == RUNNING:
            self._set_state(attempt, STOPPING)
            ensureDeferred(self._stop(attempt, checkpoint, grace_s))
        elif not attempt.holds_capacity:
            self._send_state(attempt)

    def stop_all(self):
        """Stop all attempts because the lease has expired."""
        for attempt in list(self._attempts.values()):
            if attempt.holds_capacity:
                self.stop(attempt, False, 0.0)

    def tick(self):
        """Expire reservations, repeat completions and delete old attempts."""
        now = self._clock.seconds()
        for attempt in list(self._attempts.values()):
            age = now - attempt.changed_at
            if attempt.state == HELD and age > RESERVATION_S:
                self._complete(attempt, NEVER_STARTED, verdict.RESERVATION_EXPIRED.code)
            elif not attempt.holds_capacity and not attempt.acknowledged:
                self._send_state(attempt)
            elif not attempt.holds_capacity and age > ENDED_RETENTION_S:
                del self._attempts[attempt.id]

    def _refusal_reason(self, message, revision):
        """Return the reason to refuse a message, or None."""
        if message.epoch < self._epoch:
            return verdict.STALE_EPOCH
        if message.revision < revision:
            return verdict.STALE_REVISION
        return self._gate()

    def _capacity_shortage(self, reserve):
        job = msgspec.json.decode(reserve.job)
        required = Shape(*job["shape"]).times(reserve.count)
        used = NOTHING
        for attempt in self._attempts.values():
            if attempt.holds_capacity:
                used = used.plus(attempt.shape)
        if required.accelerators > self._capacity.accelerators - used.accelerators:
            return verdict.WORKER_FULL
        return None

    def _add_tombstone(self, attempt_id):
        """Record that an attempt that was never received must not start later."""
        completion = MembersEnded(attempt_id, NEVER_STARTED, "never arrived", 0.0)
        job = {"shape": list(NOTHING)}
        reserve = Reserve(attempt_id, b"", 0, 0, 0, 0)
        attempt = Attempt(reserve, job, self._clock.seconds())
        attempt.state = NEVER_STARTED
        attempt.acknowledged = True
        self._attempts[attempt_id] = attempt
        self._notify(completion)

    async def _start(self, attempt):
        try:
            await self._runtime.start(attempt.id, attempt.job, attempt.count)
        except Exception as error:
            if attempt.state == RUNNING:
                self._complete(attempt, FAILED, f"start: {error}"[:200])
            return
        if attempt.state == RUNNING:
            self._notify(Started(attempt.id))

    async def _stop(self, attempt, checkpoint, grace_s):
        try:
            kept_s = await self._runtime.stop(attempt.id, checkpoint, grace_s)
        except Exception as error:
            self._complete(attempt, STOPPED, f"stop: {error}"[:200])
            return
        attempt.progress_s = kept_s
        self._complete(attempt, STOPPED, "")

    def _set_state(self, attempt, state):
        attempt.state = state
        attempt.changed_at = self._clock.seconds()

    def _complete(self, attempt, state, detail):
        attempt.detail = detail
        self._set_state(attempt, state)
        self._send_state(attempt)

    def _send_state(self, attempt):
        if attempt.state == RUNNING:
            self._notify(Started(attempt.id))
        elif not attempt.holds_capacity:
            self._notify(
                MembersEnded(
                    attempt.id, attempt.state, attempt.detail, attempt.progress_s
                )
            )

    def _refuse(self, attempt_id, reason):
        self._notify(MemberRefused(attempt_id, reason.code, reason.text))
