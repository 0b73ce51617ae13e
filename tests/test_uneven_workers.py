"""Workers of unequal speed: who gets the fast ones, and what a new scheduler knows.

The pattern: the same task takes 1.0 to 1.6 times as long from worker to worker, and the
slow ones come first by name or report first after all VMs and workers lost power.
"""

import pytest
from graph_world import make_graph_world

from samphiredeal.model import answers

SPEEDS = {"w0": 0.7, "w1": 0.7, "w2": 1.3, "w3": 1.3}
SLOW, FAST = {"w0", "w1"}, {"w2", "w3"}
# Each task fills a worker.
WHOLE = {"cpu": 8000, "mem-mb": 8000, "gpu": 8, "estimated-ms": 6000}
SMALL = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 3000}


def make_uneven_world():
    """Return a world whose workers have run a job with a task on each."""
    world = make_graph_world()
    for name, speed in SPEEDS.items():
        world.workers[name].speed = speed
    world.submit("e0", "a0", [{**WHOLE, "count": 4}])
    world.run_until(lambda: world.state("e0", "a0") == "completed", 15.0)
    return world


def worker_of(world, task):
    """Return the worker on which the task has started last."""
    world.run_until(lambda: world.event_log.starts(task), 10.0)
    return world.event_log.starts(task)[-1].worker


def lose_all(world):
    """Let all VMs and workers lose power."""
    for name in list(world.nodes):
        world.kill(name)
    for worker in world.workers.values():
        worker.crash()
        worker.faults.down = True


def return_entries(world):
    for number in range(3):
        world.add_entry(f"e{number}")


def return_worker(world, name):
    world.workers[name].faults.down = False
    world.add_agent(name)
    world.send_heartbeats(name, 100)


# inc-short, third report: urgent tasks went to workers in the order of their names.
@pytest.mark.parametrize("prefix", ["/urgent/", "/normal/"])
def test_job_runs_on_a_fast_worker_while_one_has_room(prefix):
    world = make_uneven_world()
    world.submit("e0", "b1", [SMALL], prefix)
    assert worker_of(world, "b1.0.0.0") in FAST


def test_speeds_outlast_a_takeover():
    world = make_uneven_world()
    world.kill(world.scheduler())
    world.run_until(world.scheduler, 5.0)
    world.submit(world.scheduler(), "b1", [SMALL], "/urgent/")
    assert worker_of(world, "b1.0.0.0") in FAST


# Workers with placements are known from the rows of their jobs, before their own rows.
def test_speeds_of_busy_workers_outlast_a_takeover():
    world = make_uneven_world()
    half = {**WHOLE, "cpu": 4000, "mem-mb": 4000, "gpu": 4, "estimated-ms": 20_000}
    world.submit("e0", "c1", [{**half, "count": 4, "anti-affinity": 1}])
    world.run(1.0)
    world.kill(world.scheduler())
    world.run_until(world.scheduler, 5.0)
    world.submit(world.scheduler(), "b1", [SMALL], "/urgent/")
    assert worker_of(world, "b1.0.0.0") in FAST


def test_speeds_outlast_a_loss_of_all_vms():
    world = make_uneven_world()
    lose_all(world)
    world.run(1.0)
    return_entries(world)
    for name in SPEEDS:
        return_worker(world, name)
    world.run(3.0)
    world.submit("e0", "b1", [SMALL], "/urgent/")
    assert worker_of(world, "b1.0.0.0") in FAST


# inc-short, hunt-48a8-39: after a loss of all, a check with three lost tasks went to
# the workers that reported first, and ended after the day.
def test_slow_worker_that_reports_first_after_a_loss_of_all_gets_no_long_work():
    world = make_uneven_world()
    long_step = {**WHOLE, "count": 2, "estimated-ms": 20_000}
    world.submit("e0", "c1", [long_step])
    world.submit("e0", "b1", [long_step])
    world.run(2.0)
    assert {worker_of(world, f"b1.0.0.{index}") for index in (0, 1)} == SLOW
    world.wait_for_answer(world.call("e0", answers.CANCEL, "/normal/c1"))
    world.run(1.0)
    lose_all(world)
    world.run(1.0)
    return_entries(world)
    world.run_until(world.scheduler, 5.0)
    # VMs of workers start more slowly than those of entries.
    world.run(0.4)
    lost_at = world.clock.seconds()
    for name in ("w0", "w1"):
        return_worker(world, name)
    # The stop of a lost run takes 0.25 s in this world.
    world.run(0.28)
    for name in ("w2", "w3"):
        return_worker(world, name)
    world.run(2.0)
    again = [one for one in world.event_log.starts() if one.at > lost_at]
    assert {one.worker for one in again if one.task.startswith("b1")} == FAST


# inc-short, third report: after a loss of all VMs the scheduler dialled an agent whose
# first connection had been refused again only 0.4 s later.
def test_agent_that_announces_itself_is_dialled_at_once():
    world = make_uneven_world()
    lose_all(world)
    world.run(1.0)
    return_entries(world)
    world.run_until(world.scheduler, 5.0)
    world.run(0.02)
    return_worker(world, "w2")
    listening_at = world.clock.seconds()
    agent = world.nodes["w2"].process
    world.run_until(lambda: agent.lease_authority.epoch, 2.0)
    assert world.clock.seconds() - listening_at < 0.1


def test_gang_waits_for_no_slow_member():
    world = make_uneven_world()
    gang = {**SMALL, "count": 2, "gang": True, "cpu": 5000, "mem-mb": 5000, "gpu": 5}
    world.submit("e0", "b1", [gang], "/urgent/")
    workers = {worker_of(world, f"b1.0.0.{index}") for index in range(2)}
    assert workers == FAST
