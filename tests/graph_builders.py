"""Builders of job graphs, job records, workers and reports."""

from samphiredeal.model.graph import GraphSpec, JobRecord, StepSpec
from samphiredeal.model.runs import Report, WorkerFacts
from samphiredeal.model.shape import Shape
from samphiredeal.policy.graphs.scheduler import GraphScheduler

SERVICE = "desk"
# Steps of submitted jobs.
STEP = {"count": 2, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
LONG = {**STEP, "estimated-ms": 8000}
GANG = {**LONG, "count": 3, "gang": True, "gpu": 2, "cpu": 2000, "mem-mb": 2000}


def make_step(count=1, accelerators=1, **fields):
    """Return a step whose tasks need 1 core and 1 GB, or that per accelerator."""
    size = max(1, accelerators)
    shape = fields.pop("shape", Shape(1000 * size, 1000 * size, accelerators))
    return StepSpec(count, shape, fields.pop("estimate_ms", 4000), **fields)


def make_record(id="a1", steps=(), priority=1, **fields):
    """Return an accepted job of the account ``acct``, by default of one task."""
    spec = fields.pop("spec", GraphSpec("payload", tuple(steps) or (make_step(),)))
    defaults = {
        "queue": "queue",
        "service": SERVICE,
        "account": "acct",
        "max_attempts": 2,
        "stretch": 3.0,
        "target_latency_ms": 1000,
        "accepted_ms": 0,
    }
    return JobRecord(id=id, priority=priority, spec=spec, **{**defaults, **fields})


def make_facts(name="w", zone="a", rack="r1", accelerators=8, **fields):
    """Return a worker with 1 core and 1 GB per accelerator."""
    capacity = Shape(1000 * accelerators, 1000 * accelerators, accelerators)
    labels = fields.pop("labels", ("kind", rack))
    born_ms = fields.pop("born_ms", 1)
    return WorkerFacts(f"i-{name}", born_ms, SERVICE, zone, capacity, labels, **fields)


def make_report(facts, **fields):
    """Return a report, by default of an idle worker."""
    return Report(facts, **fields)


def make_scheduler(workers):
    """Return a scheduler with a report of each worker of ``{name: WorkerFacts}``."""
    scheduler = GraphScheduler()
    for name, facts in workers.items():
        scheduler.add_worker(name, facts.zone)
        scheduler.apply_report(name, make_report(facts), 0.0)
    return scheduler
