"""Names of agents that come back on another VM, beside one that lives on.

An agent and its executor may be cut off from all entries and still reach the store. The
operator's replacement has the name and another address. What the first one runs must
not begin elsewhere before its lease has lapsed.
"""

import pytest
from graph_builders import STEP
from graph_world import HEARTBEAT_S, LEASE_S, check_invariants, make_graph_world

from samphiredeal.model.timing import lease_wait_s
from samphiredeal.platform.table import Condition, Conflict, Put

LONG = {**STEP, "count": 1, "estimated-ms": 40_000}
ENTRIES = ("e0", "e1", "e2")
# From the silence of an agent until its tasks have begun elsewhere: its eviction, the
# longest lease, and a second for the next start.
RESTART_S = 2.5 + lease_wait_s(LEASE_S) + 1.0


def start_long_task(world):
    """Start a task; return the name of its worker."""
    assert world.submit("e0", "a1", [LONG]).kind == "accepted"
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    world.run(2.0)
    return world.event_log.starts("a1.0.0.0")[0].worker


def cut_off(world, name):
    """Cut an agent off from all entries; it still reaches the store."""
    for entry in ENTRIES:
        world.network.cut(name, entry)


def starts(world):
    return world.event_log.starts("a1.0.0.0")


# Guards against TWICE: the first report from the other VM was taken for the end of all
# that ran under the name.
@pytest.mark.parametrize("delay_s", [0.0, 1.0, 3.0, 8.0])
def test_run_of_a_cut_off_vm_lapses_before_it_starts_elsewhere(delay_s):
    world = make_graph_world(workers=2)
    name = start_long_task(world)
    cut_off(world, name)
    world.run(delay_s)
    world.replace_vm(name)
    world.run(RESTART_S)
    assert len(starts(world)) == 2
    world.run(30.0)
    check_invariants(world)


# The same, with a scheduler that knows only the rows.
@pytest.mark.parametrize("delay_s", [0.0, 1.0])
def test_new_scheduler_lets_the_run_of_a_cut_off_vm_lapse(delay_s):
    world = make_graph_world(workers=2)
    name = start_long_task(world)
    cut_off(world, name)
    world.kill(world.scheduler())
    world.run(delay_s)
    world.replace_vm(name)
    world.run(RESTART_S + 3.0)
    assert len(starts(world)) == 2
    world.run(30.0)
    check_invariants(world)


def test_work_starts_on_the_vm_that_replaced_one_without_power():
    world = make_graph_world(workers=1)
    name = start_long_task(world)
    cut_off(world, name)
    world.kill(name)
    world.workers[name].crash()
    world.run(1.0)
    world.replace_vm(name)
    world.run(RESTART_S + HEARTBEAT_S)
    assert len(starts(world)) == 2
    world.run(40.0)
    assert world.state(world.scheduler(), "a1") == "completed"
    check_invariants(world)


# An agent that hears no scheduler announces itself again and again.
def test_announcements_of_a_cut_off_vm_move_no_work_back():
    world = make_graph_world(workers=1)
    name = start_long_task(world)
    cut_off(world, name)
    world.replace_vm(name)
    world.run(RESTART_S + 60.0)
    assert len(starts(world)) == 2
    assert world.state(world.scheduler(), "a1") == "completed"
    check_invariants(world)


def test_agent_that_reports_keeps_its_name_beside_another_that_claims_it():
    world = make_graph_world(workers=1)
    name = start_long_task(world)
    world.replace_vm(name)
    world.run(40.0)
    assert len(starts(world)) == 1
    assert world.state(world.scheduler(), "a1") == "completed"


def test_address_is_stored_before_the_first_start_there():
    """A scheduler that takes over at once has to know it."""
    world = make_graph_world(workers=0)
    world.submit("e0", "a1", [LONG])
    world.add_worker("w0")
    world.run_until(lambda: starts(world), 5.0)
    row = world.table.rows["place/w0"]
    assert world.address_of("w0").encode() in row.value


# Guards against TWICE: an address that the store took late replaced the newer one.
def test_late_write_of_an_address_does_not_replace_a_newer_one():
    world = make_graph_world(workers=1)
    key = "place/w0"
    before = world.table.rows[key]
    name = start_long_task(world)
    cut_off(world, name)
    other = world.replace_vm(name)
    world.run(RESTART_S)
    late = world.table.write([Condition(key, before.version)], [Put(key, before.value)])
    world.run(0.1)
    assert isinstance(late.result, Conflict)
    assert world.address_of(other).encode() in world.table.rows[key].value


# Guards against a needless takeover: the agent at the announced address, with which the
# scheduler has no session, was asked whether it hears the scheduler.
def test_scheduler_is_kept_beside_an_agent_that_it_does_not_use():
    world = make_graph_world(workers=1)
    scheduler = world.scheduler()
    epoch = world.nodes[scheduler].process.leadership.epoch
    world.replace_vm("w0")
    world.run(1.0)
    for entry in ENTRIES:
        if entry != scheduler:
            world.network.cut(scheduler, entry)
    world.run(5.0)
    assert world.nodes[scheduler].process.leadership.epoch == epoch


class Disturbances:
    """Drawn disturbances of a world whose VMs may share a name, one at a time."""

    def __init__(self, world):
        self._world = world
        self._vms = {name: [name] for name in sorted(world.workers)}

    def disturb(self):
        """Cut a VM off, replace it, or restart its agent or the scheduler."""
        world, draw = self._world, self._world.random.random()
        name = world.random.choice(sorted(self._vms))
        vm = world.random.choice(self._vms[name])
        if draw < 0.3:
            cut_off(world, vm)
            world.clock.callLater(world.random.uniform(0.5, 40.0), world.network.heal)
        elif draw < 0.5 and len(self._vms[name]) == 1:
            self._vms[name].append(world.replace_vm(name))
        elif draw < 0.65:
            world.kill(vm)
            world.clock.callLater(0.4, world.add_agent, vm, name)
        elif draw < 0.8 and world.scheduler() not in (None, "e0"):
            killed = world.scheduler()
            world.kill(killed)
            world.clock.callLater(1.0, world.add_entry, killed)


@pytest.mark.parametrize("seed", range(8))
def test_no_task_runs_twice_while_vms_share_names(seed):
    world = make_graph_world(seed=seed)
    disturbances = Disturbances(world)
    step = {**LONG, "estimated-ms": 25_000, "gpu": 2, "cpu": 2000, "mem-mb": 2000}
    jobs = [f"a{number:x}" for number in range(10)]
    for job in jobs:
        assert world.submit("e0", job, [step]).kind == "accepted"
        world.run(world.random.uniform(0.0, 4.0))
        disturbances.disturb()
    world.run(120.0)
    assert {world.state("e0", job) for job in jobs} == {"completed"}
    check_invariants(world)
