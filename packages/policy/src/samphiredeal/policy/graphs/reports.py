"""Processing of agents' reports: runs that are listed, ended or refused."""

from samphiredeal.model import runs
from samphiredeal.model.graph import parse_task_name
from samphiredeal.model.runs import RunId
from samphiredeal.policy.graphs import health, holding, measuring
from samphiredeal.policy.graphs.records import mark_listed
from samphiredeal.policy.graphs.state import (
    ACTIVE,
    FAILED,
    LISTED,
    ORDERED,
    Placement,
)

# A start is sent again if the agent has neither listed nor refused the run after this
# time: twice the duration of a normal start under load.
_START_RETRY_S = 1.0
_ENDED = "its worker's incarnation has ended"
# Number of workers kept, besides the newest, on which a unit has failed.
_FAILED_WORKERS_KEPT = 3


def apply_report(scheduler, worker, report, now):
    """Apply a report; return log entries ``(event, fields)``."""
    log_entries = []
    _update_facts(worker, report, now, log_entries)
    listed = set()
    polled_at = now - report.look_age_ms / 1000
    new_poll = report.looks != worker.polls
    worker.polls = report.looks
    for running in report.running:
        listed.add(RunId(running.task, running.run))
        placement = _apply_running(scheduler, worker, running, now, log_entries)
        if placement is not None and new_poll:
            _record_progress(placement, running, polled_at)
    for ended in report.ended:
        listed.add(RunId(ended.task, ended.run))
        _apply_completion(scheduler, worker, ended, now, log_entries)
    for refused in report.refused:
        _apply_refusal(scheduler, worker, refused, now, log_entries)
    _update_unplaced_runs(scheduler, worker, report)
    holding.check_list(scheduler, worker, report)
    _resend_orders(worker, report, listed, now)
    return log_entries


def _update_unplaced_runs(scheduler, worker, report):
    """Record the listed and pending runs without a placement here.

    A report that knows no worker says nothing of the runs that it does not list.
    """
    listed = frozenset(
        RunId(running.task, running.run)
        for running in report.running
        if (running.task, running.run) not in worker.placements
    )
    if report.worker is None:
        listed |= worker.unplaced_runs - worker.unplaced_pending
    pending = frozenset(run for run in report.pending if run not in worker.placements)
    if report.worker is None:
        pending |= worker.unplaced_pending
    worker.unplaced_runs = listed | pending
    worker.unplaced_pending = pending - listed
    holding.sort_unplaced_runs(scheduler, worker)


def _update_facts(worker, report, now, log_entries):
    worker.reachable = report.worker is not None
    facts = report.worker
    if facts is None:
        _remove_ended_runs(worker, report, log_entries)
        return
    _move_to_incarnation(worker, report, log_entries)
    if worker.life != facts.life:
        worker.life = facts.life
        worker.failures, worker.successes = [], []
        worker.stalled_at = None
    worker.id = facts.id
    worker.service = facts.service
    worker.zone = facts.zone
    worker.capacity = facts.capacity
    worker.labels = facts.labels
    if facts.leaving and not worker.leaving:
        log_entries.append(("worker_leaving", {"worker": worker.name}))
    worker.leaving = facts.leaving


def _remove_ended_runs(worker, report, log_entries):
    """Remove the runs of an incarnation that has ended; the next is not known yet.

    Pending starts may have been carried out by the next one.
    """
    if not report.ended_life:
        # A placement that a report added may not have an incarnation's name yet.
        return
    pending = set(report.pending)
    for placement in list(worker.placements.values()):
        is_pending = (placement.task, placement.run) in pending
        if placement.life == report.ended_life and not is_pending:
            _remove_lost_placement(worker, placement, _ENDED, log_entries)


def _move_to_incarnation(worker, report, log_entries):
    """Move the placements of earlier incarnations to the one that reports.

    A start in flight while the earlier one ended may be carried out by the next one,
    also after its first report. A run that it lists goes on there. Any other is stopped
    there first: only then will the worker certainly not start it any more.
    """
    life = report.worker.life
    listed = {(one.task, one.run) for one in (*report.running, *report.ended)}
    for placement in list(worker.placements.values()):
        if placement.life == life:
            continue
        if not placement.committed:
            # Its start has not been sent.
            _remove_lost_placement(worker, placement, _ENDED, log_entries)
            continue
        former_life, placement.life = placement.life, life
        placement.stop_ordered_at = placement.stop_sent_at = None
        placement.unit.job.touch(placement.unit)
        if (placement.task, placement.run) not in listed:
            placement.status = ORDERED
            placement.stopping = _ENDED
            _note_lost_run(worker, placement, former_life, _ENDED, log_entries)


