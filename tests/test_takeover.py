"""State of jobs after another entry takes over the scheduler.

Guards against a waiting job that loses its age at each takeover and starves, a
cancellation that is lost because the previous scheduler did not read it, and a
second run of a job that ended while the store was down.
"""

from builders import make_job, make_world
from twisted.internet.defer import ensureDeferred


def submit(world, job):
    """Submit a job through the first entry, as the API does."""
    entry = world.entries()[0]
    now = entry.wall_seconds()
    ensureDeferred(entry.jobs.submit(job, f"n-{job.id}", now))
    entry.notify_job("submit", job.id, job)


def replace_holder(world):
    """Kill the scheduler's holder and wait until another entry has taken over."""
    holder = world.holder()
    world.nodes[holder.identity.name].kill()
    world.run_until(lambda: world.holder() not in (None, holder), 12.0)
    world.run(10.0)


def test_waiting_job_keeps_its_age():
    world = make_world(executors=0, workers=3)
    submit(world, make_job("big", members=25))
    world.run(60.0)
    replace_holder(world)
    explanation = world.holder().host.explain("big")
    assert explanation["state"] == "waiting"
    assert explanation["waits_s"] >= 60.0


def test_unseen_cancellation_is_carried_out():
    world = make_world(executors=0, workers=3)
    submit(world, make_job("long", members=4, command="sleep 900"))
    world.run(3.0)
    cancelled = []
    entry = next(e for e in world.entries() if e.host is None)
    ensureDeferred(entry.jobs.cancel("long")).addCallback(cancelled.append)
    world.run_until(lambda: cancelled, 2.0)
    replace_holder(world)
    world.run_until(lambda: "done/north/long" in world.table.rows, 20.0)
    running = [
        task
        for runtime in world.runtimes.values()
        for task in runtime.tasks.values()
        if task.state == "running"
    ]
    assert not running


def test_ended_job_is_not_run_again():
    world = make_world(executors=0, workers=3)
    submit(world, make_job("short", members=4, command="sleep 5"))
    world.run(3.0)
    world.store_down()
    world.run(5.0)
    holder = world.holder()
    world.nodes[holder.identity.name].kill()
    world.store_down(False)
    world.run(30.0)
    assert "done/north/short" in world.table.rows
    assert len({start[0] for start in world.task_starts}) == 1
