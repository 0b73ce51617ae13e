"""Explain why a job waits, what would let it run and what it may preempt."""

from samphiredeal.policy import coverage, placement


def explain(scheduler, job_id, now):
    """Return the explanation of a job's state as a JSON-ready object."""
    attempt = scheduler.attempt_of(job_id)
    if attempt is not None:
        return {
            "state": attempt.state,
            "attempt": attempt.id,
            "places": dict(attempt.places),
            "within_guarantee": attempt.covered,
            "why": _why_attempt(scheduler, attempt),
        }
    waiting = scheduler.queue.get(job_id)
    if waiting is None:
        return {"state": "unknown", "why": "the scheduler has no such job"}
    job = waiting.job
    covered = coverage.within_guarantee(scheduler.ledger, job, job.shape)
    answer = {
        "state": "waiting",
        "waits_s": round(now - waiting.since, 1),
        "within_guarantee": covered,
        "why": waiting.blocked_by or "no placement has been tried yet",
        "would_help": _would_help(scheduler, job, covered),
    }
    held = scheduler.reservations.get(job_id)
    if held is not None:
        answer["reservation"] = {
            "workers": sorted(held.places),
            "due_in_s": round(max(0.0, held.due - now), 1),
            "may_displace": sorted(_preemptible_jobs(scheduler, held)),
        }
    return answer


def _why_attempt(scheduler, attempt):
    if attempt.state != "awaiting-room":
        return ""
    leaving = {
        other
        for name in attempt.places
        for other in scheduler.cluster.workers[name].attempts
        if other != attempt.id and scheduler.attempts[other].state == "stopping"
    }
    return f"waits for {', '.join(sorted(leaving)) or 'other attempts'} to stop"


def _would_help(scheduler, job, covered):
    missing = placement.infeasibility_reason(scheduler.cluster, job)
    if missing is not None:
        return missing
    if covered:
        return "a selector or label that allows the workers of its guarantee"
    most = max(scheduler.cluster.free_classes, default=0)
    return (
        f"{job.members} x {job.shape.accelerators} accelerators free within "
        f"{job.adjacency} (most free on one worker now: {most}), or a guarantee"
    )


def _preemptible_jobs(scheduler, held):
    for name in held.places:
        worker = scheduler.cluster.workers.get(name)
        for attempt_id in worker.attempts if worker else ():
            attempt = scheduler.attempts[attempt_id]
            if attempt.movable and not attempt.covered:
                yield attempt.job.id
