"""The scheduler's host: runs the scheduler at the entry that holds the lease.

A new holder reads the active jobs from the table and receives reports of running
attempts from the agents, which are authoritative about them. Jobs that were
submitted under a previous holder and that no agent reports as running are queued
only after the members' lease has lapsed everywhere, so that none runs twice.
"""

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry.gangs import GangDriver, GangEnded
from samphiredeal.entry.jobstore import job_from_dict
from samphiredeal.entry.sessions import AGENT_TIMEOUT_S
from samphiredeal.platform.table import Unavailable
from samphiredeal.policy.actions import FinishJob, StartAttempt, StopAttempt
from samphiredeal.policy.explain import explain
from samphiredeal.policy.scheduler import Scheduler
from samphiredeal.wire.messages import (
    AgentReport,
    MemberRefused,
    MembersEnded,
    Reserved,
    Started,
)

LOAD_RETRY_S = 1.0
# The delay before the next attempt at a job whose attempt did not start.
RETRY_DELAY_S = 1.0


class SchedulerHost:
    """Connects the scheduler to agents and the table for one epoch.

    `send(worker, message)` sends to an agent through its gateway entry;
    `stamp()` returns (epoch, revision, confirmation age in ms).
    `wall()` returns the wall-clock time in seconds, as in the rows' submission
    times. `on_done(klass, completion_s)` is called for each completed job.
    """

    def __init__(self, clock, jobs, send, stamp, wall, on_done=lambda *_: None):
        self._clock = clock
        self._jobs = jobs
        self._epoch = stamp()[0]
        self._scheduler = Scheduler(self._epoch)
        self._on_done = on_done
        self._wall = wall
        self._driver = GangDriver(clock, send, self._on_gang_event, stamp)
        self._send = send
        self._started_at = clock.seconds()
        self._incarnations = {}
        self._partial_reports = {}
        self._done_reports = {}
        self._held_back = {}
        self._delayed = {}
        self._finished = set()
        self._dirty = True
        self._stopped = False
        self._loaded = False

    @property
    def scheduler(self):
        """The scheduler and its state."""
        return self._scheduler

    @property
    def driver(self):
        """The driver of the attempts."""
        return self._driver

    @property
    def epoch(self):
        """The epoch of the lease under which this host schedules."""
        return self._epoch

    @property
    def loaded(self):
        """Whether the active jobs have been read from the table."""
        return self._loaded

    def begin(self, configuration):
        """Start to load the active jobs; agents report running attempts."""
        self._scheduler.configure(configuration, self._clock.seconds())
        ensureDeferred(self._load())

    def end(self):
        """Stop scheduling because another entry holds the lease."""
        self._stopped = True

    def configure(self, configuration):
        """Apply a configuration."""
        self._scheduler.configure(configuration, self._clock.seconds())
        self._dirty = True

    def worker_up(self, info):
        """Add a worker that its agent announced."""
        known = self._incarnations.get(info.name)
        if known is not None and known != info.incarnation:
            self.worker_lost(info.name)
        self._incarnations[info.name] = info.incarnation
        self._scheduler.worker_up(info, self._clock.seconds())
        self._dirty = True

    def worker_lost(self, name):
        """Remove a worker whose agent failed or that left."""
        self._incarnations.pop(name, None)
        self._scheduler.worker_lost(name)
        self._driver.on_worker_lost(name)
        self._dirty = True

    def submit(self, job):
        """Submit a job whose row is written."""
        if job.id in self._finished or job.id in self._held_back:
            return
        self._scheduler.submit(job, self._clock.seconds())
        self._dirty = True

    def submit_from_table(self, record):
        """Submit the job of an active row unless it is known already."""
        job_id = record.job.id
        known = job_id in self._delayed or self._scheduler.attempt_of(job_id)
        held_back = job_id in self._held_back or job_id in self._finished
        if not known and not held_back:
            self._scheduler.submit(record.job, self._submission_time(record))
            self._dirty = True

    def refusal(self, fields):
        """Return the reason why a job with these fields can never run, or None."""
        return self._scheduler.refusal(job_from_dict(fields))

    def workers(self):
        """Return the workers as JSON-ready objects."""
        return [
            {
                "name": worker.name,
                "zone": worker.zone,
                "rack": worker.rack,
                "capacity": list(worker.capacity),
                "free": list(worker.free),
                "usable": worker.usable,
                "labels": worker.labels,
                "attempts": sorted(worker.attempts),
            }
            for worker in self._scheduler.cluster.workers.values()
        ]

    def cancel(self, job_id):
        """Cancel a job whose row is marked as cancelled."""
        held = self._held_back.pop(job_id, None)
        if held is not None or self._delayed.pop(job_id, None) is not None:
            self._finish(FinishJob(job_id, "cancelled", "cancelled"))
        else:
            self._scheduler.cancel(job_id)
        self.decide()

    def on_agent_message(self, worker, incarnation, message):
        """Process an agent's message; ignore one of another incarnation."""
        if self._incarnations.get(worker) != incarnation:
            return
        if isinstance(message, Reserved):
            self._driver.on_reserved(worker, message)
        elif isinstance(message, Started):
            self._driver.on_started(worker, message)
        elif isinstance(message, MemberRefused):
            self._driver.on_refused(worker, message)
        elif isinstance(message, MembersEnded):
            self._driver.on_ended(worker, message)
        elif isinstance(message, AgentReport):
            self._on_report(worker, message)
        self._dirty = True

    def tick(self):
        """Resend unanswered messages and run the scheduler if it is due."""
        if self._stopped:
            return
        self._driver.tick()
        now = self._clock.seconds()
        if self._held_back and now - self._started_at > AGENT_TIMEOUT_S:
            self._release_held_back()
        for job_id, (job, due, since, progress_s) in list(self._delayed.items()):
            if due <= now:
                del self._delayed[job_id]
                self._scheduler.submit(job, since, progress_s)
                self._dirty = True
        wakeup = self._scheduler.next_wakeup(now)
        if self._dirty or (wakeup is not None and wakeup <= now):
            self.decide()

    def decide(self):
        """Run the scheduler and carry its actions out."""
        if self._stopped:
            return
        self._dirty = False
        for action in self._scheduler.decide(self._clock.seconds()):
            if isinstance(action, StartAttempt):
                ensureDeferred(self._start(action))
            elif isinstance(action, StopAttempt):
                self._driver.stop(
                    action.attempt_id, action.checkpoint, action.grace_s, action.reason
                )
            elif isinstance(action, FinishJob):
                self._finish(action)

    def explain(self, job_id):
        """Return the explanation of a job's state as a JSON-ready object."""
        if job_id in self._held_back:
            return {"state": "held", "why": "a previous scheduler may have started it"}
        return explain(self._scheduler, job_id, self._clock.seconds())

    def check_configuration(self, configuration):
        """Return (reason for refusal or None, warnings) for accounts' guarantees."""
        return self._scheduler.check(configuration)

    async def _load(self):
        while not self._stopped:
            records = await self._jobs.all_active()
            if not isinstance(records, Unavailable):
                break
            await deferLater(self._clock, LOAD_RETRY_S)
        else:
            return
        self._loaded = True
        for record in records:
            if record.job.id not in self._finished:
                self._hold_back(record)
        self._dirty = True

    def _hold_back(self, record):
        job = record.job
        if self._scheduler.attempt_of(job.id) or job.id in self._scheduler.queue:
            return
        if record.cancelled:
            self._held_back[job.id] = None
        else:
            self._held_back[job.id] = record

    def _release_held_back(self):
        """Queue jobs that no agent reports as running; end those that may have run.

        Only repeatable jobs, and jobs without an attempt, are queued again.
        """
        held, self._held_back = self._held_back, {}
        for attempt_id in list(self._partial_reports):
            self._stop_partial(attempt_id)
        for job_id, record in held.items():
            if self._scheduler.attempt_of(job_id):
                continue
            if record is None:
                self._finish(FinishJob(job_id, "cancelled", "cancelled"))
            elif record.attempt and not record.job.repeatable:
                reason = f"attempt {record.attempt} may have run"
                self._finish(FinishJob(job_id, "failed", reason))
            else:
                self._scheduler.submit(record.job, self._submission_time(record))
        self._dirty = True

    def _submission_time(self, record):
        """Return a job's submission time on this process's clock."""
        age_s = self._wall() - record.submitted_at if record.submitted_at else 0.0
        return self._clock.seconds() - max(0.0, age_s)

    def _on_report(self, worker, report):
        """Process an agent's report; adopt attempts whose members all run."""
        if report.epoch > self._epoch:
            return
        for reported in msgspec.json.decode(report.running):
            attempt_id = reported["attempt"]
            if reported["state"] == "running":
                self._on_running_report(worker, attempt_id, reported)
            elif reported["state"] in ("done", "failed", "stopped", "never-started"):
                self._on_ended_report(worker, attempt_id, reported)

    def _on_ended_report(self, worker, attempt_id, reported):
        """Process a completion, which a failed holder may not have recorded."""
        if attempt_id in self._driver.gangs or reported["state"] != "done":
            ended = MembersEnded(
                attempt_id,
                reported["state"],
                reported["detail"],
                reported["progress_s"],
            )
            self._driver.on_ended(worker, ended)
            return
        job = job_from_dict(reported["job"])
        places = self._done_reports.setdefault(attempt_id, {})
        places[worker] = reported["count"]
        if sum(places.values()) == job.members and self._held_back.pop(job.id, None):
            self._finish(FinishJob(job.id, "done", ""))

    def _on_running_report(self, worker, attempt_id, reported):
        if attempt_id in self._driver.gangs:
            return
        job = job_from_dict(reported["job"])
        places = self._partial_reports.setdefault(attempt_id, (job, {}))[1]
        places[worker] = reported["count"]
        if sum(places.values()) < job.members:
            return
        del self._partial_reports[attempt_id]
        other = self._scheduler.attempt_of(job.id)
        if other is not None or job.id in self._finished:
            self._stop_everywhere(attempt_id, places)
            return
        cancelled = job.id in self._held_back and self._held_back[job.id] is None
        self._held_back.pop(job.id, None)
        progress_s = reported["job"].get("progress_s", 0.0)
        self._scheduler.adopt(
            job, attempt_id, places, self._clock.seconds(), progress_s
        )
        self._driver.adopt(attempt_id, reported["job"], places)
        if cancelled:
            self._scheduler.cancel(job.id)

    def _stop_partial(self, attempt_id):
        _job, places = self._partial_reports.pop(attempt_id)
        self._stop_everywhere(attempt_id, places)

    def _stop_everywhere(self, attempt_id, places):
        """Stop an attempt that must not continue, without waiting for it to end."""
        job = {"shape": [0, 0, 0]}
        self._driver.adopt(attempt_id, job, places)
        self._driver.stop(attempt_id, False, 0.0, "attempt is incomplete")

    async def _start(self, action):
        job = action.job
        if not job.repeatable:
            record = await self._jobs.record_attempt(job.id, action.attempt_id)
            if self._stopped:
                return
            if isinstance(record, Unavailable) or record is None or record.cancelled:
                self._record_not_started(action.attempt_id)
                return
        attempt = self._scheduler.attempts.get(action.attempt_id)
        if attempt is None or attempt.state != "running":
            self._record_not_started(action.attempt_id)
            return
        document = {**job._asdict(), "progress_s": attempt.progress_s}
        self._driver.start(action.attempt_id, document, action.places)

    def _record_not_started(self, attempt_id):
        self._on_gang_event(GangEnded(attempt_id, "stopped", 0.0, False, ()))

    def _on_gang_event(self, event):
        now = self._clock.seconds()
        self._dirty = True
        if not isinstance(event, GangEnded):
            self._scheduler.started(event, now)
            return
        attempt = self._scheduler.attempts.get(event.attempt_id)
        if attempt is None:
            return
        job = attempt.job
        if event.state == "done":
            self._on_done(job.klass, now - attempt.since)
        if event.ran and not job.repeatable and event.state == "stopped":
            reason = f"attempt {event.attempt_id} may have run"
            self._scheduler.give_up(event.attempt_id, reason)
            return
        self._scheduler.ended(
            event.attempt_id, now, event.state, event.progress_s, event.blame
        )
        if not event.ran and event.state == "stopped":
            self._delay_retry(job.id, now)

    def _delay_retry(self, job_id, now):
        """Delay the next attempt at a job whose attempt did not start."""
        waiting = self._scheduler.queue.remove(job_id)
        if waiting is not None:
            self._delayed[job_id] = (
                waiting.job,
                now + RETRY_DELAY_S,
                waiting.since,
                waiting.progress_s,
            )

    def _finish(self, action):
        self._finished.add(action.job_id)
        ensureDeferred(self._jobs.finish(action.job_id, action.state, action.reason))
