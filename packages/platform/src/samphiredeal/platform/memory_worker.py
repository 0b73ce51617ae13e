"""A simulated worker with the interface of `ExecutorClient` and injected faults.

It starts every run that it is ordered to, measures leases on its own clock and
lists completions until they are recorded. It may lose answers and delay orders.

>>> worker = MemoryWorker(Clock(), facts, lambda task: Work(2.0))  # doctest: +SKIP
"""

from typing import NamedTuple

from twisted.internet.defer import Deferred, succeed

from samphiredeal.model import runs
from samphiredeal.model.runs import Ended, Refused, RunId, Running
from samphiredeal.platform.executor import PollResult, Started, misdirected
from samphiredeal.platform.table import Unavailable

# How long an answer to a poll is awaited beyond its own waiting time.
_POLL_TIMEOUT_S = 0.5


class Work(NamedTuple):
    """A simulated task: its run time, outcome, gang and checkpoint interval.

    `gang` is the name of the task's gang and `members` its size. If
    `checkpoint_every_s` is 0, the task saves no checkpoints.
    """

    seconds: float
    how: str = runs.DONE
    gang: str = ""
    members: int = 1
    checkpoint_every_s: float = 0.0


class WorkerFaults:
    """Faults to inject.

    `lose_answers` is the number of starts and stops to be applied without an answer,
    `lose_polls` that of polls; `late_s` delays calls, which are then not answered. A
    worker that is `down` refuses connections. With `hang`, new runs make no progress;
    with `fail_all` they fail as they end. The next `fail_starts` runs fail, each
    `fail_after_s` after its start or as another such member of its gang does; with
    `fail_job`, only runs of that job.
    """

    def __init__(self):
        self.lose_answers = 0
        self.lose_polls = 0
        self.late_s = 0.0
        self.down = False
        self.hang = False
        self.fail_all = False
        self.fail_starts = 0
        self.fail_job = ""
        self.fail_after_s = 0.1

    def fails_start(self, task):
        """Return whether the run of a task that starts now fails; count it if so."""
        if self.fail_starts <= 0 or self.fail_job not in ("", task.split(".")[0]):
            return False
        self.fail_starts -= 1
        return True


class Gangs:
    """Started members of gangs on all workers, by (gang, run)."""

    def __init__(self):
        self.present = {}

    def join(self, task):
        """Add a member; begin the work of all members once the gang is complete."""
        members = self.present.setdefault((task.work.gang, task.run), [])
        members.append(task)
        if len(members) == task.work.members:
            for member in members:
                member.begin()

    def end_others(self, task, how):
        """End the other members of a task's gang."""
        members = self.present.pop((task.work.gang, task.run), ())
        for member in members:
            if member is task:
                continue
            if how == runs.DONE:
                member.end(how)
            else:
                member.end(runs.FAILED if member.fails else runs.GANG_BROKEN)


