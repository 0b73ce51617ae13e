"""Discrete-event simulation of a scheduler with job arrivals and modelled workers.

Starts take effect after a delay. A stop writes a checkpoint first if its grace
period allows and keeps the work up to then; each restart takes time to read it.
"""

import heapq
import itertools
import time
from typing import NamedTuple

from samphiredeal.model.configuration import Configuration
from samphiredeal.policy.actions import FinishJob, StartAttempt, StopAttempt
from samphiredeal.policy.coverage import within_guarantee

# Duration of reserve, start and the agents' answers on real processes.
START_S = 0.1
CHECKPOINT_S = 2.0
RESTART_S = 30.0


class FinishedJob(NamedTuple):
    """A finished job: kind of load, completion and wait times in seconds."""

    kind: str
    completion_s: float
    wait_s: float


class RunningAttempt:
    """An attempt that the scheduler has started."""

    def __init__(self, action, started_at, progress_s):
        self.action = action
        self.job = action.job
        self.started_at = started_at
        self.progress_s = progress_s
        self.restart_s = RESTART_S if progress_s else 0.0
        self.stopping = False

    @property
    def accelerators(self):
        """The accelerators of all members."""
        return self.job.shape.accelerators * self.job.members


class Simulation:
    """A simulation of one scheduler with one list of arrivals."""

    def __init__(self, scheduler, workers, accounts, arrivals):
        self.scheduler = scheduler
        self.now = 0.0
        self.finished_jobs = []
        self.lost_accel_s = 0.0
        self.useful_spans = []
        self.decision_s = []
        self.first_starts = []
        self.submitted_within_guarantee = set()
        self._wakeup = -1.0
        self.fragmentation = []
        self._events = []
        self._sequence = itertools.count()
        self._running = {}
        self._run_s = {a.job.id: a.run_s for a in arrivals}
        self._arrived_at = {a.job.id: a.at for a in arrivals}
        self._kinds = {a.job.id: a.job.kind for a in arrivals}
        self._progress = {}
        self._first_wait_s = {}
        self._configuration = Configuration(1, accounts)
        scheduler.configure(self._configuration, 0.0)
        for info in workers:
            scheduler.worker_up(info, 0.0)
        for arrival in arrivals:
            self.schedule(arrival.at, self._submit, arrival.job)

    def schedule(self, when, action, *arguments):
        """Schedule an action at a time."""
        heapq.heappush(self._events, (when, next(self._sequence), action, arguments))

    def run(self, until):
        """Process the events until a time."""
        while self._events and self._events[0][0] <= until:
            when, _sequence, action, arguments = heapq.heappop(self._events)
            self._record_fragmentation(when)
            self.now = when
            action(*arguments)
            self.decide()
        self.now = until

    def decide(self):
        """Let the scheduler decide now and apply its actions."""
        started = time.perf_counter()
        actions = self.scheduler.decide(self.now)
        self.decision_s.append(time.perf_counter() - started)
        for action in actions:
            if isinstance(action, StartAttempt):
                self._start_attempt(action)
            elif isinstance(action, StopAttempt):
                self._stop_attempt(action)
            elif isinstance(action, FinishJob):
                self._finish_job(action)
        self._schedule_wakeup()

    def _schedule_wakeup(self):
        """Schedule the next wakeup, unless an earlier one is pending."""
        wakeup = self.scheduler.next_wakeup(self.now)
        if wakeup is not None and not self.now < self._wakeup <= wakeup:
            self._wakeup = max(wakeup, self.now + 1.0)
            self.schedule(self._wakeup, lambda: None)

    def set_zone(self, zone, state):
        """Set the state of a zone: out or in."""
        zones = {**self._configuration.zones, zone: {"state": state}}
        revision = self._configuration.revision + 1
        self._configuration = self._configuration._replace(
            revision=revision, zones=zones
        )
        self.scheduler.configure(self._configuration, self.now)

    def useful_between(self, begin, end):
        """Return the useful work within a time span in accelerator-seconds."""
        return sum(
            max(0.0, min(stop, end) - max(start, begin)) * accelerators
            for start, stop, accelerators in self.useful_spans
        )

    def _submit(self, job):
        ledger = getattr(self.scheduler, "ledger", None)
        if ledger is not None and within_guarantee(ledger, job, job.shape):
            self.submitted_within_guarantee.add(job.id)
        self.scheduler.submit(job, self.now)

    def _start_attempt(self, action):
        job_id = action.job.id
        running = RunningAttempt(
            action, self.now + START_S, self._progress.get(job_id, 0.0)
        )
        self._running[action.attempt_id] = running
        wait_s = running.started_at - self._arrived_at[job_id]
        if job_id not in self._first_wait_s:
            self._first_wait_s[job_id] = wait_s
            self.first_starts.append((action.job, wait_s))
        left_s = max(0.0, self._run_s[job_id] - running.progress_s)
        self.scheduler.started(action.attempt_id, running.started_at)
        self.schedule(
            running.started_at + running.restart_s + left_s,
            self._complete_attempt,
            action.attempt_id,
        )

    def _complete_attempt(self, attempt_id):
        running = self._running.get(attempt_id)
        if running is None or running.stopping:
            return
        self._end_attempt(attempt_id, self.now)
        self.scheduler.ended(attempt_id, self.now, "done")

    def _stop_attempt(self, action):
        running = self._running.get(action.attempt_id)
        if running is None or running.stopping:
            return
        running.stopping = True
        grace_s = min(action.grace_s, CHECKPOINT_S)
        self.schedule(self.now + grace_s, self._complete_stop, action.attempt_id)

    def _complete_stop(self, attempt_id):
        running = self._running[attempt_id]
        worked_s = max(0.0, self.now - running.started_at)
        kept_s = max(0.0, worked_s - CHECKPOINT_S - running.restart_s)
        self._progress[running.job.id] = running.progress_s + kept_s
        self.lost_accel_s += (worked_s - kept_s) * running.accelerators
        self._end_attempt(attempt_id, running.started_at + running.restart_s + kept_s)
        self.scheduler.ended(attempt_id, self.now, "stopped", kept_s)

    def _end_attempt(self, attempt_id, useful_until):
        running = self._running.pop(attempt_id)
        began = running.started_at + running.restart_s
        self.useful_spans.append((began, useful_until, running.accelerators))

    def _finish_job(self, action):
        job_id = action.job_id
        completion_s = self.now - self._arrived_at[job_id]
        wait_s = self._first_wait_s.get(job_id, completion_s)
        self.finished_jobs.append(
            FinishedJob(self._kinds[job_id], completion_s, wait_s)
        )

    def _record_fragmentation(self, until):
        """Record the unusable share of free accelerators and its duration."""
        largest = max(
            (w.job.shape.accelerators for w in self.scheduler.queue.all()), default=0
        )
        if not largest or until <= self.now:
            return
        free = unusable = 0
        for worker in self.scheduler.cluster.workers.values():
            if worker.usable and worker.free.accelerators > 0:
                free += worker.free.accelerators
                unusable += worker.free.accelerators % largest
        if free:
            self.fragmentation.append((until - self.now, unusable / free))
