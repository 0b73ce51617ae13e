"""Apply the scheduler's orders to the worker and track the runs there.

A run is reported as refused only if it has certainly not begun. Until then it is
reported as pending.

The worker's incarnation is the one that answers: heartbeats are claims (`claims.py`),
and an incarnation is present once a call that names it is answered with its start time.
It is reported as ended only if its lease has certainly expired. What became of the
runs of one that was replaced is for the scheduler to settle with the next one.
docs/PROOFS.md lists the proofs.

A start without an answer may still take effect until its own deadline on the
worker's clock has passed. Once a stop is acknowledged, the worker refuses to start
that run, so a run that is not listed afterwards has been stopped.
"""

from eliot import log_message, write_traceback
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.agent.graphs.claims import Claim, Claims
from samphiredeal.agent.graphs.lease_expiry import OBSERVE_INTERVAL_S, LeaseExpiry
from samphiredeal.agent.graphs.progress import ProgressTracker
from samphiredeal.model import runs
from samphiredeal.model.runs import Refused, Report, RunId, Running, life_name
from samphiredeal.model.timing import MAX_CLOCK_SLOWDOWN
from samphiredeal.platform.executor import PollResult, Started
from samphiredeal.platform.table import Unavailable

# A poll blocks for up to this long until a run completes. It also sets how often
# leases are extended and progress is reported.
POLL_WAIT_S = 0.8
# Wait while leases may not be extended, so that they are extended promptly once the
# authority to do so returns.
_UNAUTHORIZED_WAIT_S = 0.1
# Wait while a run is stalled. A task of 2 s that was started on a worker that hangs
# can still finish in time on another worker if the stall is detected within 0.5 s.
_STALLED_WAIT_S = 0.25
# Delays after a start of the extra polls that run beside the blocking poll.
_EARLY_POLL_DELAYS_S = (0.25, 0.5, 0.75)
# The worker refuses a start that it has not accepted within this time as too late.
START_VALID_S = 2.5
# A start without an answer is retried after START_TIMEOUT_S and abandoned after
# _START_GIVE_UP_S. Starts are idempotent, so retries are safe.
START_TIMEOUT_S = 0.5
_START_GIVE_UP_S = 1.3
# A worker on the same VM answers within milliseconds or not at all.
_STOP_TIMEOUT_S = 0.4
_RETRY_S = 0.15
# The worker counts as absent after this many consecutive refused connections.
_ABSENT_AFTER_REFUSED_CONNECTIONS = 2
# An extension of the lease, if the worker allows as much. Lasting work has to run again
# 9 s after it is lost with its worker, and only the expired lease shows the loss.
_EXTENSION_S = 6.0
# Successive heartbeats after which one that was not believed is, and after which a
# worker that has announced to leave is believed to stay: late ones say so, too.
_CONFIRMED_AFTER = 2
_STAYING_AFTER = 4
# A worker may deregister this much before its announced time is over here.
_FAREWELL_MARGIN_S = 0.1
# Polls extend the lease for this long after the last answer. Answers may be lost for a
# moment; a lease that is extended without end would never show that its runs are over.
_EXTEND_UNANSWERED_S = 2.5
# Allowance for rounding and for the transmission of an order, added to its deadline.
_DEADLINE_MARGIN_S = 0.1
# How long after its first try a start may take effect, by this VM's clock.
_START_EFFECT_S = START_VALID_S / (1 - MAX_CLOCK_SLOWDOWN) + _DEADLINE_MARGIN_S
# After these answers to a start, no earlier try of it can take effect any more: the
# worker knows the run or a newer scheduler, or the deadline of all tries has passed.
_FINAL_FOR_ALL_TRIES = (runs.OLD_RUN, runs.TOO_LATE, runs.STALE_EPOCH)
# Pauses between polls. The first batches completions that occur close together into
# one report.
_COMPLETIONS_PAUSE_S = 0.06
_POLL_PAUSE_S = 0.01


