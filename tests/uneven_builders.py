"""Builders of schedulers with workers of unequal speed."""

from graph_builders import make_facts, make_record, make_scheduler, make_step

from samphiredeal.policy.graphs.speeds import Belief


def make_uneven_scheduler(speeds):
    """Return a scheduler that knows these speeds of workers with 8 accelerators."""
    scheduler = make_scheduler({name: make_facts(name) for name in speeds})
    for name, log_speed in speeds.items():
        scheduler.restore_speed(name, Belief(log_speed, 150.0))
    return scheduler


def places_of(scheduler, job_id):
    """Return the names of the workers on which a job is placed."""
    units = scheduler.jobs[job_id].units.values()
    return sorted(p.worker for unit in units for p in unit.placements.values())


def start_urgent(scheduler, job_id, now, **step):
    record = make_record(
        job_id, [make_step(**step)], priority=0, stretch=1.5, target_latency_ms=250
    )
    scheduler.add_job(record._replace(accepted_ms=round(now * 1000)), None, now)
    scheduler.plan(now, round(now * 1000))
