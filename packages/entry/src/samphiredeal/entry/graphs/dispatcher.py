"""I/O of the scheduler: stores progress, sends orders, receives reports.

A start is sent only after its placement is stored under this scheduler's epoch; a
completion is acknowledged to the worker only after the progress is stored.
"""

from itertools import islice

from eliot import log_message, write_traceback
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import work
from samphiredeal.entry.graphs.progress_store import ProgressStore
from samphiredeal.entry.graphs.sessions import Sessions
from samphiredeal.platform.table import (
    Committed,
    Condition,
    Conflict,
    Put,
    Unavailable,
    within,
)
from samphiredeal.policy.graphs import records
from samphiredeal.policy.graphs.scheduler import GraphScheduler

# Batches events that arrive together into one scheduling round.
_ROUND_DELAY_S = 0.01
# How often timeouts, due times and stalled runs are checked without an event.
_TICK_INTERVAL_S = 0.2
_STORE_RETRY_DELAY_S = 0.15
_DELETE_INTERVAL_S = 2.0
# With two conditions each, below the limit of a transaction's operations.
_MAX_CANCELS_PER_WRITE = 30
# Time allowed for a query to the advice service beyond its declared decision time.
_ADVICE_TIMEOUT_MARGIN_S = 1.0
_ADVICE_RETRY_DELAY_S = 0.5
# An unanswered write is retried after twice the duration of the last one, within these
# bounds, so that a slow store doesn't get a second copy of a write that is still
# queued there. The upper bound is below the timeout of the call itself.
_MIN_WRITE_TIMEOUT_S = 1.0
_MAX_WRITE_TIMEOUT_S = 1.4
# Many times what a healthy store takes; slower writes are logged.
_SLOW_WRITE_S = 0.1
# Nothing is started while the operator's rows are older than this. It has to be below
# the 5 s within which starts in a zone that is taken out must cease.
_OPERATIONS_MAX_AGE_S = 3.0
# How long a new scheduler waits for the reports of all workers before it places
# anything, so that it can choose among all of them.
_REPORT_WAIT_S = 0.25
# The condition on the epoch, and the heartbeat.
_OWN_OPERATIONS = 2
# Beliefs on speeds in one write. With the heartbeat they fit beside a full batch.
_MAX_SPEEDS_PER_WRITE = 20
# Steps of a job that are described in the log.
_LOGGED_STEPS = 12
# Active jobs, and units that have failed, that are named in the log as a term begins.
_LOGGED_JOBS = 100
# How often new checkpoints of running work are stored, so that they survive the loss of
# every scheduler's memory.
_CHECKPOINT_INTERVAL_S = 2.5