class _PendingStart:
    """A start order whose outcome is unknown.

    `life` is the incarnation of the worker that it was decided for. `expires_at` bounds
    its effect by this VM's clock, and `deadline_ms`, if it is known, by the worker's,
    which stops while the VM is suspended. `refusal` is the reason of a refusal that
    does not prove by itself that the run has not begun; a poll sent after `refused_at`,
    or a stop, decides.
    """

    def __init__(self, order, life, began_at):
        self.order = order
        self.life = life
        self.began_at = began_at
        self.expires_at = None
        self.deadline_ms = 0
        self.refusal = ""
        self.refused_at = None


class _PendingStop:
    """A stop whose effect is not confirmed by a poll yet.

    `epoch` is that of the scheduler that has ordered it, or None if this agent has
    decided it, to settle a start.
    """

    def __init__(self, epoch):
        self.epoch = epoch
        self.answered_at = None


class Departure:
    """What an incarnation has said of its own end, and whether it has come.

    A worker that leaves announces for how long it stays at least, deregisters after
    that, and exits. Each of these may come from another process, so all have to hold,
    and its address has to refuse connections afterwards.
    """

    def __init__(self):
        self._life = ""
        self._due_at = float("inf")
        self._deregistered_at = None

    def announce(self, facts, now):
        """Record what a believed heartbeat says of leaving."""
        if not facts.leaving:
            self._life = ""
        elif self._life != facts.life:
            self._life = facts.life
            self._due_at = now + facts.leaving_in_ms / 1000
            self._deregistered_at = None

    def deregister(self, worker_id, now):
        """Record that a worker has deregistered; ignore it before its time."""
        is_named = self._life.startswith(f"{worker_id}/")
        if is_named and now >= self._due_at - _FAREWELL_MARGIN_S:
            self._deregistered_at = now

    def record_answer(self, began_at):
        """Record that the worker has answered a call that was sent at this time."""
        if self._deregistered_at is not None and began_at > self._deregistered_at:
            # Another process has sent the message.
            self._deregistered_at = None

    def is_complete(self, life):
        """Return whether an incarnation has announced its end and deregistered."""
        return bool(life) and life == self._life and self._deregistered_at is not None


