"""A worker in memory that speaks the interface of `ExecutorClient`, with faults.

It starts whatever it is told, keeps leases on its own clock, lists ends until
they are recorded, and may lose answers or carry orders out late.

>>> worker = MemoryWorker(Clock(), facts, lambda task: Work(2.0))  # doctest: +SKIP
"""

from typing import NamedTuple

from twisted.internet.defer import Deferred, succeed

from samphiredeal.model import runs
from samphiredeal.model.runs import Ended, Refused, RunId, Running
from samphiredeal.platform.executor import PollResult, Started
from samphiredeal.platform.table import Unavailable


class Work(NamedTuple):
    """What a task is: seconds of work, how it ends, its gang and checkpoints.

    `gang` names the gang that the task belongs to and `members` its size;
    `checkpoint_every_s` of 0 means that it saves nothing.
    """

    seconds: float
    how: str = runs.DONE
    gang: str = ""
    members: int = 1
    checkpoint_every_s: float = 0.0


class WorkerFaults:
    """What goes wrong: lost answers, orders carried out late, no process."""

    def __init__(self):
        self.lose_answers = 0
        self.late_s = 0.0
        self.down = False
        self.hang = False
        self.fail_all = False


class Gangs:
    """Members that are present, over all workers, by (gang, run)."""

    def __init__(self):
        self.present = {}

    def join(self, task):
        """Note a member; start all of them once the gang is whole."""
        members = self.present.setdefault((task.work.gang, task.run), [])
        members.append(task)
        if len(members) == task.work.members:
            for member in members:
                member.begin()

    def ended(self, task, how):
        """End the other members of a gang with one of them."""
        members = self.present.pop((task.work.gang, task.run), ())
        other_how = how if how == runs.DONE else runs.GANG_BROKEN
        for member in members:
            if member is not task:
                member.end(other_how)


