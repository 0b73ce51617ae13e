"""Builders of test data."""

from world import World

from samphiredeal.model.job import Job, WorkerInfo
from samphiredeal.model.shape import Shape


def make_world(entries=3, executors=3, workers=0, seed=0, slots=8):
    """Return a started world, its nodes spread over the zones a, b and c."""
    world = World(seed)
    zones = "abc"
    for number in range(entries):
        world.entry(f"entry-{number}", zones[number % 3])
    for number in range(executors):
        world.executor(f"exec-{number}", zones[number % 3], slots)
    for number in range(workers):
        world.worker(f"work-{number}", zones[number % 3], f"r{number // 3}")
    world.run(3.0)
    world.change_and_wait("entry-0", "account", "acct", {})
    world.run(1.0)
    return world


def make_job(id="job", account="acct", accelerators=1, **fields):
    """Return a job whose members have one accelerator by default."""
    shape = fields.pop("shape", Shape(1000, 1000, accelerators))
    return Job(id=id, account=account, shape=shape, **fields)


def make_worker(name="w", zone="a", rack="r1", accelerators=8):
    """Return a worker of 32 cores and 128 GB."""
    return WorkerInfo(name, zone, rack, Shape(32_000, 128_000, accelerators))