class _Task:
    """A run on a worker."""

    def __init__(self, worker, name, run, work, checkpoint):
        self.worker = worker
        self.name = name
        self.run = run
        self.work = work
        self.base_s = float(checkpoint) if checkpoint else 0.0
        self.fails = worker.faults.fails_start(name)
        self.began_at = None
        self.timer = None
        self.ended = False

    def begin(self):
        """Begin the work; it makes no progress if the worker hangs."""
        clock = self.worker.clock
        self.began_at = clock.seconds()
        if not self.worker.faults.hang:
            left_s = max(0.0, self.work.seconds - self.base_s) / self.worker.speed
            how = runs.FAILED if self.worker.faults.fail_all else self.work.how
            self.timer = clock.callLater(left_s, self.end, how)

    def worked_s(self):
        """Return the seconds of work done, including those of earlier runs."""
        if self.began_at is None:
            return self.base_s
        ran_s = self.worker.clock.seconds() - self.began_at
        return self.base_s + ran_s * self.worker.speed

    def saved(self):
        """Return the latest checkpoint, or '' if there is none."""
        every_s = self.work.checkpoint_every_s
        if not every_s:
            return ""
        saved_s = self.worked_s() // every_s * every_s
        return str(saved_s) if saved_s else ""

    def end(self, how):
        """End the run with the given outcome, unless it has ended already."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.worker.task_ended(self, how)
        if self.work.gang:
            self.worker.gangs.end_others(self, how)


class MemoryWorker:
    """A simulated worker.

    `describe(task)` returns the `Work` of a task. `watch(event, worker, task, run,
    how)` is called for every ``start`` and ``end``, and for every end that is
    ``recorded``; ``lapsed``, of no task, tells that the lease has expired. Tasks take
    their time divided by `speed`.
    """

    def __init__(
        self,
        clock,
        facts,
        describe,
        gangs=None,
        lease_max_s=6.0,
        watch=None,
        speed=1.0,
    ):
        self.clock = clock
        self.speed = speed
        self._born_at = clock.seconds()
        self.facts = facts
        self.faults = WorkerFaults()
        self.gangs = gangs or Gangs()
        self._describe = describe
        self._lease_max_s = lease_max_s
        self._watch = watch or (lambda *event: None)
        self._running = {}
        self._ends = []
        self._completions = 0
        self._highest = {}
        self._epoch = 0
        self._deadline_ms = 0
        self._lease_timer = None
        self._waiting_polls = []

    @property
    def running(self):
        """The current runs, as `RunId`s."""
        return [RunId(task.name, task.run) for task in self._running.values()]

    def crash(self):
        """End all runs without completions, and start as a new incarnation."""
        for task in list(self._running.values()):
            task.ended = True
            if task.timer is not None and task.timer.active():
                task.timer.cancel()
            self._watch("end", self, task.name, task.run, "crashed")
        if self._lease_timer is not None and self._lease_timer.active():
            self._lease_timer.cancel()
        polls = self._waiting_polls
        self.__init__(
            self.clock,
            self.facts._replace(born_ms=self.facts.born_ms + 1),
            self._describe,
            self.gangs,
            self._lease_max_s,
            self._watch,
            self.speed,
        )
        # Their callers may poll the new incarnation at once.
        for polled in polls:
            polled.callback(_connection_refused())

    def stop_clock(self, seconds):
        """Let the next seconds not count on the worker's clock."""
        self._born_at += seconds
        if self._lease_timer is not None and self._lease_timer.active():
            self._lease_timer.delay(seconds)

    def start(self, order, epoch, deadline_ms, timeout_s, worker_id):
        """Start a run; see `ExecutorClient.start`."""
        return self._call(
            lambda: self._start(order, epoch, deadline_ms), timeout_s, worker_id
        )

    def stop(self, run, epoch, timeout_s, worker_id):
        """Stop a run; see `ExecutorClient.stop`."""
        return self._call(lambda: self._stop(run, epoch), timeout_s, worker_id)

    def poll(self, epoch, ends_recorded, deadline_ms, wait_s, worker_id):
        """List all runs, and extend the lease; see `ExecutorClient.poll`."""
        if self.faults.down:
            return succeed(_connection_refused())
        if worker_id != self.facts.id:
            return succeed(misdirected())
        self._accept_epoch(epoch)
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self._drop_recorded(ends_recorded)
        polled = Deferred()
        self._waiting_polls.append(polled)
        if self._ends or not wait_s:
            self._answer_poll(polled)
        else:
            self.clock.callLater(wait_s, self._answer_poll, polled)
        return polled

    def _drop_recorded(self, ends_recorded):
        for end in self._ends:
            if end.number <= ends_recorded:
                self._watch("recorded", self, end.task, end.run, end.how)
        self._ends = [end for end in self._ends if end.number > ends_recorded]

    def task_ended(self, task, how):
        """Record the completion of a run, and answer waiting polls."""
        self._running.pop(task.name, None)
        self._completions += 1
        self._ends.append(
            Ended(self._completions, task.name, task.run, how, task.saved())
        )
        self._watch("end", self, task.name, task.run, how)
        for polled in list(self._waiting_polls):
            self._answer_poll(polled)

    def _call(self, apply, timeout_s, worker_id):
        faults = self.faults
        if faults.down:
            return succeed(_connection_refused())
        if worker_id != self.facts.id:
            return succeed(misdirected())
        if faults.late_s:
            self.clock.callLater(faults.late_s, apply)
            return self._time_out(timeout_s)
        answer = apply()
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return self._time_out(timeout_s)
        return succeed(answer)

    def _time_out(self, timeout_s):
        unanswered = Deferred()
        self.clock.callLater(
            timeout_s, unanswered.callback, Unavailable("the answer was lost")
        )
        return unanswered

    def _start(self, order, epoch, deadline_ms):
        if not self._accept_epoch(epoch):
            return Refused(order.task, order.run, runs.STALE_EPOCH)
        present = self._running.get(order.task)
        if present is not None and present.run == order.run:
            self._extend(deadline_ms)
            return Started(self._now_ms())
        if order.run <= self._highest.get(order.task, 0):
            return Refused(order.task, order.run, runs.OLD_RUN)
        if deadline_ms <= self._now_ms():
            return Refused(order.task, order.run, runs.TOO_LATE)
        self._extend(deadline_ms)
        self._highest[order.task] = order.run
        work = self._describe(order.task)
        task = _Task(self, order.task, order.run, work, order.checkpoint)
        self._running[order.task] = task
        self._watch("start", self, order.task, order.run, "")
        if task.fails:
            self.clock.callLater(self.faults.fail_after_s, task.end, runs.FAILED)
        if work.gang:
            self.gangs.join(task)
        else:
            task.begin()
        return Started(self._now_ms())

    def _stop(self, run, epoch):
        if not self._accept_epoch(epoch):
            return Unavailable("stale epoch")
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        present = self._running.get(run.task)
        if present is not None and present.run == run.run:
            present.end(runs.STOPPED)
        return True

    def _accept_epoch(self, epoch):
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def _extend(self, deadline_ms):
        now_ms = self._now_ms()
        latest_ms = now_ms + int(self._lease_max_s * 1000)
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest_ms))
        if self._lease_timer is not None and self._lease_timer.active():
            self._lease_timer.cancel()
        left_s = max(0, self._deadline_ms - now_ms) / 1000
        self._lease_timer = self.clock.callLater(left_s, self._lapse)

    def _lapse(self):
        self._watch("lapsed", self, "", 0, "")
        for task in list(self._running.values()):
            task.end(runs.LAPSED)

    def _answer_poll(self, polled):
        if polled not in self._waiting_polls:
            return
        self._waiting_polls.remove(polled)
        if self.faults.lose_polls > 0:
            self.faults.lose_polls -= 1
            lost = Unavailable("the answer was lost")
            self.clock.callLater(_POLL_TIMEOUT_S, polled.callback, lost)
            return
        polled.callback(
            _connection_refused() if self.faults.down else self._poll_result()
        )

    def _poll_result(self):
        running = tuple(
            Running(task.name, task.run, task.saved(), _percent(task))
            for task in self._running.values()
        )
        ended = tuple(self._ends)
        return PollResult(self._now_ms(), self.facts.born_ms, running, ended)

    def _now_ms(self):
        return int((self.clock.seconds() - self._born_at) * 1000)


def _percent(task):
    if task.worker.faults.hang:
        return 0
    return min(100, int(100 * task.worked_s() / max(task.work.seconds, 1e-9)))


def _connection_refused():
    return Unavailable("connection refused", not_applied=True, nobody_listens=True)