class RunManager:
    """Manage the runs of one worker; call `on_change()` when a report is due."""

    def __init__(self, clock, calls, authority, lease_max_s, on_change):
        self._clock = clock
        self._calls = calls
        self._authority = authority
        self._extension_s = min(lease_max_s, _EXTENSION_S)
        self._on_change = on_change
        # The incarnation that is present, as its heartbeats describe it.
        self._facts = None
        self._sequence = -1
        # A heartbeat of it that is not believed unless the next one confirms it.
        self._doubted = None
        self._doubted_count = 0
        self._claims = Claims()
        self._probed = set()
        self._worker_clock = None
        # The worker's clock at the first answer of the incarnation that is present.
        self._first_clock_ms = None
        self._last_poll = None
        self._poll_count = 0
        self._poll_sent_at = self._polled_at = clock.seconds()
        self._completions_recorded = 0
        # The incarnation that the orders and runs known here belong to. It may be
        # absent for a while.
        self._known_incarnation = ""
        self._ended_incarnation = ""
        self._lease_expiry = LeaseExpiry(clock, lease_max_s, self._extension_s)
        self._expiry_timer = None
        self._departure = Departure()
        self._refused_connections = 0
        self._is_poll_failing = False
        self._pending_starts = {}
        self._acknowledged_starts = {}
        self._pending_stops = {}
        self._refused = {}
        self._stopped = False
        self._extending = None
        self._ignored_heartbeat = None
        # The last failure of a poll, "" while polls are answered.
        self._poll_failure = ""
        self._progress = ProgressTracker()
        self._scheduled_polls = set()
        # Until then, starts sent by an earlier process of this agent may take effect.
        self._earlier_starts_expire_at = clock.seconds() + _START_EFFECT_S

    @property
    def facts(self):
        """The `WorkerFacts` of the incarnation that is present, or None."""
        return self._facts

    @property
    def is_end_awaited(self):
        """Whether the worker is absent, and its lease may not have expired yet."""
        return self._facts is None and bool(self._known_incarnation)

    @property
    def _is_answering(self):
        """Whether the incarnation that is present has answered lately."""
        silent_s = self._clock.seconds() - self._polled_at
        return self._facts is not None and silent_s < _EXTEND_UNANSWERED_S

    def report(self):
        """Return a `Report` of the current state."""
        listed = set()
        running, ended = (), ()
        if self._last_poll is not None:
            running = tuple(
                self._progress.with_stall(one) for one in self._last_poll.running
            )
            ended = tuple(
                completion
                for completion in self._last_poll.ended
                if completion.number > self._completions_recorded
            )
            listed = {(one.task, one.run) for one in (*running, *ended)}
        unlisted = tuple(
            Running(run.task, run.run, "", 0)
            for run in self._acknowledged_starts
            if run not in listed
        )
        return Report(
            self._facts,
            self._ended_incarnation,
            self._poll_count,
            int((self._clock.seconds() - self._polled_at) * 1000),
            running + unlisted,
            ended,
            tuple(Refused(*run, reason) for run, reason in self._refused.items()),
            tuple(self._pending_starts),
            self._last_poll is None or self._last_poll.complete,
        )

    # Worker status

    def record_heartbeat(self, facts, sequence):
        """Process a heartbeat; ignore a late one of the incarnation that is present."""
        present = self._facts
        if present is None or facts.life != present.life:
            if self._claims.add(facts, sequence):
                self._spawn(self._probe(facts))
            return
        if not self._is_believed(facts, sequence):
            return
        self._sequence = sequence
        if facts.leaving and not present.leaving:
            log_message(
                message_type="worker_leaving",
                life=facts.life,
                left_ms=facts.leaving_in_ms,
            )
        self._departure.announce(facts, self._clock.seconds())
        self._facts = facts
        if facts != present:
            self._on_change()

    def record_farewell(self, worker_id):
        """Process the message with which a worker deregisters as it exits."""
        self._departure.deregister(worker_id, self._clock.seconds())
        if self._facts is None:
            self._end_departed_incarnation()

    def _is_believed(self, facts, sequence):
        """Return whether to believe a heartbeat of the incarnation that is present.

        One that is out of sequence is late, and one that describes another worker comes
        from another writer. If the next ones go on from there, the one that was
        believed before was foreign.
        """
        described_alike = _constants(facts) == _constants(self._facts)
        if described_alike and sequence > self._sequence:
            self._doubted = None
            return True
        before, self._doubted = self._doubted, Claim(facts, sequence)
        goes_on = (
            before is not None
            and sequence > before.sequence
            and _constants(facts) == _constants(before.facts)
        )
        self._doubted_count = self._doubted_count + 1 if goes_on else 1
        is_staying = self._facts.leaving and not facts.leaving
        if self._doubted_count >= (_STAYING_AFTER if is_staying else _CONFIRMED_AFTER):
            self._doubted = None
            return True
        if not described_alike:
            self._log_ignored(facts, "it describes another worker")
        return False

    async def _probe(self, facts):
        """Poll a claimed incarnation; return its `PollResult` or an `Unavailable`."""
        if facts.life in self._probed:
            return Unavailable("it is being polled already")
        self._probed.add(facts.life)
        began_at = self._clock.seconds()
        try:
            answer = await self._calls.poll(
                self._authority.epoch, 0, None, 0.0, facts.id
            )
        finally:
            self._probed.discard(facts.life)
        if isinstance(answer, PollResult):
            self._apply_answer(facts.id, answer, began_at)
            answered_by = life_name(facts.id, answer.born_ms)
            if answered_by != facts.life:
                self._refute(facts, f"{answered_by} answers to its id")
        elif answer.misdirected:
            self._refute(facts, answer.reason)
        return answer

    async def _probe_claims(self):
        """Poll the claimed incarnations until one is present or nobody answers."""
        for claim in self._claims.newest_first:
            answer = await self._probe(claim.facts)
            is_answered = isinstance(answer, PollResult) or answer.misdirected
            if self._facts is not None or not is_answered:
                return

    def _refute(self, facts, reason):
        """Drop a claim."""
        self._claims.pop(facts.id, facts.born_ms)
        self._log_ignored(facts, reason)

    def _log_ignored(self, facts, reason):
        """Log the first of successive heartbeats that are ignored alike."""
        present = self._facts.life if self._facts is not None else ""
        ignored = (facts.life, present, reason)
        if ignored != self._ignored_heartbeat:
            self._ignored_heartbeat = ignored
            log_message(
                message_type="heartbeat_ignored",
                life=facts.life,
                present=present,
                reason=reason,
            )

    def _apply_answer(self, worker_id, poll, began_at):
        """Process an answer to a poll that was sent to `worker_id` at `began_at`."""
        present = self._facts
        if present is not None:
            if life_name(worker_id, poll.born_ms) == present.life:
                self._apply_poll(poll, began_at)
                return
            if began_at < self._polled_at:
                # The incarnation that is present may have replaced this one.
                return
        claim = self._claims.pop(worker_id, poll.born_ms)
        if claim is not None:
            self._adopt(claim)
            self._apply_poll(poll, began_at)
        elif present is not None:
            # Its heartbeat will describe it.
            self._lose_worker(f"{life_name(worker_id, poll.born_ms)} answers")

    def _adopt(self, claim):
        """Make the incarnation that has answered the one that is present.

        The scheduler learns from the next report if it is another one than before. It
        has the runs stopped that this one does not list, since a start in flight may
        still reach it.
        """
        self._facts, self._sequence = claim
        self._departure.announce(self._facts, self._clock.seconds())
        self._doubted = None
        life = self._facts.life
        if self._known_incarnation != life:
            log_message(
                message_type="worker_life", life=life, before=self._known_incarnation
            )
            if self._known_incarnation:
                log_message(
                    message_type="worker_replaced",
                    life=life,
                    before=self._known_incarnation,
                    starts_in_doubt=len(self._pending_starts),
                )
            if self._known_incarnation.startswith(f"{self._facts.id}/"):
                self._lease_expiry.record_next_life()
            self._known_incarnation = life
            self._completions_recorded = 0
            self._forget_orders()
        self._ended_incarnation = ""
        self._worker_clock = None
        self._first_clock_ms = None
        self._last_poll = None

    def _lose_worker(self, reason):
        """Stop using the incarnation that is present until it answers again.

        This says nothing about its runs.
        """
        log_message(
            message_type="worker_absent",
            life=self._facts.life,
            reason=reason,
            starts_in_doubt=len(self._pending_starts),
        )
        self._claims.add_former(self._facts, self._sequence)
        self._facts = None
        self._last_poll = None
        self._watch_expiry()
        self._end_departed_incarnation()
        self._on_change()

    def _watch_expiry(self):
        """Count the time until the lease has expired while nobody answers."""
        if self._expiry_timer is None:
            self._lease_expiry.resume()
            self._expiry_timer = self._clock.callLater(
                OBSERVE_INTERVAL_S, self._observe_expiry
            )

    def _observe_expiry(self):
        self._expiry_timer = None
        if self._stopped or self._is_answering or not self._known_incarnation:
            return
        self._lease_expiry.observe()
        self._end_expired_incarnation()
        if self._known_incarnation:
            self._expiry_timer = self._clock.callLater(
                OBSERVE_INTERVAL_S, self._observe_expiry
            )

    def _end_expired_incarnation(self):
        """Report an incarnation that does not answer as ended without a lease."""
        if not self._lease_expiry.is_expired(self._has_starts_in_doubt):
            return
        if self._facts is not None:
            self._lose_worker("it has not answered until its lease had expired")
        self._end_incarnation("its lease has expired")

    @property
    def _has_starts_in_doubt(self):
        """Whether a start may have been, or may be, carried out unseen."""
        return bool(self._pending_starts or self._acknowledged_starts)

    def _end_departed_incarnation(self):
        """Report an incarnation as ended that has left as it announced.

        A start in doubt may be carried out by the next one.
        """
        is_refusing = self._refused_connections >= _ABSENT_AFTER_REFUSED_CONNECTIONS
        is_gone = self._departure.is_complete(self._known_incarnation)
        if is_refusing and is_gone and not self._has_starts_in_doubt:
            self._end_incarnation("it has left as announced and refuses connections")

    def _end_incarnation(self, evidence):
        life = self._known_incarnation
        log_message(message_type="worker_gone", life=life, evidence=evidence)
        self._ended_incarnation = life
        self._known_incarnation = ""
        self._forget_orders()
        self._on_change()

    def _forget_orders(self):
        for entries in (
            self._pending_starts,
            self._acknowledged_starts,
            self._pending_stops,
            self._refused,
        ):
            entries.clear()
        self._progress.clear()

    # Orders of the scheduler

    def apply_orders(self, orders):
        """Apply `Orders` of the newest scheduler."""
        for run in orders.refusals_seen:
            self._refused.pop(run, None)
        if self._facts is None or orders.life != self._facts.life:
            if orders.starts:
                log_message(
                    message_type="orders_for_another_life",
                    life=orders.life,
                    present=self._facts.life if self._facts else "",
                )
            return
        self._completions_recorded = max(
            self._completions_recorded, orders.ends_recorded
        )
        for order in orders.starts:
            self._begin_start(order)
        for run in orders.stops:
            self._begin_ordered_stop(run)

    def _begin_start(self, order):
        run = RunId(order.task, order.run)
        tracked = (
            self._pending_starts,
            self._acknowledged_starts,
            self._pending_stops,
            self._refused,
        )
        if any(run in entries for entries in tracked):
            return
        if self._is_listed(run):
            self._on_change()
            return
        start = _PendingStart(order, self._facts.life, self._clock.seconds())
        if self._facts.leaving:
            self._refuse_unsent(run, start, runs.LEAVING)
            return
        if not self._authority.authorized or self._worker_clock is None:
            self._refuse_unsent(run, start, runs.UNHEALTHY)
            return
        self._pending_starts[run] = start
        self._spawn(self._start(run, start))

    def _refuse_unsent(self, run, start, reason):
        """Refuse a start that this process has not sent.

        An earlier process of this agent may have sent it; a stop, or a poll sent after
        that one's starts have expired, decides.
        """
        poll, expire_at = self._last_poll, self._earlier_starts_expire_at
        if poll is not None and poll.complete and self._poll_sent_at > expire_at:
            self._refuse(run, reason)
            return
        start.refusal, start.expires_at = reason, expire_at
        self._pending_starts[run] = start
        if poll is not None:
            self._begin_stop(run)

    async def _start(self, run, start):
        deadline_ms = self._worker_now_ms() + int(START_VALID_S * 1000)
        start.deadline_ms = deadline_ms
        began_at, epoch = start.began_at, self._authority.epoch
        # Whether no earlier try can take effect any more.
        is_only_try = began_at >= self._earlier_starts_expire_at
        while self._is_current(run, start):
            if run in self._pending_stops:
                break
            obstacle = self._obstacle_to(start)
            if obstacle:
                if is_only_try:
                    self._start_refused(run, start, obstacle, is_only_try)
                    return
                break
            self._lease_expiry.record_start()
            answer = await self._calls.start(
                start.order, epoch, deadline_ms, START_TIMEOUT_S, self._facts.id
            )
            if not self._is_current(run, start):
                if is_only_try:
                    self._resolve_start_to_absent_worker(run, start, answer)
                break
            if isinstance(answer, Started):
                del self._pending_starts[run]
                self._acknowledged_starts[run] = self._clock.seconds()
                self._schedule_early_polls()
                self._log_start(run, start, "started")
                self._on_change()
                return
            overdue = self._clock.seconds() - began_at > _START_GIVE_UP_S
            if isinstance(answer, Refused):
                if answer.reason != runs.UNHEALTHY or (overdue and is_only_try):
                    self._start_refused(run, start, answer.reason, is_only_try)
                    return
            else:
                is_only_try = is_only_try and answer.not_applied
            if overdue and is_only_try:
                # No try has reached the worker.
                self._start_refused(run, start, runs.UNANSWERED, is_only_try)
                return
            if overdue:
                break
            await deferLater(self._clock, _RETRY_S)
        if self._pending_starts.get(run) is start:
            self._log_start(run, start, "unanswered")
            start.expires_at = began_at + _START_EFFECT_S
            self._on_change()

    def _obstacle_to(self, start):
        """Return the reason not to try a start now, or an empty string.

        Since the last try, the worker may have announced to leave, and this VM may have
        been suspended for longer than a decision of the scheduler holds.
        """
        if self._facts.leaving:
            return runs.LEAVING
        is_overdue = self._clock.seconds() - start.began_at > _START_GIVE_UP_S
        return runs.UNANSWERED if is_overdue else ""

    def _is_current(self, run, start):
        """Return whether a start is pending for the worker's present incarnation."""
        facts = self._facts
        is_pending = self._pending_starts.get(run) is start
        return is_pending and facts is not None and facts.life == start.life

    def _resolve_start_to_absent_worker(self, run, start, answer):
        """Drop a start if it has had no effect; the scheduler may send it again."""
        is_unresolved = self._pending_starts.get(run) is start
        had_no_effect = isinstance(answer, Refused) or (
            isinstance(answer, Unavailable) and answer.not_applied
        )
        if is_unresolved and had_no_effect:
            del self._pending_starts[run]
            self._on_change()

    def _start_refused(self, run, start, reason, is_only_try):
        """Process a refusal, which says nothing about earlier tries of the start.

        A worker answers `OLD_RUN` also if an earlier try, perhaps of an earlier process
        of this agent, has been carried out and the run has ended.
        """
        self._log_start(run, start, reason)
        if is_only_try and reason != runs.OLD_RUN:
            del self._pending_starts[run]
            self._refuse(run, reason)
            return
        start.refusal = reason
        start.refused_at = self._clock.seconds()
        if reason in _FINAL_FOR_ALL_TRIES:
            self._schedule_poll(_POLL_PAUSE_S)
        else:
            self._begin_stop(run)
        self._on_change()

    def _log_start(self, run, start, outcome):
        log_message(
            message_type="run_start",
            task=run.task,
            run=run.run,
            epoch=self._authority.epoch,
            life=start.life,
            outcome=outcome,
            took_ms=round((self._clock.seconds() - start.began_at) * 1000, 1),
        )

    def _refuse(self, run, reason):
        self._refused[run] = reason
        self._on_change()

    def _begin_ordered_stop(self, run):
        """Begin a stop that the newest scheduler orders."""
        self._drop_outdated_stop(run)
        self._begin_stop(run, self._authority.epoch)

    def _begin_stop(self, run, epoch=None):
        if run in self._pending_stops or run in self._refused:
            return
        stop = self._pending_stops[run] = _PendingStop(epoch)
        self._spawn(self._stop(run, stop))

    def _drop_outdated_stop(self, run):
        """Drop a stop without an answer whose scheduler has been replaced.

        The next scheduler does not know of it, and may count on the run.
        """
        stop = self._pending_stops.get(run)
        if stop is None or stop.epoch is None or stop.answered_at is not None:
            return
        if stop.epoch < self._authority.epoch:
            del self._pending_stops[run]
            log_message(
                message_type="run_stop_dropped",
                task=run.task,
                run=run.run,
                epoch=stop.epoch,
                newest=self._authority.epoch,
            )

    async def _stop(self, run, stop):
        while self._pending_stops.get(run) is stop and not self._stopped:
            self._drop_outdated_stop(run)
            if run not in self._pending_stops:
                return
            facts = self._facts
            answer = None
            if facts is not None:
                answer = await self._calls.stop(
                    run, self._authority.epoch, _STOP_TIMEOUT_S, facts.id
                )
            if answer is True:
                stop.answered_at = self._clock.seconds()
                log_message(message_type="run_stop", task=run.task, run=run.run)
                self._schedule_poll(_POLL_PAUSE_S)
                return
            await deferLater(self._clock, _RETRY_S)

    def _is_listed(self, run):
        poll = self._last_poll
        if poll is None:
            return False
        return any((one.task, one.run) == run for one in (*poll.running, *poll.ended))

    # Polling the worker

    def stop(self):
        """Stop polling after the current poll."""
        self._stopped = True

    async def poll_worker(self):
        """Poll the worker and extend its lease until stopped."""
        while not self._stopped:
            try:
                pause_s = await self._poll_once()
            except Exception:
                write_traceback()
                pause_s = _RETRY_S
            if pause_s:
                await deferLater(self._clock, pause_s)

    async def _poll_once(self):
        """Poll once; return the pause before the next poll in seconds."""
        facts = self._facts
        if facts is None:
            await self._probe_claims()
            # The report that names the worker goes out before its lease is extended.
            return _RETRY_S if self._facts is None else _POLL_PAUSE_S
        authorized = self._authority.authorized
        self._log_authority_change(authorized)
        wait_s = self._poll_wait_s() if authorized else _UNAUTHORIZED_WAIT_S
        began_at = self._clock.seconds()
        deadline_ms = None
        if authorized and self._is_answering:
            deadline_ms = self._worker_now_ms() + int(self._extension_s * 1000)
            self._lease_expiry.record_poll()
        # After a failed call the worker may be another incarnation under the same id,
        # whose completions must not be discarded by the number of an earlier one's.
        answer = await self._calls.poll(
            self._authority.epoch,
            0 if self._is_poll_failing else self._completions_recorded,
            deadline_ms,
            wait_s,
            facts.id,
        )
        self._is_poll_failing = not isinstance(answer, PollResult)
        if isinstance(answer, PollResult):
            self._apply_answer(facts.id, answer, began_at)
            # Polls return at once while completions are unrecorded.
            return _COMPLETIONS_PAUSE_S if answer.ended else _POLL_PAUSE_S
        if self._facts is not None and self._facts.life == facts.life:
            self._handle_failed_poll(answer, began_at)
        return _RETRY_S

    def _poll_wait_s(self):
        """Return how long a poll blocks; shorter while a run is stalled."""
        return _STALLED_WAIT_S if self._progress.is_any_stalled else POLL_WAIT_S

    def _schedule_early_polls(self):
        """Poll soon after a start; a blocking poll only reports completions early."""
        for delay_s in _EARLY_POLL_DELAYS_S:
            self._schedule_poll(delay_s)

    def _schedule_poll(self, delay_s):
        """Poll after a delay beside the blocking poll, once for all that ask for it."""
        if delay_s not in self._scheduled_polls:
            self._scheduled_polls.add(delay_s)
            self._clock.callLater(delay_s, self._scheduled_poll, delay_s)

    def _scheduled_poll(self, delay_s):
        self._scheduled_polls.discard(delay_s)
        if self._facts is not None and not self._stopped:
            self._spawn(self._poll_concurrently(self._facts))

    async def _poll_concurrently(self, facts):
        began_at = self._clock.seconds()
        answer = await self._calls.poll(self._authority.epoch, 0, None, 0.0, facts.id)
        if isinstance(answer, PollResult):
            self._apply_answer(facts.id, answer, began_at)

    def _log_authority_change(self, authorized):
        if authorized != self._extending:
            self._extending = authorized
            log_message(
                message_type="lease_extending" if authorized else "lease_lapsing",
                trust_age_s=min(round(self._authority.age_s, 3), 1e6),
                epoch=self._authority.epoch,
            )

    def _handle_failed_poll(self, answer, began_at):
        self._log_poll_failure(answer.reason)
        self._watch_expiry()
        self._refused_connections = (
            self._refused_connections + 1 if answer.nobody_listens else 0
        )
        is_replaced = answer.misdirected and began_at >= self._polled_at
        if (
            is_replaced
            or self._refused_connections >= _ABSENT_AFTER_REFUSED_CONNECTIONS
        ):
            self._lose_worker(answer.reason)

    def _log_poll_failure(self, reason):
        """Log the first of successive failures alike, and the first answer after."""
        if reason != self._poll_failure:
            self._poll_failure = reason
            log_message(
                message_type="poll_failed" if reason else "poll_answered",
                life=self._facts.life,
                reason=reason,
            )

    def _apply_poll(self, poll, began_at):
        """Process the lists of the incarnation that is present."""
        self._log_poll_failure("")
        self._departure.record_answer(began_at)
        self._refused_connections = 0
        if self._worker_clock is not None and poll.clock_ms < self._worker_clock[0]:
            # A newer poll on another connection was answered first.
            return
        if self._first_clock_ms is None:
            self._first_clock_ms = poll.clock_ms
        self._lease_expiry.record_age((poll.clock_ms - self._first_clock_ms) / 1000)
        self._worker_clock = (poll.clock_ms, self._clock.seconds())
        self._last_poll = poll
        self._poll_sent_at, self._polled_at = began_at, self._clock.seconds()
        self._progress.record_poll(
            poll.running, self._acknowledged_starts, self._polled_at
        )
        self._poll_count += 1
        self._resolve_orders(began_at)
        self._on_change()

    def _resolve_orders(self, began_at):
        """Resolve pending orders by the last poll, which began at `began_at`."""
        running = {(one.task, one.run) for one in self._last_poll.running}
        listed = running | {(one.task, one.run) for one in self._last_poll.ended}
        # A run that is not listed may be among the completions that are left out.
        complete = self._last_poll.complete
        for run, start in list(self._pending_starts.items()):
            if run in listed:
                del self._pending_starts[run]
                continue
            is_final = start.refusal in _FINAL_FOR_ALL_TRIES
            if complete and is_final and began_at > start.refused_at:
                del self._pending_starts[run]
                self._refused[run] = start.refusal
            elif complete and start.expires_at and self._is_expired(start, began_at):
                del self._pending_starts[run]
                self._refused[run] = start.refusal or runs.UNANSWERED
        for run, started_at in list(self._acknowledged_starts.items()):
            if run in listed or (complete and began_at > started_at):
                del self._acknowledged_starts[run]
        for run, stop in list(self._pending_stops.items()):
            if stop.answered_at is None or began_at <= stop.answered_at:
                continue
            if run not in running and (complete or run in listed):
                del self._pending_stops[run]
                if run not in listed:
                    start = self._pending_starts.pop(run, None)
                    self._acknowledged_starts.pop(run, None)
                    self._refused[run] = (start and start.refusal) or runs.STOPPED

    def _spawn(self, coroutine):
        ensureDeferred(coroutine).addErrback(_log_failure)

    def _is_expired(self, start, began_at):
        """Return whether a start had expired before a poll that began at `began_at`."""
        is_late = self._last_poll.clock_ms > start.deadline_ms
        return is_late and began_at > start.expires_at

    def _worker_now_ms(self):
        clock_ms, at = self._worker_clock
        return clock_ms + int((self._clock.seconds() - at) * 1000)


def _constants(facts):
    """Return what does not change during a life of a worker."""
    return facts._replace(leaving=False, leaving_in_ms=0)


def _log_failure(failure):
    log_message(message_type="keeper_failed", reason=failure.getTraceback())
