"""A failed scheduler is replaced quickly, and a healthy one is kept."""

import pytest
from graph_world import make_graph_world
from held_writes import HeldWrites

from samphiredeal.entry.graphs import work
from samphiredeal.model import answers

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
LONG = {**STEP, "estimated-ms": 20000}
# Limits on the time from submission to start once the scheduler is killed or does not
# respond. An urgent task of 4 s that starts later cannot end in time.
MAX_START_AFTER_KILL_S = 0.5
MAX_START_AFTER_NO_RESPONSE_S = 1.0


def others(world, scheduler):
    return [name for name in world.nodes if name != scheduler]


def isolate(world, name):
    """Disconnect a node from all other nodes and from the store."""
    for other in others(world, name):
        world.network.cut(name, other)
    world.nodes[name].faults.silent = True


def fail_scheduler(world, how):
    """Make the scheduler fail; return its name and that of another entry."""
    scheduler = world.scheduler()
    if how == "killed":
        world.kill(scheduler)
    elif how == "frozen":
        world.nodes[scheduler].clock.freeze()
    elif how == "without power":
        world.nodes[scheduler].clock.kill()
        isolate(world, scheduler)
    else:
        isolate(world, scheduler)
    return scheduler, "e0" if scheduler != "e0" else "e1"


def first_start_s(world, entry, job_id="a1", limit_s=5.0):
    """Submit a job and return the time in seconds until its task starts."""
    began_at = world.clock.seconds()
    assert world.submit(entry, job_id, [STEP], "/urgent/").kind == answers.ACCEPTED
    world.run_until(lambda: world.event_log.starts(f"{job_id}.0.0.0"), limit_s)
    return world.clock.seconds() - began_at


# A job accepted 0.1 s after the scheduler was killed was first considered 2.0 s later
# and ended late (inc-short, hunt-63b2-7).
@pytest.mark.parametrize("seed", range(6))
def test_job_is_started_soon_after_the_scheduler_is_killed(seed):
    world = make_graph_world(seed=seed)
    world.run(0.11 * seed)
    _scheduler, entry = fail_scheduler(world, "killed")
    assert first_start_s(world, entry) <= MAX_START_AFTER_KILL_S


# Jobs started 1.7 s after the scheduler was frozen or disconnected (inc-short,
# hunt-13e8-39).
@pytest.mark.parametrize("how", ["frozen", "cut off", "without power"])
@pytest.mark.parametrize("seed", range(6))
def test_job_is_started_soon_after_the_scheduler_stops_responding(how, seed):
    world = make_graph_world(seed=seed)
    world.run(0.11 * seed)
    _scheduler, entry = fail_scheduler(world, how)
    assert first_start_s(world, entry) <= MAX_START_AFTER_NO_RESPONSE_S


def test_scheduler_and_another_entry_killed_together_are_replaced_soon():
    world = make_graph_world(entries=4)
    scheduler = world.scheduler()
    first, second, third = (
        name for name in ("e0", "e1", "e2", "e3") if name != scheduler
    )
    world.kill(scheduler)
    world.kill(first)
    assert first_start_s(world, second) <= MAX_START_AFTER_KILL_S
    assert world.scheduler() in (second, third)


# A scheduler that was killed during a store outage was replaced only 2 s after the
# store recovered (inc-short, hunt-e858-31).
def test_scheduler_killed_in_a_store_outage_is_replaced_soon_after_it():
    world = make_graph_world()
    for node in world.nodes.values():
        node.faults.silent = True
    world.run(3.0)
    _scheduler, entry = fail_scheduler(world, "killed")
    world.run(1.0)
    for node in world.nodes.values():
        node.faults.silent = False
    world.run(0.3)
    assert first_start_s(world, entry) <= MAX_START_AFTER_KILL_S


# A job waited 1.15 s until a scheduler that was rejected by the store was replaced
# (inc-short, trouble-1 --seed 230137391737).
@pytest.mark.parametrize("fault", ["down", "silent"])
def test_scheduler_rejected_by_the_store_is_replaced(fault):
    world = make_graph_world()
    scheduler = world.scheduler()
    setattr(world.nodes[scheduler].faults, fault, True)
    entry = "e0" if scheduler != "e0" else "e1"
    assert first_start_s(world, entry) <= MAX_START_AFTER_NO_RESPONSE_S
    world.run(1.0)
    assert world.nodes[scheduler].process.dispatcher is None


@pytest.mark.parametrize("how", ["killed", "frozen", "cut off", "without power"])
def test_running_tasks_continue_while_the_scheduler_is_replaced(how):
    world = make_graph_world()
    world.submit("e0", "b1", [LONG])
    world.run_until(lambda: world.event_log.starts("b1.0.0.0"), 5.0)
    scheduler, entry = fail_scheduler(world, how)
    world.run(5.0)
    world.network.heal()
    world.nodes[scheduler].faults.silent = False
    if how == "frozen":
        world.nodes[scheduler].clock.thaw()
    world.run(20.0)
    assert world.state(entry, "b1") == "completed"
    assert len(world.event_log.starts("b1.0.0.0")) == 1
    assert world.event_log.overlaps() == []


# One broken connection must not replace a scheduler that all other entries reach.
def test_scheduler_stays_while_one_entry_cannot_reach_it():
    world = make_graph_world()
    scheduler = world.scheduler()
    for name in ("e0", "e1", "e2"):
        if name != scheduler:
            world.network.cut(name, scheduler)
            break
    world.run(10.0)
    assert world.scheduler() == scheduler


# An entry that reaches only the store could send no orders to agents.
def test_entry_that_reaches_only_the_store_does_not_take_over():
    world = make_graph_world()
    scheduler = world.scheduler()
    isolated = next(name for name in ("e0", "e1", "e2") if name != scheduler)
    for other in others(world, isolated):
        world.network.cut(isolated, other)
    world.run(10.0)
    assert world.scheduler() == scheduler


def test_scheduler_stays_while_the_store_responds_to_no_entry():
    world = make_graph_world()
    scheduler = world.scheduler()
    for node in world.nodes.values():
        node.faults.silent = True
    world.run(4.2)
    for node in world.nodes.values():
        node.faults.silent = False
    world.run(5.0)
    assert world.scheduler() == scheduler


# After a power loss of all VMs there was no scheduler for 0.7 s, as the previous one's
# last heartbeat was too recent for a takeover (inc-short, hunt-13e8-39 at 36.9 s).
def test_new_scheduler_is_elected_soon_after_all_processes_restart():
    world = make_graph_world()
    for name in list(world.nodes):
        world.kill(name)
    for name in ("e0", "e1", "e2"):
        world.add_entry(name)
    for name in list(world.workers):
        world.add_agent(name)
        world.send_heartbeats(name, 1)
    world.run_until(world.scheduler, 0.2)


# Guards against an epoch whose holder does not know that it holds it: the store applies
# a takeover after its entry has read that it was not applied. Urgent work has to begin
# within 2.7 s.
def test_takeover_that_the_store_applies_late_leaves_a_scheduler():
    world = make_graph_world(entries=2)
    _scheduler, entry = fail_scheduler(world, "killed")
    held = HeldWrites(world, entry, is_takeover)
    world.run_until(lambda: len(held) == 2, 5.0)
    held.release()
    held.apply()
    assert first_start_s(world, entry) <= 2.7
    assert world.scheduler() == entry


def is_takeover(puts, _deletes):
    """Return whether a write takes the role of the scheduler."""
    return any(put.key == work.EPOCH_KEY for put in puts)