class _Task:
    """A run on a worker."""

    def __init__(self, worker, name, run, work, checkpoint):
        self.worker = worker
        self.name = name
        self.run = run
        self.work = work
        self.base_s = float(checkpoint) if checkpoint else 0.0
        self.began_at = None
        self.timer = None
        self.ended = False

    def begin(self):
        """Start to work."""
        clock = self.worker.clock
        self.began_at = clock.seconds()
        if not self.worker.faults.hang:
            left_s = max(0.0, self.work.seconds - self.base_s)
            how = runs.FAILED if self.worker.faults.fail_all else self.work.how
            self.timer = clock.callLater(left_s, self.end, how)

    def worked_s(self):
        """Return the seconds of work done, those of earlier runs included."""
        if self.began_at is None:
            return self.base_s
        return self.base_s + self.worker.clock.seconds() - self.began_at

    def saved(self):
        """Return the newest checkpoint, '' if there is none."""
        every_s = self.work.checkpoint_every_s
        if not every_s:
            return ""
        saved_s = self.worked_s() // every_s * every_s
        return str(saved_s) if saved_s else ""

    def end(self, how):
        """End once, for the given reason."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.worker.task_ended(self, how)
        if self.work.gang:
            self.worker.gangs.ended(self, how)


class MemoryWorker:
    """One worker. `describe(task)` gives its `Work`; `watch(event, ...)` is told
    of every ``start`` and ``end`` as (event, worker, task, run, how).
    """

    def __init__(self, clock, facts, describe, gangs=None, lease_max_s=6.0, watch=None):
        self.clock = clock
        self.facts = facts
        self.faults = WorkerFaults()
        self.gangs = gangs or Gangs()
        self._describe = describe
        self._lease_max_s = lease_max_s
        self._watch = watch or (lambda *event: None)
        self._running = {}
        self._ends = []
        self._count = 0
        self._highest = {}
        self._epoch = 0
        self._deadline = 0.0
        self._lease_timer = None
        self._looking = []

    @property
    def running(self):
        """The runs at present, as `RunId`s."""
        return [RunId(task.name, task.run) for task in self._running.values()]

    def crash(self):
        """End all at once, without a trace."""
        for task in list(self._running.values()):
            task.ended = True
            if task.timer is not None and task.timer.active():
                task.timer.cancel()
            self._watch("end", self, task.name, task.run, "crashed")
        looking, self._looking = self._looking, []
        for looked in looking:
            looked.callback(_nobody())
        self.__init__(
            self.clock,
            self.facts._replace(born_ms=self.facts.born_ms + 1),
            self._describe,
            self.gangs,
            self._lease_max_s,
            self._watch,
        )

    def start(self, order, epoch, deadline_ms, timeout_s):
        """Start a run; see `ExecutorClient.start`."""
        return self._call(lambda: self._start(order, epoch, deadline_ms), timeout_s)

    def stop(self, run, epoch, timeout_s):
        """Stop a run; see `ExecutorClient.stop`."""
        return self._call(lambda: self._stop(run, epoch), timeout_s)

    def poll(self, epoch, ends_recorded, deadline_ms, wait_s):
        """Look, and extend the lease; see `ExecutorClient.poll`."""
        if self.faults.down:
            return succeed(_nobody())
        self._take_epoch(epoch)
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self._ends = [end for end in self._ends if end.number > ends_recorded]
        if self._ends or not wait_s:
            return succeed(self._look())
        looked = Deferred()
        self._looking.append(looked)
        self.clock.callLater(wait_s, self._answer_looks, looked)
        return looked

    def task_ended(self, task, how):
        """Note the end of a run."""
        self._running.pop(task.name, None)
        self._count += 1
        self._ends.append(Ended(self._count, task.name, task.run, how, task.saved()))
        self._watch("end", self, task.name, task.run, how)
        for looked in list(self._looking):
            self._answer_looks(looked)

    def _call(self, carry_out, timeout_s):
        faults = self.faults
        if faults.down:
            return succeed(_nobody())
        if faults.late_s:
            self.clock.callLater(faults.late_s, carry_out)
            return self._silence(timeout_s)
        answer = carry_out()
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return self._silence(timeout_s)
        return succeed(answer)

    def _silence(self, timeout_s):
        unanswered = Deferred()
        self.clock.callLater(
            timeout_s, unanswered.callback, Unavailable("the answer was lost")
        )
        return unanswered

    def _start(self, order, epoch, deadline_ms):
        if not self._take_epoch(epoch):
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
        if work.gang:
            self.gangs.join(task)
        else:
            task.begin()
        return Started(self._now_ms())

    def _stop(self, run, epoch):
        if not self._take_epoch(epoch):
            return Unavailable("stale epoch")
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        present = self._running.get(run.task)
        if present is not None and present.run == run.run:
            present.end(runs.STOPPED)
        return True

    def _take_epoch(self, epoch):
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def _extend(self, deadline_ms):
        most = self.clock.seconds() + self._lease_max_s
        self._deadline = max(self._deadline, min(deadline_ms / 1000, most))
        if self._lease_timer is not None and self._lease_timer.active():
            self._lease_timer.cancel()
        left_s = max(0.0, self._deadline - self.clock.seconds())
        self._lease_timer = self.clock.callLater(left_s, self._lapse)

    def _lapse(self):
        for task in list(self._running.values()):
            task.end(runs.LAPSED)

    def _answer_looks(self, looked):
        if looked in self._looking:
            self._looking.remove(looked)
            looked.callback(_nobody() if self.faults.down else self._look())

    def _look(self):
        running = tuple(
            Running(task.name, task.run, task.saved(), _percent(task))
            for task in self._running.values()
        )
        ended = tuple(self._ends)
        return PollResult(self._now_ms(), self.facts.born_ms, running, ended)

    def _now_ms(self):
        return int(self.clock.seconds() * 1000)


def _percent(task):
    if task.worker.faults.hang:
        return 0
    return min(100, int(100 * task.worked_s() / max(task.work.seconds, 1e-9)))


def _nobody():
    return Unavailable("connection refused", not_applied=True, nobody_listens=True)
