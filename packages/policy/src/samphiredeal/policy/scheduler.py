"""Scheduler state and decisions.

The host passes in events (jobs, workers, configuration, completed attempts) and
calls `decide`, which returns actions. The current time is an argument; nothing here
does I/O. An attempt is *covered* if it runs within its account's guarantee. Only
*movable* jobs, which can be preempted, are placed on free capacity outside of it.
"""

import hashlib

from samphiredeal.model import configuration as config
from samphiredeal.model import selector
from samphiredeal.model.job import URGENT
from samphiredeal.policy import coverage, feasibility, placement, reservation, scoring
from samphiredeal.policy.actions import FinishJob, StopAttempt
from samphiredeal.policy.admission import (
    AWAITING_CAPACITY,
    STOPPING,
    Admission,
    Attempt,
)
from samphiredeal.policy.cluster import Cluster, Worker, allows
from samphiredeal.policy.estimate import CAUTIOUS, Estimator
from samphiredeal.policy.health import Health
from samphiredeal.policy.ledger import Ledger
from samphiredeal.policy.queue import Queue, WaitingJob

ZONE_GRACE_S = 20.0
# Workers of a zone that is back in use become usable at times spread over this period.
ZONE_RETURN_SPREAD_S = 30.0
# Failed placements of an account after which its remaining jobs are left for a later
# decision; within guarantees, urgent jobs and others are counted separately.
_MAX_FAILED_PLACEMENTS = 8