def remove_all_placements(worker, reason, log_entries):
    """Remove all placements of a worker that certainly runs none of them."""
    for placement in list(worker.placements.values()):
        _remove_lost_placement(worker, placement, reason, log_entries)


def _remove_lost_placement(worker, placement, reason, log_entries):
    """Remove a placement and stop the rest of its gang."""
    _remove(worker, placement)
    _note_lost_run(worker, placement, placement.life, reason, log_entries)


def _note_lost_run(worker, placement, life, reason, log_entries):
    """Log that a run is lost with the incarnation `life`; stop the rest of its gang."""
    unit = placement.unit
    unit.job.touch(unit)
    _stop_remaining(unit, "a member of its gang was lost")
    fields = {
        "task": placement.task,
        "run": placement.run,
        "worker": worker.name,
        "life": life,
        "reason": reason,
        "saved": bool(unit.checkpoint),
    }
    log_entries.append(("run_lost", fields))


def _apply_running(scheduler, worker, running, now, log_entries):
    placement = worker.placements.get((running.task, running.run))
    if placement is None:
        placement = _adopt(scheduler, worker, running.task, running.run, now)
        if placement is None:
            return None
        fields = {
            "task": placement.task,
            "run": placement.run,
            "worker": worker.name,
            "life": placement.life,
        }
        log_entries.append(("run_found", fields))
    mark_listed(placement, now)
    unit = placement.unit
    if running.checkpoint:
        unit.checkpoint = running.checkpoint
    job = unit.job
    if not job.begun and job.active:
        job.begun = True
        job.state = ACTIVE
        job.dirty = True
    return placement


def _record_progress(placement, running, polled_at):
    """Record a run's progress from a new poll of the worker."""
    placement.seen_at = polled_at
    if placement.first_look is None:
        placement.first_look = (polled_at, running.percent)
    if running.percent != placement.percent:
        measuring.record_change(placement, running.percent, polled_at)
        placement.percent = running.percent
        placement.percent_at = polled_at
        placement.still_looks = 0
    else:
        placement.still_looks += 1
    if running.still_looks > placement.still_looks:
        # The agent kept polling while it had another scheduler or none.
        placement.still_looks = running.still_looks
        placement.percent_at = polled_at - running.still_ms / 1000


def _adopt(scheduler, worker, task, run, now):
    """Add a placement, to be stopped, for a known task's run that has none here."""
    unit, index = find_unit(scheduler, task)
    if unit is None or unit.job.is_held:
        return None
    here = unit.placements.get(index)
    if here is not None and here.run >= run:
        return None
    if here is not None or run < unit.run or unit.done or not unit.job.active:
        return None
    placement = Placement(unit, index, worker, run, now)
    placement.committed = True
    placement.stopping = "not placed here by this scheduler"
    unit.run = max(unit.run, run)
    unit.placements[index] = placement
    worker.add(placement)
    return placement


def _apply_completion(scheduler, worker, ended, now, log_entries):
    unit, index = find_unit(scheduler, ended.task)
    if unit is None or unit.job.is_held:
        return
    placement = unit.placements.get(index)
    is_current = placement is not None and placement.run == ended.run
    if is_current and placement.worker == worker.name:
        measuring.record_run(scheduler.speeds, placement, worker)
        _remove(worker, placement)
    elif ended.how != runs.DONE or unit.done or unit.spec.lasting:
        return
    log_entries.append(
        (
            "run_ended",
            {
                "task": ended.task,
                "run": ended.run,
                "worker": worker.name,
                "how": ended.how,
                "reason": placement.stopping if is_current else "",
                "saved": bool(ended.checkpoint),
                "failures": unit.failures,
                "charged_run": unit.failed_run,
            },
        )
    )
    unit.job.touch(unit)
    if ended.checkpoint and ended.run >= unit.run:
        unit.checkpoint = ended.checkpoint
    if ended.how == runs.DONE and not unit.spec.lasting:
        _record_forecast(scheduler, unit, ended.run, now)
        _finish_unit(unit, worker, now)
    elif ended.how == runs.FAILED:
        started_at = placement.running_since if is_current else None
        ran_s = now - started_at if started_at is not None else 0.0
        _fail_unit(unit, worker, ran_s, now)
        _count_failed_run(unit, ended.run, now, log_entries)
    else:
        _stop_remaining(unit, ended.how)
    unit.job.close_finished(now, unit.occurrence)


