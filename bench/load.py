"""Seeded random arrivals for the present deployments and the target size."""

import random
from typing import NamedTuple

from samphiredeal.model.job import (
    NORMAL,
    SAME_RACK,
    SAME_WORKER,
    SAME_ZONE,
    URGENT,
    Job,
    WorkerInfo,
)
from samphiredeal.model.shape import Shape

DAY_S = 86_400.0
TODAY_HOURS = 12.0
TODAY_RATE_PER_H = 14.0

INTERACTIVE = "interactive"
SMALL = "small"
GANG = "gang"


class Arrival(NamedTuple):
    """A job with its arrival time and actual run time."""

    at: float
    job: Job
    run_s: float


class Deployment(NamedTuple):
    """Workers, accounts with guarantees, and a function from a seed to arrivals."""

    name: str
    workers: list
    accounts: dict
    zone: str
    hours: float
    make_arrivals: object


def _accelerator_workers(zones, count, per_rack, capacity):
    return [
        WorkerInfo(
            f"w{n:04d}",
            zones[n % len(zones)],
            f"rack-{n // len(zones) // per_rack}",
            capacity,
        )
        for n in range(count)
    ]


def _guarantee(accelerators, count):
    return {
        "guarantee": [
            {
                "accelerators": accelerators,
                "cpu_milli": 1000 * accelerators,
                "memory_mb": 1000 * accelerators,
                "count": count,
            }
        ]
    }


def _job(number, account, kind, accelerators, members, rng, run_s, **fields):
    """Return a job whose declared run time is wrong by a factor of up to 10."""
    declared_s = run_s * 10 ** rng.uniform(-1, 1)
    shape = Shape(
        1000 * max(1, accelerators), 1000 * max(1, accelerators), accelerators
    )
    return Job(
        f"j{number:05d}",
        account,
        shape,
        members,
        declared_s=declared_s,
        kind=kind,
        **fields,
    )


def mixed_arrivals(seed, hours, rate_per_h, accounts, guaranteed, load=1.0):
    """Return arrivals of small and interactive jobs and gangs, some in bursts.

    Interactive jobs belong to accounts with a guarantee. Half of the other jobs are
    assigned to the first account.
    """
    rng = random.Random(seed)
    arrivals, now, number = [], 0.0, 0
    while now < hours * 3600:
        now += rng.expovariate(rate_per_h * load / 3600)
        for _ in range(rng.choice((1, 1, 1, 6))):
            draw = rng.random()
            account = accounts[0] if rng.random() < 0.5 else rng.choice(accounts)
            if draw < 0.35:
                run_s = rng.uniform(30, 120)
                owner = rng.choice(guaranteed)
                job = _job(number, owner, INTERACTIVE, 1, 1, rng, run_s, klass=URGENT)
            elif draw < 0.9:
                run_s = rng.lognormvariate(6.4, 0.8)
                size = rng.choice((1, 1, 2, 4))
                job = _job(number, account, SMALL, size, 1, rng, run_s, klass=NORMAL)
            else:
                run_s = rng.lognormvariate(8.2, 0.5)
                members, size, near = rng.choice(
                    (
                        (1, 8, SAME_WORKER),
                        (2, 8, SAME_ZONE),
                        (4, 4, SAME_ZONE),
                        (2, 8, SAME_RACK),
                    )
                )
                job = _job(
                    number, account, GANG, size, members, rng, run_s, adjacency=near
                )
            arrivals.append(Arrival(now, job, run_s))
            number += 1
    return arrivals


def _today(name, zones, capacity, accounts, zone, load):
    """Return a present deployment; accounts with guarantees submit urgent jobs.

    `zone` is the one that the benchmark takes out.
    """
    guaranteed = [account for account, document in accounts.items() if document]
    return Deployment(
        name,
        _accelerator_workers(zones, 10, 3, capacity),
        accounts,
        zone,
        TODAY_HOURS,
        lambda seed: mixed_arrivals(
            seed, TODAY_HOURS, TODAY_RATE_PER_H, list(accounts), guaranteed, load
        ),
    )


def hanbit(load=1.0):
    """Return Hanbit's deployment: four zones, ten workers of eight GPUs."""
    accounts = {
        "large": {},
        "halls": _guarantee(8, 1),
        "districts": _guarantee(4, 2),
        "bands": _guarantee(1, 4),
    }
    return _today("hanbit", "abcd", Shape(128_000, 512_000, 8), accounts, "a", load)


def tidewater(load=1.0):
    """Return Tidewater's deployment: three zones, ten workers of eight GPUs."""
    accounts = {
        "photos": {},
        "counters": _guarantee(4, 2),
        "stores": _guarantee(2, 4),
        "bins": _guarantee(1, 4),
    }
    return _today("tidewater", "abc", Shape(32_000, 128_000, 8), accounts, "b", load)


def target_workers(count=1100):
    """Return workers, of which about one in seven has eight accelerators.

    1,100 workers have 150 x 8 = 1,200 accelerators in total; the others have only
    processors. There are five zones, and twenty workers in each rack of a zone.
    """
    with_accelerators = round(count * 150 / 1100)
    workers = []
    for n in range(count):
        accelerators = 8 if n < with_accelerators else 0
        workers.append(
            WorkerInfo(
                f"w{n:05d}",
                f"z{n % 5}",
                f"rack-{n // 100}",
                Shape(64_000, 256_000, accelerators),
            )
        )
    return workers


def target_accounts(workers):
    """Return 92 accounts; half of the accelerators are guaranteed."""
    accelerators = sum(worker.capacity.accelerators for worker in workers)
    slices = max(92, accelerators // 2 // 4)
    return {
        f"team-{n:02d}": _guarantee(4, slices // 92 + (n < slices % 92))
        for n in range(92)
    }


def target_arrivals(seed, days=1.0, jobs_per_day=840, scale=1.0):
    """Return jobs of some days: gangs of up to 128, mean 22 tasks of about 10 hours."""
    rng = random.Random(seed)
    arrivals = []
    for number in range(round(days * jobs_per_day * scale)):
        at = rng.uniform(0, days * DAY_S)
        account = f"team-{int(92 * rng.random() ** 2):02d}"
        run_s = min(DAY_S, rng.lognormvariate(10.3, 0.6))
        draw = rng.random()
        if draw < 0.1:
            run_s = rng.uniform(30, 600)
            job = _job(number, account, INTERACTIVE, 1, 1, rng, run_s, klass=URGENT)
        elif draw < 0.25:
            members = rng.choice((2, 4, 8, 16, 32, 64, 128))
            job = _job(number, account, GANG, 1, members, rng, run_s)
        elif draw < 0.4:
            job = _job(number, account, SMALL, rng.choice((1, 2, 4, 8)), 1, rng, run_s)
        else:
            members = rng.choice((8, 16, 32, 64))
            job = _job(number, account, SMALL, 0, members, rng, run_s)
        arrivals.append(Arrival(at, job, run_s))
    return sorted(arrivals, key=lambda arrival: arrival.at)
