"""Carrying out orders on the worker, and knowing what runs there.

A start without an answer may still take effect until its own deadline on the
worker's clock has passed; until then it counts as pending. A stop that was
answered settles a run that is not listed: the worker refuses it from then on.
"""

from eliot import log_message, write_traceback
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.agent.graphs.progress import ProgressNotes
from samphiredeal.model import runs
from samphiredeal.model.runs import Refused, Report, RunId, Running
from samphiredeal.model.timing import SLOW_CLOCK
from samphiredeal.platform.executor import Look, Started

# A look waits this long for a run to end; it also sets how often leases are
# extended and progress is reported.
LOOK_WAIT_S = 0.8
# The same while leases may not be extended, so that regained trust counts at once.
_UNTRUSTED_WAIT_S = 0.1
# The same while a run makes no progress: work of 2 s that is started on a worker that
# hangs can end in time elsewhere if that shows within half a second.
_STILL_WAIT_S = 0.25
# How long after a start the worker is looked at beside the look that waits.
_FIRST_LOOKS_S = (0.25, 0.5, 0.75)
# A start that the worker has not taken in by then is refused by it as late.
START_VALID_S = 2.5
# Without an answer a start is sent again after the first, given up after the
# second; the same run may be started any number of times.
START_TIMEOUT_S = 0.5
_START_GIVE_UP_S = 1.3
# A worker on the same VM answers within milliseconds, if at all.
_STOP_TIMEOUT_S = 0.4
_RETRY_S = 0.15
# Connections refused in a row that show that the worker's process is gone.
_REFUSALS_OF_DEAD = 2
# Rounding and the way of an order, on top of its deadline.
_MARGIN_S = 0.1
# Pauses between looks: the first keeps ends that come together in one report.
_ENDS_PAUSE_S = 0.06
_LOOK_PAUSE_S = 0.01


class _Start:
    """An order to start that is not settled yet."""

    def __init__(self, order, began_at):
        self.order = order
        self.began_at = began_at
        self.sure_after = None


class _Stop:
    """An order to stop that is not settled yet."""

    def __init__(self):
        self.answered_at = None


