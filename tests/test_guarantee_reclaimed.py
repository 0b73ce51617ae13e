"""A guarantee is reclaimed end to end, through failures, by real agents.

The cluster is full of borrowers when an account asks within its guarantee.
Proves: urgent work starts within 5.7 s without a failure, and within that time
after the failure is over or its lease has lapsed otherwise; nothing is started
beyond a worker's accelerators.
"""

import pytest
from builders import make_job, make_world

from samphiredeal.model.shape import Shape

URGENT_START_S = 5.7
# A lost worker is noticed after 7 s, a scheduler's lease taken after about 6 s.
LOST_S = 7.0
TAKEOVER_S = 6.0
WORKERS = 6
SIZE = 8


def make_full_world(accounts=("one", "two")):
    """Return a world whose accelerators are all lent to one large account."""
    world = make_world(entries=3, executors=0, workers=WORKERS)
    line = {"cpu_milli": 8000, "memory_mb": 8000, "accelerators": SIZE, "count": 1}
    for account in accounts:
        world.change_and_wait("entry-0", "account", account, {"guarantee": [line]})
    world.run(1.0)
    for number in range(WORKERS * SIZE // 2):
        submit(world, f"fill-{number}", "acct", 2, "normal", "sleep 900")
    world.run_until(lambda: len(running(world, "fill")) == 24, 10.0)
    world.watchers.append(lambda: check_not_overfull(world))
    return world


def submit(world, job_id, account, accelerators, klass, command):
    job = make_job(
        job_id,
        account,
        shape=Shape(1000, 1000, accelerators),
        klass=klass,
        command=command,
    )
    world.holder().host.submit(job)
    # The row, too, so that a scheduler that takes over knows of the job.
    from twisted.internet.defer import ensureDeferred

    for entry in world.entries()[:1]:
        ensureDeferred(entry.jobs.submit(job, job_id))


def ask(world, account="one"):
    submit(world, f"ask-{account}", account, SIZE, "urgent", "sleep 600")


def running(world, prefix):
    """Return the attempts of jobs with a prefix that run at the workers."""
    return {
        attempt_id
        for runtime in world.runtimes.values()
        for attempt_id, task in runtime.tasks.items()
        if task.state == "running" and attempt_id.startswith(prefix)
    }


def check_not_overfull(world):
    for name, runtime in world.runtimes.items():
        used = sum(
            task.job["shape"][2] * task.count
            for task in runtime.tasks.values()
            if task.state == "running"
        )
        assert used <= SIZE, f"{name} runs {used} accelerators"


def test_starts_in_time_without_a_failure():
    world = make_full_world()
    ask(world)
    world.run_until(lambda: running(world, "ask-one"), URGENT_START_S)


def test_two_accounts_ask_at_once():
    world = make_full_world()
    ask(world, "one")
    ask(world, "two")
    world.run_until(
        lambda: running(world, "ask-one") and running(world, "ask-two"),
        URGENT_START_S,
    )


def victims_worker(world):
    """Return the worker on which the ask has its place."""
    attempt = world.holder().host.scheduler.attempt_of("ask-one")
    return next(iter(attempt.places))


def scheduler_dies(world):
    holder = world.holder().identity
    world.nodes[holder.name].kill()
    return TAKEOVER_S + LOST_S


def worker_frozen(world):
    clock = world.nodes[victims_worker(world)].clock
    clock.freeze()
    world.clock.callLater(20.0, clock.thaw)
    return LOST_S


def worker_vanishes(world):
    world.nodes[victims_worker(world)].kill(silently=True)
    return LOST_S


def store_down(world):
    world.store_down()
    return 0.0


def zone_lost(world):
    zone = world.nodes[victims_worker(world)].zone
    for name, node in world.nodes.items():
        if node.zone == zone and name.startswith("work"):
            node.kill(silently=True)
    return LOST_S


def zone_out(world):
    zone = world.nodes[victims_worker(world)].zone
    world.change("entry-0", "zone", zone, {"state": "out"})
    return 1.0


def stop_lost(world):
    from samphiredeal.wire.messages import Relay

    world.network.lose_next += [Relay] * 2
    return 1.0


FAULTS = [
    scheduler_dies,
    worker_frozen,
    worker_vanishes,
    store_down,
    zone_lost,
    zone_out,
    stop_lost,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_starts_in_time_after_a_failure(fault):
    world = make_full_world()
    ask(world)
    scheduler = world.holder().host.scheduler
    world.run_until(lambda: scheduler.attempt_of("ask-one"), 1.0)
    assert not running(world, "ask"), "the failure must come during the reclaim"
    grace_s = fault(world)
    world.run_until(lambda: running(world, "ask-one"), URGENT_START_S + grace_s)