def _record_forecast(scheduler, unit, run, now):
    """Record how long a run took beside what was expected of it."""
    forecast, unit.forecast = unit.forecast, None
    if forecast is not None and forecast.run == run:
        scheduler.run_spread.record(
            forecast.run_s, now - forecast.placed_at, forecast.speed_deviation
        )


def _finish_unit(unit, worker, now):
    if not unit.done:
        unit.done = True
        unit.done_at = now
    health.record_success(worker, now)


def _fail_unit(unit, worker, ran_s, now):
    health.record_failure(worker, unit, ran_s, now)
    others = [name for name in unit.failed_on if name != worker.name]
    unit.failed_on = [*others[-_FAILED_WORKERS_KEPT:], worker.name]
    _stop_remaining(unit, "a member of its gang failed")


def _count_failed_run(unit, run, now, log_entries):
    """Charge an attempt for a failed run, once for all members that fail in it.

    Run numbers rise, and a run starts after all members of the one before are gone.
    """
    if unit.spec.lasting or unit.done or run <= unit.failed_run:
        return
    unit.failed_run = run
    unit.failures += 1
    job = unit.job
    fields = {
        "job": job.id,
        "unit": unit.key,
        "run": run,
        "failures": unit.failures,
        "max_attempts": job.record.max_attempts,
    }
    log_entries.append(("attempt_failed", fields))
    if unit.failures >= job.record.max_attempts and job.active:
        reason = f"task {unit.key} has failed {unit.failures} times"
        job.end(FAILED, reason, now)


def _stop_remaining(unit, reason):
    if unit.done:
        return
    for other in unit.placements.values():
        other.stopping = other.stopping or reason


def _apply_refusal(scheduler, worker, refused, now, log_entries):
    placement = worker.placements.get((refused.task, refused.run))
    if placement is None or placement.unit.job.is_held:
        return
    log_entries.append(
        (
            "run_refused",
            {
                "task": refused.task,
                "run": refused.run,
                "worker": worker.name,
                "reason": refused.reason,
            },
        )
    )
    _remove(worker, placement)
    unit = placement.unit
    unit.job.touch(unit)
    health.record_refusal(worker, refused.reason, now)
    if refused.reason == runs.NO_TICKET:
        scheduler.tickets.drop(unit, worker)
    _stop_remaining(unit, f"a member of its gang was refused: {refused.reason}")
    unit.job.close_finished(now, unit.occurrence)


def _resend_orders(worker, report, listed, now):
    """Mark starts without an effect in due time to be sent again."""
    if report.worker is None or not report.complete:
        # The worker has not been polled, or has more completions than it lists: a run
        # that is missing may still be running, or may have ended.
        return
    pending = set(report.pending)
    for placement in worker.placements.values():
        run = RunId(placement.task, placement.run)
        if placement.status != ORDERED and run not in listed and run not in pending:
            # No longer listed, and no completion reported: the completion was dropped.
            placement.status = ORDERED
            placement.sent_at = None
        if placement.sent_at is None or placement.status == LISTED:
            continue
        overdue = now - placement.sent_at > _START_RETRY_S
        if overdue and run not in pending and run not in listed:
            placement.sent_at = None


def find_unit(scheduler, task):
    """Return (unit, index) of the named task, or (None, 0)."""
    name = parse_task_name(task)
    job = scheduler.jobs.get(name.job) if name else None
    unit = job.unit_of(name) if job else None
    return (unit, name.index) if unit else (None, 0)


def _remove(worker, placement):
    worker.remove(placement)
    if placement.unit.placements.get(placement.index) is placement:
        del placement.unit.placements[placement.index]