class RunManager:
    """The runs of one worker; `on_change()` is called when a report is due."""

    def __init__(self, clock, calls, lifeline, lease_max_s, on_change):
        self._clock = clock
        self._calls = calls
        self._lifeline = lifeline
        self._lease_max_s = lease_max_s
        self._on_change = on_change
        self._facts = None
        self._sequence = -1
        self._worker_clock = None
        self._look = None
        self._looks = 0
        self._looked_at = clock.seconds()
        self._ends_recorded = 0
        self._ended_life = ""
        self._dead_signs = 0
        self._starts = {}
        self._started = {}
        self._stops = {}
        self._refused = {}
        self._stopped = False
        self._extending = None
        self._progress = ProgressNotes()
        self._first_looks = set()

    @property
    def facts(self):
        """The worker as it last described itself, or None."""
        return self._facts

    def report(self):
        """Return the `Report` of what is known now."""
        listed = set()
        running, ended = (), ()
        if self._look is not None:
            running = tuple(self._progress.described(one) for one in self._look.running)
            ended = tuple(
                end for end in self._look.ended if end.number > self._ends_recorded
            )
            listed = {(one.task, one.run) for one in (*running, *ended)}
        fresh = tuple(
            Running(run.task, run.run, "", 0)
            for run in self._started
            if run not in listed
        )
        known = self._facts if self._look is not None else None
        return Report(
            known,
            self._ended_life,
            self._looks,
            int((self._clock.seconds() - self._looked_at) * 1000),
            running + fresh,
            ended,
            tuple(Refused(*run, reason) for run, reason in self._refused.items()),
            tuple(self._starts),
        )

    # What the worker says

    def record_heartbeat(self, facts, sequence):
        """Take in the worker's heartbeat unless a newer one came before."""
        known = self._facts
        if known is not None:
            if facts.born_ms < known.born_ms:
                return
            if facts.life == known.life and sequence <= self._sequence:
                return
        if facts.life == self._ended_life:
            return
        self._sequence = sequence
        if known is None or facts.life != known.life:
            self._new_life(known, facts)
        elif facts.leaving and not known.leaving:
            log_message(
                message_type="worker_leaving",
                life=facts.life,
                left_ms=facts.leaving_in_ms,
            )
        changed = known is None or facts != known
        self._facts = facts
        if changed:
            self._on_change()

    def _new_life(self, known, facts):
        log_message(
            message_type="worker_life",
            life=facts.life,
            before=known.life if known else "",
        )
        if known is not None:
            self._ended_life = known.life
        self._facts = facts
        self._look = None
        self._worker_clock = None
        self._ends_recorded = 0
        self._dead_signs = 0
        for entries in (self._starts, self._started, self._stops, self._refused):
            entries.clear()
        self._progress.clear()

    # What the scheduler wants

    def obey(self, orders):
        """Take in `Orders` of the newest scheduler."""
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
        self._ends_recorded = max(self._ends_recorded, orders.ends_recorded)
        for order in orders.starts:
            self._begin_start(order)
        for run in orders.stops:
            self._begin_stop(run)

    def _begin_start(self, order):
        run = RunId(order.task, order.run)
        known = (self._starts, self._started, self._stops, self._refused)
        if any(run in entries for entries in known):
            return
        if self._is_listed(run):
            self._on_change()
            return
        if self._facts.leaving:
            self._refuse(run, runs.LEAVING)
            return
        if not self._lifeline.trusted or self._worker_clock is None:
            self._refuse(run, runs.UNHEALTHY)
            return
        start = self._starts[run] = _Start(order, self._clock.seconds())
        ensureDeferred(self._start(run, start)).addErrback(_log_failure)

    async def _start(self, run, start):
        deadline_ms = self._worker_now_ms() + int(START_VALID_S * 1000)
        began_at, epoch = start.began_at, self._lifeline.epoch
        answered = True
        while self._starts.get(run) is start:
            if run in self._stops:
                break
            answer = await self._calls.start(
                start.order, epoch, deadline_ms, START_TIMEOUT_S
            )
            if self._starts.get(run) is not start:
                return
            if isinstance(answer, Started):
                del self._starts[run]
                self._started[run] = self._clock.seconds()
                self._look_soon()
                self._log_start(run, epoch, "started", began_at)
                self._on_change()
                return
            overdue = self._clock.seconds() - began_at > _START_GIVE_UP_S
            if isinstance(answer, Refused):
                if answer.reason != runs.UNHEALTHY or (overdue and answered):
                    self._start_refused(run, answer.reason, epoch, began_at)
                    return
            else:
                answered = answered and answer.not_applied
            if overdue:
                break
            await deferLater(self._clock, _RETRY_S)
        self._log_start(run, epoch, "unanswered", began_at)
        valid_s = START_VALID_S / (1 - SLOW_CLOCK) + _MARGIN_S
        start.sure_after = began_at + valid_s
        self._on_change()

    def _start_refused(self, run, reason, epoch, began_at):
        del self._starts[run]
        self._log_start(run, epoch, reason, began_at)
        if reason == runs.OLD_RUN and self._is_listed(run):
            self._on_change()
            return
        self._refuse(run, reason)

    def _log_start(self, run, epoch, outcome, began_at):
        log_message(
            message_type="run_start",
            task=run.task,
            run=run.run,
            epoch=epoch,
            life=self._facts.life if self._facts else "",
            outcome=outcome,
            took_ms=round((self._clock.seconds() - began_at) * 1000, 1),
        )

    def _refuse(self, run, reason):
        self._refused[run] = reason
        self._on_change()

    def _begin_stop(self, run):
        if run in self._stops or run in self._refused:
            return
        stop = self._stops[run] = _Stop()
        ensureDeferred(self._stop(run, stop)).addErrback(_log_failure)

    async def _stop(self, run, stop):
        while self._stops.get(run) is stop and not self._stopped:
            answer = await self._calls.stop(run, self._lifeline.epoch, _STOP_TIMEOUT_S)
            if answer is True:
                stop.answered_at = self._clock.seconds()
                log_message(message_type="run_stop", task=run.task, run=run.run)
                return
            await deferLater(self._clock, _RETRY_S)

    def _is_listed(self, run):
        look = self._look
        if look is None:
            return False
        return any((one.task, one.run) == run for one in (*look.running, *look.ended))

    # Watching the worker

    def stop(self):
        """End the watch after the present look."""
        self._stopped = True

    async def watch(self):
        """Look and extend the lease until stopped."""
        while not self._stopped:
            try:
                pause_s = await self._watch_once()
            except Exception:
                write_traceback()
                pause_s = _RETRY_S
            if pause_s:
                await deferLater(self._clock, pause_s)

    async def _watch_once(self):
        """Look once; return how long to pause before the next look."""
        facts = self._facts
        if facts is None:
            return _RETRY_S
        trusted = self._lifeline.trusted
        self._note_trust(trusted)
        deadline_ms, wait_s = None, 0.0
        if self._worker_clock is not None:
            wait_s = self._look_wait_s() if trusted else _UNTRUSTED_WAIT_S
            if trusted:
                deadline_ms = self._worker_now_ms() + int(self._lease_max_s * 1000)
        began_at = self._clock.seconds()
        answer = await self._calls.hold(
            self._lifeline.epoch, self._ends_recorded, deadline_ms, wait_s
        )
        if self._facts is None or self._facts.life != facts.life:
            return 0
        if isinstance(answer, Look):
            self._take_look(answer, began_at)
            # Ends that wait to be recorded are answered at once each time.
            return _ENDS_PAUSE_S if answer.ended else _LOOK_PAUSE_S
        self._no_look(answer, facts)
        return _RETRY_S

    def _look_wait_s(self):
        """Return how long to wait for an end; short while a run stands still."""
        return _STILL_WAIT_S if self._progress.is_any_still else LOOK_WAIT_S

    def _look_soon(self):
        """Look again soon after a start; a look that waits tells of ends only."""
        for delay_s in _FIRST_LOOKS_S:
            if delay_s not in self._first_looks:
                self._first_looks.add(delay_s)
                self._clock.callLater(delay_s, self._first_look, delay_s)

    def _first_look(self, delay_s):
        self._first_looks.discard(delay_s)
        if self._facts is not None and not self._stopped:
            ensureDeferred(self._look_beside(self._facts)).addErrback(_log_failure)

    async def _look_beside(self, facts):
        began_at = self._clock.seconds()
        answer = await self._calls.hold(
            self._lifeline.epoch, self._ends_recorded, None, 0.0
        )
        same_life = self._facts is not None and self._facts.life == facts.life
        if same_life and isinstance(answer, Look):
            self._take_look(answer, began_at)

    def _note_trust(self, trusted):
        if trusted != self._extending:
            self._extending = trusted
            log_message(
                message_type="lease_extending" if trusted else "lease_lapsing",
                trust_age_s=min(round(self._lifeline.age_s, 3), 1e6),
                epoch=self._lifeline.epoch,
            )

    def _no_look(self, answer, facts):
        self._dead_signs = self._dead_signs + 1 if answer.nobody_listens else 0
        if self._dead_signs >= _REFUSALS_OF_DEAD:
            log_message(
                message_type="worker_gone", life=facts.life, reason=answer.reason
            )
            self._ended_life = facts.life
            self._facts = None
            self._look = None
            for entries in (self._starts, self._started, self._stops, self._refused):
                entries.clear()
            self._on_change()

    def _take_look(self, look, began_at):
        self._dead_signs = 0
        if look.born_ms and self._facts.born_ms and look.born_ms != self._facts.born_ms:
            # A new life answers; its heartbeat will tell the rest.
            self._ended_life = self._facts.life
            self._facts = None
            self._look = None
            self._on_change()
            return
        if self._worker_clock is not None and look.clock_ms < self._worker_clock[0]:
            # Overtaken by a newer look on another connection.
            return
        self._worker_clock = (look.clock_ms, self._clock.seconds())
        self._look, self._looked_at = look, self._clock.seconds()
        self._progress.note(look.running, self._started, self._looked_at)
        self._looks += 1
        self._settle(began_at)
        self._on_change()

    def _settle(self, began_at):
        """Close what a look that began at this time makes certain."""
        running = {(one.task, one.run) for one in self._look.running}
        listed = running | {(one.task, one.run) for one in self._look.ended}
        for run in list(self._starts):
            sure_after = self._starts[run].sure_after
            if run in listed:
                del self._starts[run]
            elif sure_after is not None and began_at > sure_after:
                del self._starts[run]
                self._refused[run] = runs.UNANSWERED
        for run, started_at in list(self._started.items()):
            if run in listed or began_at > started_at:
                del self._started[run]
        for run, stop in list(self._stops.items()):
            if stop.answered_at is None or began_at <= stop.answered_at:
                continue
            if run not in running:
                del self._stops[run]
                if run not in listed:
                    self._starts.pop(run, None)
                    self._started.pop(run, None)
                    self._refused[run] = runs.STOPPED

    def _worker_now_ms(self):
        clock_ms, at = self._worker_clock
        return clock_ms + int((self._clock.seconds() - at) * 1000)


def _log_failure(failure):
    log_message(message_type="keeper_failed", reason=failure.getTraceback())
