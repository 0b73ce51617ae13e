"""Reclaiming of an account's guarantee in a full cluster.

Another account's jobs occupy all accelerators when an account submits an urgent job
within its guarantee. Guards against a start later than 5.7 s, counted with a
failure from its end or from the expiry of the lease, and against workers that run
more than their accelerators allow.
"""

import pytest
from builders import make_job, make_world

from samphiredeal.model.shape import Shape

URGENT_START_S = 5.7
# A failed worker is detected after 7 s; the scheduler's lease changes its holder
# about 6 s after the holder failed.
WORKER_FAILURE_DETECTION_S = 7.0
TAKEOVER_S = 6.0
WORKERS = 6
WORKER_ACCELERATORS = 8


def make_full_world(accounts=("one", "two")):
    """Return a world whose accelerators are all used by one account."""
    world = make_world(entries=3, executors=0, workers=WORKERS)
    line = {
        "cpu_milli": 8000,
        "memory_mb": 8000,
        "accelerators": WORKER_ACCELERATORS,
        "count": 1,
    }
    for account in accounts:
        world.change_and_wait("entry-0", "account", account, {"guarantee": [line]})
    world.run(1.0)
    for number in range(WORKERS * WORKER_ACCELERATORS // 2):
        submit(world, f"fill-{number}", "acct", 2, "normal", "sleep 900")
    world.run_until(lambda: len(running(world, "fill")) == 24, 10.0)
    world.watchers.append(lambda: check_accelerators_used(world))
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
    # Write the row as well, so that a scheduler that takes over finds the job.
    from twisted.internet.defer import ensureDeferred

    for entry in world.entries()[:1]:
        ensureDeferred(entry.jobs.submit(job, job_id))


def submit_urgent(world, account="one"):
    submit(world, f"ask-{account}", account, WORKER_ACCELERATORS, "urgent", "sleep 600")


def running(world, prefix):
    """Return the attempts of jobs with a prefix that run at the workers."""
    return {
        attempt_id
        for runtime in world.runtimes.values()
        for attempt_id, task in runtime.tasks.items()
        if task.state == "running" and attempt_id.startswith(prefix)
    }


def check_accelerators_used(world):
    for name, runtime in world.runtimes.items():
        used = sum(
            task.job["shape"][2] * task.count
            for task in runtime.tasks.values()
            if task.state == "running"
        )
        assert used <= WORKER_ACCELERATORS, f"{name} runs {used} accelerators"


def test_starts_in_time_without_a_failure():
    world = make_full_world()
    submit_urgent(world)
    world.run_until(lambda: running(world, "ask-one"), URGENT_START_S)


def test_two_accounts_reclaim_at_once():
    world = make_full_world()
    submit_urgent(world, "one")
    submit_urgent(world, "two")
    world.run_until(
        lambda: running(world, "ask-one") and running(world, "ask-two"),
        URGENT_START_S,
    )


def worker_of_urgent_job(world):
    """Return the worker on which the urgent job is placed."""
    attempt = world.holder().host.scheduler.attempt_of("ask-one")
    return next(iter(attempt.places))


def scheduler_dies(world):
    holder = world.holder().identity
    world.nodes[holder.name].kill()
    return TAKEOVER_S + WORKER_FAILURE_DETECTION_S


def worker_frozen(world):
    clock = world.nodes[worker_of_urgent_job(world)].clock
    clock.freeze()
    world.clock.callLater(20.0, clock.thaw)
    return WORKER_FAILURE_DETECTION_S


def worker_vanishes(world):
    world.nodes[worker_of_urgent_job(world)].kill(silently=True)
    return WORKER_FAILURE_DETECTION_S


def store_down(world):
    world.store_down()
    return 0.0


def zone_lost(world):
    zone = world.nodes[worker_of_urgent_job(world)].zone
    for name, node in world.nodes.items():
        if node.zone == zone and name.startswith("work"):
            node.kill(silently=True)
    return WORKER_FAILURE_DETECTION_S


def zone_out(world):
    zone = world.nodes[worker_of_urgent_job(world)].zone
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
    submit_urgent(world)
    scheduler = world.holder().host.scheduler
    world.run_until(lambda: scheduler.attempt_of("ask-one"), 1.0)
    assert not running(world, "ask"), "the failure must come during the reclaim"
    grace_s = fault(world)
    world.run_until(lambda: running(world, "ask-one"), URGENT_START_S + grace_s)