class Dispatcher:
    """One term of this entry as the scheduler."""

    def __init__(self, host, leadership):
        self._host = host
        self._clock = host.clock
        self._table = host.table
        self._view = host.view
        self._leadership = leadership
        self._scheduler = GraphScheduler(host.far_factor, host.gang_start_s)
        self._sessions = Sessions(host, leadership, self)
        self._progress_store = ProgressStore(host.table.limits, host.view.is_end_stored)
        self._completions_logged = set()
        self._workers_seen = set()
        self._started_at = self._clock.seconds()
        self._round = None
        self._committing = False
        self._write_timeout_s = _MIN_WRITE_TIMEOUT_S
        self._next_write_at = 0.0
        self._last_checkpoint_at = self._clock.seconds()
        self._querying_advice = False
        self._delete_at = self._clock.seconds() + _DELETE_INTERVAL_S
        # When a cancel without a job was first seen, by job id.
        self._unmatched_cancels = {}
        # The revision of the unreadable rows that the scheduler has been told.
        self._unreadable_revision = None
        self._stopped = False
        self._timer = None

    @property
    def scheduler(self):
        """The `GraphScheduler` of this term."""
        return self._scheduler

    def start(self):
        """Load all stored jobs and connect to all workers."""
        self.view_changed()
        self._log_term()
        self._tick()

    def _log_term(self):
        """Log what this scheduler knows of the jobs as its term begins."""
        jobs = self._scheduler.jobs.values()
        active = sorted(job.id for job in jobs if job.active)
        log_message(
            message_type="term_began",
            epoch=self._leadership.epoch,
            jobs=len(jobs),
            active=len(active),
            active_jobs=active[:_LOGGED_JOBS],
            failed_units=list(islice(_failed_units(jobs), _LOGGED_JOBS)),
            ends_by_rows=sum(self._view.is_end_stored(job.id) for job in jobs),
            rows_version=self._host.rows_version(),
        )

    def stop(self):
        """Stop at once; send and store nothing more."""
        self._stopped = True
        self._sessions.close()
        for timer in (self._round, self._timer):
            if timer is not None and timer.active():
                timer.cancel()

    def view_changed(self):
        """Apply new jobs, cancels, workers and operator's rows to the scheduler."""
        now = self._clock.seconds()
        view, scheduler = self._view, self._scheduler
        is_hold_changed = view.unreadable.revision != self._unreadable_revision
        released = self._hold_unreadable_jobs() if is_hold_changed else ()
        for job_id in view.jobs:
            if job_id not in scheduler.jobs and not view.is_held(job_id):
                self._load_job(job_id, now, job_id in released)
        if view.unreadable.revision != self._unreadable_revision:
            # Some could not be loaded.
            self._hold_unreadable_jobs()
            is_hold_changed = True
        for job_id in [one for one in scheduler.jobs if one not in view.jobs]:
            scheduler.forget_job(job_id)
            self._progress_store.forget(job_id)
            self._completions_logged.discard(job_id)
        if is_hold_changed:
            scheduler.sort_unplaced_runs()
        if released:
            self._sessions.apply_reports_again()
        for job_id in view.cancels:
            scheduler.cancel_job(job_id, now, view.is_end_stored(job_id))
        for name, stored in view.workers.items():
            scheduler.add_worker(name, stored.value.zone)
            if name not in self._workers_seen and name in view.speeds:
                scheduler.restore_speed(name, view.speeds[name].value.belief)
        # Rows that this scheduler writes later tell it nothing.
        self._workers_seen.update(view.workers)
        self._sessions.set_workers(view.workers_to_reach())
        operations = self._host.operations
        scheduler.zones_out = operations.zones_out
        scheduler.guarantees = operations.guarantees
        self.schedule_round()

    def _load_job(self, job_id, now, was_held):
        """Add a job by its rows; hold it if these make no sense together."""
        record = self._view.jobs[job_id].value
        try:
            progress = self._load_progress(job_id)
            self._scheduler.add_job(record, progress, now, was_held)
        except Exception as error:
            # One odd job must not keep the others from being scheduled.
            write_traceback()
            self._progress_store.forget(job_id)
            self._view.hold(job_id, error)
            return
        if progress is None:
            self._log_first_seen(self._scheduler.jobs[job_id])

    def _hold_unreadable_jobs(self):
        """Hold the jobs whose rows cannot be read; return those held no more.

        What the scheduler knew of the latter is dropped: another one may have written
        their rows meanwhile.
        """
        self._unreadable_revision = self._view.unreadable.revision
        released = self._scheduler.hold_jobs(self._view.held_records())
        for job_id in released:
            self._progress_store.forget(job_id)
        return released

    def _load_progress(self, job_id):
        """Return the stored `Progress` of a job, or None."""
        stored = self._view.progress.get(job_id)
        if stored is None:
            return None
        rows = self._view.unit_rows_of(job_id) if stored.value.is_split else {}
        self._progress_store.track(job_id, stored.version, rows, stored.value.units)
        return records.join(stored.value, rows.values())

    def report_received(self, name, report):
        """Process an agent's report."""
        self._scheduler.apply_report(name, report, self._clock.seconds())
        self.schedule_round()

    def schedule_round(self):
        """Schedule a round unless one is pending."""
        if not self._stopped and (self._round is None or not self._round.active()):
            self._round = self._clock.callLater(_ROUND_DELAY_S, self._run_round)

    def _tick(self):
        if self._stopped:
            return
        self._timer = self._clock.callLater(_TICK_INTERVAL_S, self._tick)
        self._sessions.tick()
        self._delete_old_rows()
        self.schedule_round()

    def _run_round(self):
        if self._stopped:
            return
        now = self._clock.seconds()
        reports_received = (
            now - self._started_at >= _REPORT_WAIT_S or self._sessions.all_reported
        )
        is_operations_fresh = self._host.operations_age_s() < _OPERATIONS_MAX_AGE_S
        # A plan also withdraws starts that were decided before and may not be sent now.
        may_start = reports_received and is_operations_fresh
        if may_start:
            self._scheduler.plan(now, self._host.wall_ms())
        for note in self._scheduler.take_log_entries():
            log_message(
                message_type=note.event, epoch=self._leadership.epoch, **note.fields
            )
        self._commit()
        self._sessions.send_orders(may_start)
        self._request_advice()

    # Advice

    def _request_advice(self):
        """Send the query of the last plan, unless another is in progress."""
        query = None if self._querying_advice else self._scheduler.take_advice_request()
        if query is not None and self._host.advice is not None:
            self._querying_advice = True
            ensureDeferred(self._query_advice(query)).addErrback(self._advice_failed)

    def _advice_failed(self, failure):
        self._querying_advice = False
        log_message(message_type="advice_failed", reason=failure.getTraceback())

    async def _query_advice(self, query):
        sent_at = self._clock.seconds()
        terms = query.terms
        expected_s = terms.decision_s + terms.per_worker_s * len(query.worker_ids)
        answer = await self._host.advice.query(
            query.step, query.worker_ids, expected_s + _ADVICE_TIMEOUT_MARGIN_S
        )
        log_message(
            message_type="advice",
            step=query.step,
            asked=len(query.worker_ids),
            good=len(getattr(answer, "tickets", ())),
            reason=getattr(answer, "reason", ""),
            took_ms=round((self._clock.seconds() - sent_at) * 1000, 1),
        )
        if isinstance(answer, Unavailable):
            await deferLater(self._clock, _ADVICE_RETRY_DELAY_S)
        else:
            self._scheduler.apply_advice(query, answer.tickets, answer.valid_s, sent_at)
        self._querying_advice = False
        self.schedule_round()

    # Storing

    def _commit(self):
        now = self._clock.seconds()
        if self._committing or now < self._next_write_at:
            return
        if self._host.is_store_silent():
            # A write sent now would still be awaited after the store has recovered.
            return
        if now - self._last_checkpoint_at > _CHECKPOINT_INTERVAL_S:
            self._last_checkpoint_at = now
            self._scheduler.mark_new_checkpoints()
        dirty = self._scheduler.take_dirty()
        if not dirty:
            self._sessions.completions_stored(self._sessions.last_completions())
            return
        self._committing = True
        ensureDeferred(self._store(dirty)).addErrback(self._commit_failed, dirty)

    def _commit_failed(self, failure, jobs):
        """Store the jobs again after an error, at the interval of a failed write."""
        self._committing = False
        for job in jobs:
            job.dirty = True
        self._next_write_at = self._clock.seconds() + _STORE_RETRY_DELAY_S
        log_message(message_type="commit_failed", reason=failure.getTraceback())

    async def _store(self, dirty):
        """Store changed jobs, as many as fit into one write."""
        batch = self._progress_store.next_batch(dirty)
        whole = {write.job for write in batch.writes if write.is_whole}
        for job in dirty:
            job.dirty = job not in whole
        if not batch.writes:
            self._committing = False
            self._sessions.completions_stored(self._sessions.last_completions())
            return
        completions = self._sessions.last_completions() if batch.is_all else {}
        conditions = [self._leadership.condition, *batch.conditions]
        speeds = self._speeds_to_store(batch)
        puts = [*batch.puts, *map(_speed_put, speeds.items())]
        puts.append(self._leadership.next_heartbeat())
        began_at = self._clock.seconds()
        write_answer = self._table.write(conditions, puts, batch.deletes)
        answer = await within(self._clock, self._write_timeout_s, write_answer)
        took_s = self._clock.seconds() - began_at
        self._write_timeout_s = min(
            max(_MIN_WRITE_TIMEOUT_S, 2 * took_s), _MAX_WRITE_TIMEOUT_S
        )
        self._log_write(batch, answer, took_s)
        if isinstance(answer, Unavailable) and answer.rejected:
            await self._handle_rejected_write(batch, answer)
        self._committing = False
        if self._stopped:
            return
        if isinstance(answer, Committed):
            self._progress_store.committed(batch, answer.versions)
            self._scheduler.speeds.mark_stored(speeds)
            for placement in batch.placements:
                placement.committed = True
            self._leadership.heartbeat_stored(began_at)
            self._sessions.completions_stored(completions)
            self._log_ended_jobs(batch.jobs)
        else:
            for job in batch.jobs:
                job.dirty = True
            self._handle_failed_write(answer)
        self.schedule_round()

    def _speeds_to_store(self, batch):
        """Return the changed beliefs on workers' speeds that fit into a write.

        They need no write of their own, and must not keep progress from being stored.
        """
        if not batch.is_all:
            return {}
        taken = len(batch.conditions) + len(batch.puts) + len(batch.deletes)
        room = self._host.table.limits.operations - _OWN_OPERATIONS - taken
        readable = (
            (name, belief)
            for name, belief in self._scheduler.speeds.changed().items()
            if work.speed_key(name) not in self._view.unreadable
        )
        return dict(islice(readable, max(0, min(room, _MAX_SPEEDS_PER_WRITE))))

    async def _handle_rejected_write(self, batch, answer):
        """Find the job whose rows the store rejects, and end it.

        The same write would be rejected again, and with it the heartbeat and the other
        jobs. A job is blamed only if the store takes a heartbeat alone.
        """
        if len(batch.jobs) > 1:
            self._progress_store.suspect(batch)
            return
        beat_answer = await self._leadership.beat()
        if self._stopped or not isinstance(beat_answer, Committed):
            return
        (job,) = batch.jobs
        key, size = batch.largest_row
        log_message(
            message_type="progress_rejected",
            epoch=self._leadership.epoch,
            job=job.id,
            reason=answer.reason,
            units=len(job.units),
            rows=len(batch.puts),
            largest_row=key,
            largest_row_bytes=size,
        )
        self._progress_store.omit_units(job)
        reason = f"its progress cannot be stored: {answer.reason}"
        self._scheduler.fail_unstorable_job(job.id, reason, self._clock.seconds())

    def _log_write(self, batch, answer, took_s):
        """Log a write of progress that was slow or did not apply."""
        stored = isinstance(answer, Committed)
        if stored and took_s < _SLOW_WRITE_S:
            return
        log_message(
            message_type="progress_written",
            epoch=self._leadership.epoch,
            jobs=[job.id for job in batch.jobs],
            stored=stored,
            reason=getattr(answer, "reason", ""),
            took_s=round(took_s, 3),
        )

    def _log_first_seen(self, job):
        """Log the age of a job that no scheduler has processed before."""
        age_ms = self._host.wall_ms() - job.record.accepted_ms
        job.unseen_s = max(0.0, round(age_ms / 1000, 3))
        fitting = self._scheduler.fitting_tasks(job)
        log_message(
            message_type="job_seen",
            epoch=self._leadership.epoch,
            job=job.id,
            queue=job.record.queue,
            priority=job.record.priority,
            unseen_s=job.unseen_s,
            stretch=job.record.stretch,
            target_s=job.record.target_latency_ms / 1000,
            steps=[
                (
                    step.estimate_ms / 1000,
                    step.count,
                    step.checkpointing,
                    step.after,
                    fitting[number],
                    step.shape.cores,
                )
                for number, step in enumerate(job.record.spec.steps[:_LOGGED_STEPS])
            ],
        )

    def _log_ended_jobs(self, jobs):
        """Log each ended job once, with its timings."""
        wall_ms = self._host.wall_ms()
        for job in jobs:
            if job.active or job.id in self._completions_logged:
                continue
            self._completions_logged.add(job.id)
            log_message(
                message_type="job_ended",
                epoch=self._leadership.epoch,
                job=job.id,
                state=job.state,
                reason=job.reason,
                age_s=round((wall_ms - job.record.accepted_ms) / 1000, 3),
                objective_s=self._scheduler.objective_s(job, wall_ms),
                unseen_s=job.unseen_s,
                longest_wait_s=round(job.longest_wait_s, 3),
                restarts=job.restarts,
                storing_s=round(self._clock.seconds() - job.ended_at, 3),
            )

    def _handle_failed_write(self, answer):
        if not isinstance(answer, Conflict):
            if not answer.rejected:
                self._next_write_at = self._clock.seconds() + _STORE_RETRY_DELAY_S
            return
        row = answer.row
        prefix, _, job_id = row.key.partition("/")
        log_message(message_type="commit_conflict", key=row.key, version=row.version)
        if row.key == work.EPOCH_KEY:
            self._leadership.step_down("a write was rejected: newer epoch in the store")
        elif not work.is_readable(row):
            # It is not ours to overwrite. The view is about to hold its job.
            self._next_write_at = self._clock.seconds() + _STORE_RETRY_DELAY_S
        elif prefix + "/" == work.cancel_key(""):
            self._handle_cancel_conflict(job_id)
        else:
            # The row was written by an earlier try of ours that had timed out.
            self._progress_store.raise_version(job_id, row.version)
            self._update_versions()

    def _handle_cancel_conflict(self, job_id):
        now = self._clock.seconds()
        job = self._scheduler.jobs.get(job_id)
        if job is not None and job.active:
            self._scheduler.cancel_job(job_id, now)
        else:
            # An earlier try may have stored its end before the cancel; the rows, which
            # come in order, tell which was first.
            self._next_write_at = now + _STORE_RETRY_DELAY_S

    def _update_versions(self):
        """Raise the expected versions to those of the rows in the view."""
        for job_id, stored in self._view.progress.items():
            self._progress_store.raise_version(job_id, stored.version)

    def _delete_old_rows(self):
        """Delete the rows that have been of no use for long enough."""
        now = self._clock.seconds()
        if now < self._delete_at:
            return
        self._delete_at = now + _DELETE_INTERVAL_S
        self._delete_old_jobs(now)
        self._delete_old_cancels(now)

    def _delete_old_jobs(self, now):
        """Delete the rows of jobs that ended long enough ago.

        `view_changed` removes the jobs once the deletions are seen.
        """
        old = [
            job.id
            for job in self._scheduler.jobs.values()
            if job.ended_at is not None
            and now - job.ended_at > self._host.state_kept_s
            and not job.has_placements
            and not job.dirty
            and not job.is_held
        ]
        self._delete([], self._progress_store.keys_to_delete(old))

    def _delete_old_cancels(self, now):
        """Delete the cancels of jobs that were not submitted in the time kept.

        The conditions keep a cancel if its job is submitted meanwhile.
        """
        known = self._unmatched_cancels
        cancels, jobs = self._view.cancels, self._view.jobs
        self._unmatched_cancels = {
            job_id: known.get(job_id, now)
            for job_id in cancels
            if job_id not in jobs and not self._view.is_held(job_id)
        }
        old = [
            job_id
            for job_id, first_seen_at in self._unmatched_cancels.items()
            if now - first_seen_at > self._host.state_kept_s
        ][:_MAX_CANCELS_PER_WRITE]
        conditions = []
        for job_id in old:
            conditions += [
                Condition(work.job_key(job_id), 0),
                Condition(work.cancel_key(job_id), cancels[job_id].version),
            ]
        self._delete(conditions, [work.cancel_key(job_id) for job_id in old])

    def _delete(self, conditions, keys):
        """Delete rows, if any, under this scheduler's epoch."""
        if keys:
            conditions = [self._leadership.condition, *conditions]
            deleted = self._table.write(conditions, [], keys)
            deleted.addErrback(_log_failed_deletion)


def _failed_units(jobs):
    """Yield (job, unit, run, failures, charged run, members) as read from the rows."""
    for job in jobs:
        for unit in job.units.values() if job.active else ():
            if unit.failures:
                charge = (unit.run, unit.failures, unit.failed_run)
                yield job.id, unit.key, *charge, len(unit.placements)


def _speed_put(item):
    name, belief = item
    record = records.speed_record(belief)
    return Put(work.speed_key(name), records.encode(record))


def _log_failed_deletion(failure):
    log_message(message_type="deletion_failed", reason=failure.getTraceback())
