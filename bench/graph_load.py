"""Seeded random jobs of steps, after the load profiles of the deployments."""

import random
from typing import NamedTuple

from samphiredeal.model.graph import GraphSpec, JobRecord, StepSpec
from samphiredeal.model.shape import Shape

SERVICE = "desk"
# Jobs that wait at the start are submitted this long before the first arrival.
LEAD_S = 6.0
# Time of the burst of urgent jobs, and the factor of their arrival rate in it.
BURST_FROM_S = 2.0
BURST_TO_S = 8.0
BURST_FACTOR = 2.2


class JobKind(NamedTuple):
    """A kind of job of a load profile.

    `worth` is the value of a job that completes in time, `late_worth` that of a late
    one. `width` is the mean number of tasks of a step, `work_s` the mean work of a
    task, `cores` and `accelerators` its demand. `tight` is the share of gangs that
    run slower when split over racks, `near` that of steps whose data is on one rack,
    `saves` that of steps that checkpoint, `cancelled` that of jobs that their callers
    cancel.
    """

    name: str
    rate_per_s: float
    priority: int
    worth: float
    late_worth: float
    target_latency_s: float
    stretch: float
    work_s: float
    work_spread: float
    width: float
    cores: float
    memory_mb: int
    accelerators: tuple
    estimate_off: float
    gang: bool = False
    tight: float = 0.0
    near: float = 0.0
    saves: float = 0.0
    cancelled: float = 0.0
    steps: float = 1.0
    waiting_at_start: int = 0


class Site(NamedTuple):
    """A deployment: its workers and the kinds of job that it serves.

    `waste_price` is the cost of a core-second of wasted work, in the unit of
    `JobKind.worth`.
    """

    name: str
    workers: int
    zones: int
    per_rack: int
    capacity: Shape
    accounts: int
    guaranteed_share: float
    length_s: float
    stop_s: float
    waste_price: float
    kinds: tuple


class DrawnJob(NamedTuple):
    """A job, with its actual work and cancellation, which the scheduler doesn't get.

    `work_s` maps (step, index) to the work of a task on a worker of speed 1.
    """

    at: float
    kind: JobKind
    record: JobRecord
    work_s: dict
    cancelled_at: float | None


_HANBIT_KINDS = (
    JobKind(
        "contract-draft", 0.248, 1, 3, 0.9, 1.0, 3.0, 22.0, 0.3, 8, 52, 270_000,
        (1, 2, 4, 8, 8), 0.5, gang=True, tight=0.6, near=0.3, saves=0.45,
        cancelled=0.05, waiting_at_start=5,
    ),
    JobKind(
        "slot-hold", 0.639, 0, 4, 0.8, 0.25, 1.5, 5.0, 0.5, 5, 15, 61_000,
        (1, 2, 4, 8, 8), 0.2, gang=True, tight=0.8,
    ),
    JobKind(
        "repertoire-check", 0.148, 2, 1, 0.3, 3.0, 3.0, 19.0, 0.3, 39, 11, 59_000,
        (1,), 0.2, near=0.12, saves=0.45, cancelled=0.15, steps=1.3,
        waiting_at_start=4,
    ),
)  # fmt: skip

_DRAFT, _HOLD, _CHECK = _HANBIT_KINDS
_TIDEWATER_KINDS = (
    _DRAFT._replace(
        name="catalog-render", rate_per_s=0.344, work_s=17.0, width=6, cores=13,
        memory_mb=67_000,
    ),
    _HOLD._replace(
        name="price-check", rate_per_s=0.797, cores=3.7, memory_mb=15_000
    ),
    _CHECK._replace(
        name="bin-count", rate_per_s=0.21, work_s=15.2, width=30, cores=2.8,
        memory_mb=15_000,
    ),
)  # fmt: skip

HANBIT_GROWN = Site(
    "hanbit-grown", 76, 4, 8, Shape(128_000, 524_288, 8), 10, 0.62, 34.0, 0.2,
    0.00058, _HANBIT_KINDS,
)  # fmt: skip
TIDEWATER_GROWN = Site(
    "tidewater-grown", 60, 4, 7, Shape(32_000, 131_072, 8), 10, 0.62, 34.0, 0.9,
    0.0015, _TIDEWATER_KINDS,
)  # fmt: skip


def guarantees(site):
    """Return the guaranteed accelerators of each account."""
    total = site.workers * site.capacity.accelerators * site.guaranteed_share
    return {f"acct{n}": round(total / site.accounts) for n in range(site.accounts)}


def draw_jobs(site, seed, load=1.0):
    """Return the `DrawnJob` list of a day, in order of arrival.

    Urgent jobs arrive in a burst, as at the real sites.
    """
    rng = random.Random(seed)
    jobs = []
    for kind in site.kinds:
        arrival_times = [0.0] * kind.waiting_at_start
        now = 0.0
        while now < site.length_s:
            in_burst = kind.priority == 0 and BURST_FROM_S < now < BURST_TO_S
            rate_per_s = kind.rate_per_s * load * (BURST_FACTOR if in_burst else 1.0)
            now += rng.expovariate(rate_per_s)
            arrival_times.append(LEAD_S + now)
        jobs += [_draw_job(site, kind, at, rng) for at in arrival_times]
    return sorted(jobs, key=lambda job: (job.at, job.record.id))


def _draw_job(site, kind, at, rng):
    job_id = f"{rng.getrandbits(64):016x}"
    count = max(1, round(rng.gauss(kind.steps, 0.4))) if kind.steps > 1 else 1
    steps, work_s = [], {}
    for number in range(count):
        step, mean_s = _draw_step(site, kind, number, rng)
        steps.append(step)
        for index in range(step.count):
            work_s[(number, index)] = mean_s * rng.uniform(0.85, 1.15)
    record = JobRecord(
        id=job_id,
        queue=kind.name,
        service=SERVICE,
        account=f"acct{min(rng.choices(range(site.accounts), k=2))}",
        priority=kind.priority,
        max_attempts=2,
        stretch=kind.stretch,
        target_latency_ms=round(kind.target_latency_s * 1000),
        accepted_ms=round(at * 1000),
        spec=GraphSpec("", tuple(steps)),
    )
    cancelled = rng.random() < kind.cancelled
    return DrawnJob(
        at, kind, record, work_s, at + rng.uniform(1, 20) if cancelled else None
    )


def _draw_step(site, kind, number, rng):
    width = max(1, round(rng.lognormvariate(0, 0.8) * kind.width * 0.73))
    width = min(width, 6 * round(kind.width))
    accelerators = rng.choice(kind.accelerators)
    mean_s = min(kind.work_s * rng.lognormvariate(0, kind.work_spread), 3 * kind.work_s)
    estimate_s = mean_s * rng.uniform(1 - kind.estimate_off, 1 + kind.estimate_off)
    shape = Shape(round(kind.cores * 1000), kind.memory_mb, accelerators)
    tight = kind.gang and rng.random() < kind.tight
    near = rng.random() < kind.near
    if kind.gang:
        # Gangs of the load profiles fit into the cluster, or into one rack if that
        # is where they should run.
        racks = 1 if tight or near else site.workers // site.per_rack
        width = min(width, racks * site.per_rack * shape.copies_in(site.capacity) // 2)
    step = StepSpec(
        width,
        shape,
        estimate_ms=round(estimate_s * 1000),
        after=(number - 1,) if number else (),
        checkpointing=rng.random() < kind.saves,
        gang=kind.gang,
        one_rack=tight,
        data_rack=f"r{rng.randrange(site.workers // site.per_rack)}" if near else "",
    )
    return step, mean_s