class Scheduler:
    """Scheduler for one region.

    `make_score(mix)` returns the scoring function for candidate workers. Attempt ids
    contain the epoch, so that no two schedulers assign the same id.
    """

    def __init__(
        self,
        epoch=0,
        make_score=lambda mix: scoring.best_fit,
        reserve_after_s=reservation.RESERVE_AFTER_S,
    ):
        self._cluster = Cluster()
        self._ledger = Ledger(self._cluster)
        self._queue = Queue()
        self._actions = []
        self._admission = Admission(
            self._cluster, self._ledger, self._queue, self._actions
        )
        self._mix = scoring.ShapeMix()
        self._score = make_score(self._mix)
        self._estimator = Estimator()
        self._health = Health()
        self._configuration = config.EMPTY
        self._reservations = {}
        self._reserve_after_s = reserve_after_s
        self._usable_again_at = {}
        self._blocked = {}
        self._blocked_version = -1
        self._attempt_count = 0
        self._epoch = epoch
        self._infos = {}

    @property
    def cluster(self):
        """The workers."""
        return self._cluster

    @property
    def ledger(self):
        """The guarantee ledger."""
        return self._ledger

    @property
    def queue(self):
        """The queue of waiting jobs."""
        return self._queue

    @property
    def attempts(self):
        """Attempts by id."""
        return self._admission.attempts

    @property
    def estimator(self):
        """The corrections of declared run times and sizes."""
        return self._estimator

    @property
    def health(self):
        """The failure counts and quarantines."""
        return self._health

    @property
    def reservations(self):
        """Reservations by job id."""
        return self._reservations

    def attempt_of(self, job_id):
        """Return the current attempt at a job, or None."""
        return self._admission.attempt_of(job_id)

    def fragmentation(self):
        """Return the share of free accelerators unusable by the largest waiting job.

        Return 0 if no job waits or no accelerator is free.
        """
        waiting = (w.job.shape.accelerators for w in self._queue.all())
        largest = max(waiting, default=0)
        classes = [(n, c) for n, c in self._cluster.free_classes.items() if n > 0]
        free = sum(number * count for number, count in classes)
        if not largest or not free:
            return 0.0
        return sum((number % largest) * count for number, count in classes) / free

    # Workers and configuration

    def worker_up(self, worker_info, now):
        """Add a worker, or update it if it announced itself before."""
        known = self._cluster.workers.get(worker_info.name)
        if known is not None:
            if (
                known.capacity == worker_info.capacity
                and known.zone == worker_info.zone
            ):
                known.incarnation = worker_info.incarnation
                self._update_labels(known, worker_info)
                return
            self.worker_lost(worker_info.name)
        self._infos[worker_info.name] = worker_info
        worker = Worker(worker_info, self._configuration.labels_of(worker_info))
        worker.usable = not self._configuration.zone_is_out(worker_info.zone)
        self._cluster.add(worker)
        self._ledger.schedule_repair()

    def worker_lost(self, name):
        """Remove a worker.

        The host reports the completion of the attempts that ran there.
        """
        worker = self._cluster.remove(name)
        self._infos.pop(name, None)
        if worker is None:
            return
        if worker.held_for is not None:
            self._drop_reservation(worker.held_for)
        self._mark_uncovered(self._ledger.remove_worker(worker))
        for attempt_id in list(worker.attempts):
            self.attempts[attempt_id].places.pop(name, None)
        self._usable_again_at.pop(name, None)

    def configure(self, configuration, now):
        """Apply a configuration of a higher revision."""
        old, self._configuration = self._configuration, configuration
        for name, worker_info in self._infos.items():
            self._update_labels(self._cluster.workers[name], worker_info)
        for zone in {w.zone for w in self._cluster.workers.values()}:
            was_out, is_out = old.zone_is_out(zone), configuration.zone_is_out(zone)
            if is_out and not was_out:
                self._vacate_zone(zone)
            elif was_out and not is_out:
                self._restore_zone(zone, now)
        if old.accounts != configuration.accounts:
            self._mark_uncovered(self._ledger.configure(configuration.accounts))
        self._cluster.bump_version()

    def _update_labels(self, worker, worker_info):
        labels = self._configuration.labels_of(worker_info)
        if labels != worker.labels:
            worker.labels = labels
            self._cluster.bump_version()

    def _vacate_zone(self, zone):
        """Stop placing work in a zone and stop its movable attempts, urgent first."""
        workers = [w for w in self._cluster.workers.values() if w.zone == zone]
        for worker in workers:
            self._usable_again_at.pop(worker.name, None)
            self._cluster.set_usable(worker, False)
        leaving = {a for worker in workers for a in worker.attempts}
        for worker in workers:
            self._mark_uncovered(self._ledger.remove_worker(worker))
        ordered = sorted(leaving, key=lambda a: (self._is_not_urgent(a), a))
        for attempt_id in ordered:
            if self.attempts[attempt_id].movable:
                self._admission.stop(attempt_id, ZONE_GRACE_S, f"zone {zone} is out")
        for job_id, held in list(self._reservations.items()):
            if any(self._cluster.workers[n].zone == zone for n in held.places):
                self._drop_reservation(job_id)

    def _is_not_urgent(self, attempt_id):
        return self.attempts[attempt_id].job.klass != URGENT

    def _restore_zone(self, zone, now):
        """Schedule when the workers of a zone become usable again.

        The times are spread over `ZONE_RETURN_SPREAD_S` by a hash of the worker's name.
        """
        for worker in self._cluster.workers.values():
            if worker.zone == zone:
                spread = hashlib.blake2b(worker.name.encode(), digest_size=2).digest()
                share = int.from_bytes(spread, "big") / 65536
                self._usable_again_at[worker.name] = now + share * ZONE_RETURN_SPREAD_S

    def _mark_uncovered(self, attempt_ids):
        """Mark attempts that lost their slices as running outside their guarantee."""
        for attempt_id in attempt_ids:
            attempt = self.attempts.get(attempt_id)
            if attempt is None:
                continue
            attempt.covered = False
            for name in attempt.places:
                worker = self._cluster.workers.get(name)
                if worker is not None and attempt_id in worker.attempts:
                    shape, _covered = worker.attempts[attempt_id]
                    self._cluster.release(worker, attempt_id)
                    self._cluster.occupy(worker, attempt_id, shape, False)

    # Jobs

    def check(self, configuration):
        """Return (reason to refuse or None, warnings); see `feasibility.check`."""
        return feasibility.check(list(self._infos.values()), configuration)

    def refusal(self, job):
        """Return why a job can never run as specified, or None."""
        account = self._configuration.accounts.get(job.account)
        if account is None:
            return f"account: {job.account!r} is unknown"
        if not self._cluster.workers:
            return None
        missing = placement.infeasibility_reason(
            self._cluster, job, account.get("selector", "")
        )
        if (
            missing is None
            and not self._is_movable(job)
            and not self._guarantee_could_hold(job)
        ):
            return "movable: work that may not be moved must fit the guarantee"
        return missing

    def submit(self, job, now, progress_s=0.0):
        """Queue a job, unless it is queued or running already."""
        if job.id in self._queue or self.attempt_of(job.id):
            return
        self._mix.observe(job.shape.accelerators)
        self._queue.add(WaitingJob(job, now, progress_s))

    def adopt(self, job, attempt_id, places, now, progress_s=0.0):
        """Add an attempt that agents report as running."""
        waiting = self._queue.remove(job.id) or WaitingJob(job, now, progress_s)
        known = {n: c for n, c in places.items() if n in self._cluster.workers}
        attempt = Attempt(attempt_id, waiting, known, job.shape, False)
        attempt.movable = self._is_movable(job)
        self._cover_in_place(attempt)
        self._admission.adopt(attempt, now)

    def _cover_in_place(self, attempt):
        """Claim slices of the account on the workers where an adopted attempt runs."""
        claimed = []
        for name, count in attempt.places.items():
            worker = self._cluster.workers[name]
            for piece in self._ledger.slices_of(attempt.job.account):
                taken = min(count, attempt.shape.copies_in(piece.free))
                if taken and self._ledger.move(piece, worker):
                    claimed.append((piece, taken))
                    count -= taken
                if not count:
                    break
            if count:
                return
        for piece, taken in claimed:
            self._ledger.claim(attempt.id, piece, attempt.shape.times(taken))
        attempt.covered = True

    def cancel(self, job_id):
        """Cancel a job; return whether it was queued or running.

        A queued job is removed in O(1); a running attempt is stopped.
        """
        if self._queue.remove(job_id) is not None:
            self._forget_job(job_id)
            self._actions.append(FinishJob(job_id, "cancelled", "cancelled"))
            return True
        attempt = self.attempt_of(job_id)
        if attempt is None:
            return False
        if attempt.state == AWAITING_CAPACITY:
            self._admission.release(attempt)
            self._forget_job(job_id)
            self._actions.append(FinishJob(job_id, "cancelled", "cancelled"))
        else:
            self._actions.append(StopAttempt(attempt.id, False, 0.0, "cancelled"))
            attempt.state = STOPPING
        return True

    def started(self, attempt_id, now):
        """Record that all members of an attempt run."""
        attempt = self.attempts.get(attempt_id)
        if attempt is not None:
            attempt.started_at = now

    def ended(self, attempt_id, now, state, progress_s=0.0, blame=()):
        """Record that an attempt completed on all its workers.

        `state` is ``done``, ``failed``, ``stopped`` (the job is requeued with its
        original waiting time and `progress_s` of checkpointed work) or
        ``cancelled``. `blame` names the workers whose members failed.
        """
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            return
        workers = list(attempt.places)
        self._admission.release(attempt)
        job = attempt.job
        if state == "done":
            self._succeeded(attempt, workers, now)
        elif state == "cancelled":
            self._finish(job.id, "cancelled", "cancelled")
        elif state == "failed" and self._fail(attempt, blame or workers, now):
            return
        else:
            self._queue.add(
                WaitingJob(job, attempt.since, attempt.progress_s + progress_s)
            )

    def give_up(self, attempt_id, reason):
        """Fail a job whose attempt may have run and must not be repeated."""
        attempt = self.attempts.get(attempt_id)
        if attempt is not None:
            self._admission.release(attempt)
            self._finish(attempt.job.id, "failed", reason)

    def _succeeded(self, attempt, workers, now):
        if attempt.started_at is not None:
            run_s = attempt.progress_s + now - attempt.started_at
            self._estimator.observe_run(attempt.job, run_s)
        for name in workers:
            if self._health.succeeded(name):
                self._set_usable(name, True)
        self._finish(attempt.job.id, "done", "")

    def _fail(self, attempt, workers, now):
        """Record a failure; return whether the job was finished as failed."""
        job = attempt.job
        for name in workers:
            if self._health.failed(name, job.id, attempt.id, now):
                self._set_usable(name, False)
        if not job.repeatable:
            self._finish(job.id, "failed", "failed, and it is not repeatable")
            return True
        if self._health.failed_too_often(job.id):
            failed_on = sorted(self._health.workers_failed_by(job.id))
            self._finish(job.id, "failed", f"failed on workers {', '.join(failed_on)}")
            return True
        return False

    def _finish(self, job_id, state, reason):
        self._forget_job(job_id)
        self._actions.append(FinishJob(job_id, state, reason))

    def _forget_job(self, job_id):
        self._health.forget_job(job_id)
        self._drop_reservation(job_id)

    # Decisions

    def decide(self, now):
        """Return the actions to take now."""
        self._restore_due_workers(now)
        for name in self._health.due_probes(now):
            self._health.begin_probe(name)
            self._set_usable(name, True)
        self._ledger.repair_if_due()
        if self._blocked_version != self._cluster.version:
            self._blocked.clear()
            self._blocked_version = self._cluster.version
        self._place_covered(now)
        self._reserve_for_long_waiting(now)
        self._place_uncovered(now)
        self._admission.start_ready(now)
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def next_wakeup(self, now):
        """Return the time at which `decide` is due without an event, or None."""
        times = list(self._usable_again_at.values())
        times += [held.due for held in self._reservations.values()]
        times += [
            state.until
            for state in self._health.quarantines.values()
            if not state.probing
        ]
        times += [
            max(waiting.since + self._reserve_after_s, waiting.reserve_at)
            for waiting in self._queue.all()
            if max(waiting.since + self._reserve_after_s, waiting.reserve_at) > now
        ]
        return min(times, default=None)

    def _restore_due_workers(self, now):
        for name, when in list(self._usable_again_at.items()):
            if when <= now:
                del self._usable_again_at[name]
                self._set_usable(name, True)

    def _set_usable(self, name, usable):
        worker = self._cluster.workers.get(name)
        if worker is None:
            return
        out = self._configuration.zone_is_out(worker.zone)
        quarantined = name in self._health.quarantines
        if quarantined and not self._health.is_probing(name):
            usable = False
        if usable == worker.usable or (usable and out):
            return
        self._cluster.set_usable(worker, usable)
        if usable:
            self._ledger.schedule_repair()
        else:
            self._mark_uncovered(self._ledger.remove_worker(worker))

    def _place_covered(self, now):
        """Place jobs within their guarantees, preempting borrowers if necessary."""
        for jobs in self._queue.by_urgency_and_account():
            blocked = 0
            for waiting in jobs:
                if not self._try_covered(waiting, now):
                    blocked += 1
                    if blocked >= _MAX_FAILED_PLACEMENTS:
                        break

    def _try_covered(self, waiting, now):
        job = waiting.job
        shape = job.shape
        key = ("covered", _signature(job))
        if key in self._blocked:
            return False
        parts = self._plan_covered(job, shape)
        if parts is None:
            self._blocked[key] = True
            return False
        if coverage.accelerators_to_preempt(parts, shape) and self._try_uncovered(
            waiting, now
        ):
            return True
        places = {}
        for part in parts:
            name = part.worker.name
            places[name] = places.get(name, 0) + part.members
        attempt = self._new_attempt(waiting, places, shape, covered=True)
        for part in parts:
            self._ledger.claim(attempt.id, part.piece, shape.times(part.members))
        self._admission.admit(attempt, now)
        return True

    def _plan_covered(self, job, shape):
        """Return parts whose slices are all placed on the parts' workers, or None.

        Unclaimed slices are moved to the planned workers.
        """
        if not coverage.within_guarantee(self._ledger, job, shape):
            return None

        def admit(worker):
            return self._admits(worker, job, covered=True)

        parts = coverage.plan(self._ledger, self._cluster, job, shape, admit)
        if parts is None:
            return None
        for part in parts:
            self._ledger.move(part.piece, part.worker)
        # A later move may have swapped an earlier slice to another worker.
        if all(part.piece.worker is part.worker for part in parts):
            return parts
        parts = coverage.plan(
            self._ledger, self._cluster, job, shape, admit, relocate=False
        )
        if parts is None or all(p.piece.worker is p.worker for p in parts):
            return parts
        return None

    def _place_uncovered(self, now):
        """Place movable jobs on free capacity, by dominant share and waiting time."""
        blocked_by_account = {}
        for waiting in self._queue.in_share_order(self._share):
            job = waiting.job
            if blocked_by_account.get(job.account, 0) >= _MAX_FAILED_PLACEMENTS:
                continue
            if not self._try_uncovered(waiting, now):
                blocked_by_account[job.account] = (
                    blocked_by_account.get(job.account, 0) + 1
                )

    def _try_uncovered(self, waiting, now):
        job = waiting.job
        if not self._is_movable(job):
            waiting.blocked_by = "its account's guarantee is in use"
            return False
        key = _signature(job)
        held = self._reservations.get(job.id)
        if held is None and key in self._blocked:
            waiting.blocked_by = self._blocked[key]
            return False
        shape = self._estimator.shape(job)
        run_s = self._estimator.run_time(job, CAUTIOUS) - waiting.progress_s

        def admit(worker):
            return self._admits(worker, job, False, now + run_s)

        places = placement.find_places(self._cluster, job, shape, self._score, admit)
        if places is None:
            waiting.blocked_by = "no free capacity that it may use"
            self._blocked[key] = waiting.blocked_by
            return False
        self._admission.admit(
            self._new_attempt(waiting, places, shape, covered=False), now
        )
        return True

    def _admits(self, worker, job, covered, ends_at=0.0):
        """Return whether a job may be placed on a worker.

        `ends_at` is the expected completion time: an uncovered job may use a reserved
        worker only if it completes before the reservation is due.
        """
        account = self._configuration.accounts.get(job.account, {})
        if not allows(account.get("selector", ""), worker):
            return False
        if self._health.is_probing(worker.name):
            return job.repeatable and job.members == 1 and not worker.attempts
        if covered or worker.held_for is None or worker.held_for == job.id:
            return True
        held = self._reservations.get(worker.held_for)
        return held is None or ends_at <= held.due

    def _reserve_for_long_waiting(self, now):
        """Use reservations that are due; reserve workers for a long-waiting job."""
        for job_id, held in list(self._reservations.items()):
            if now >= held.due:
                self._use_reservation(job_id, held, now)
        if len(self._reservations) >= reservation.MAX_RESERVATIONS:
            return
        limit = now - self._reserve_after_s
        long_waiting = [
            waiting
            for waiting in self._queue.all()
            if waiting.since <= limit
            and waiting.reserve_at <= now
            and waiting.job.id not in self._reservations
            and self._is_movable(waiting.job)
        ]
        if long_waiting:
            # Only one search per decision, to bound the duration of a decision.
            self._reserve(min(long_waiting, key=lambda w: w.since), now)

    def _reserve(self, waiting, now):
        job = waiting.job
        shape = self._estimator.shape(job)
        places = reservation.choose_workers(
            self._cluster,
            job,
            shape,
            self.attempts,
            now,
            lambda worker: self._admits(worker, job, False),
        )
        if places is None:
            waiting.reserve_at = now + reservation.RETRY_S
            return
        held = reservation.Reservation(job.id, places, now + reservation.DRAIN_S)
        self._reservations[job.id] = held
        for name in places:
            self._cluster.workers[name].held_for = job.id

    def _use_reservation(self, job_id, held, now):
        """Admit the job on its reserved workers, preempting what still runs there."""
        waiting = self._queue.get(job_id)
        self._drop_reservation(job_id)
        if waiting is None:
            return
        shape = self._estimator.shape(waiting.job)
        attempt = self._new_attempt(waiting, held.places, shape, covered=False)
        attempt.protected_until = now + reservation.PROTECTED_S
        self._admission.admit(attempt, now)

    def _drop_reservation(self, job_id):
        held = self._reservations.pop(job_id, None)
        if held is None:
            return
        for name in held.places:
            worker = self._cluster.workers.get(name)
            if worker is not None and worker.held_for == job_id:
                worker.held_for = None
        self._cluster.bump_version()

    # Attempts

    def _new_attempt(self, waiting, places, shape, covered):
        self._queue.remove(waiting.job.id)
        self._drop_reservation(waiting.job.id)
        self._attempt_count += 1
        attempt_id = f"{waiting.job.id}.{self._epoch}.{self._attempt_count}"
        attempt = Attempt(attempt_id, waiting, dict(places), shape, covered)
        attempt.movable = self._is_movable(waiting.job)
        return attempt

    def _share(self, account):
        """Return an account's dominant share, divided by its weight."""
        weight = self._configuration.accounts.get(account, {}).get("weight", 1.0)
        used = self._admission.usage(account)
        return used.dominant_share(self._cluster.capacity) / weight

    def _is_movable(self, job):
        """Return whether the job and the account's configuration allow preemption."""
        if not job.repeatable:
            return False
        account = self._configuration.accounts.get(job.account, {})
        text = account.get("movable_selector", "")
        if not text:
            return job.movable
        labels = {"class": job.klass, "kind": job.kind, **job.labels}
        return selector.matches(selector.parse(text), labels)

    def _guarantee_could_hold(self, job):
        """Return whether the job fits the account's whole guarantee if it is unused."""
        pieces = self._ledger.slices_of(job.account)
        copies = sum(job.shape.copies_in(piece.guarantee.shape) for piece in pieces)
        return copies >= job.members


def _signature(job):
    """Return the properties that decide on which workers a job fits."""
    return (
        job.account,
        job.shape,
        job.members,
        job.adjacency,
        job.selector,
        job.klass,
        job.kind,
    )
