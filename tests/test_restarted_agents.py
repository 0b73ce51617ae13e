"""Agents that restart beside workers whose runs go on.

Planned restarts (`roll_term` of the workers' VMs) stopped seven running gangs of
hanbit-gig-large: the new agent reports no worker until the worker's next heartbeat,
which was taken for runs that had never started.
"""

import pytest
from graph_world import HEARTBEAT_S, LEASE_S, make_graph_world

from samphiredeal.model import runs
from samphiredeal.model.timing import lease_wait_s

RESTART_S = 0.8
LONG_MS = 40_000


def restart_agent(world, name, seconds=RESTART_S):
    """Kill an agent and start a new one beside its worker after some seconds."""
    world.kill(name)
    world.run(seconds)
    world.add_agent(name)


def start_gang(world, members=4, job_id="a1"):
    step = {"count": members, "gpu": 8, "gang": True, "estimated-ms": LONG_MS}
    assert world.submit("e0", job_id, [step]).kind == "accepted"
    names = [f"{job_id}.0.0.{index}" for index in range(members)]
    world.run_until(lambda: all(world.event_log.starts(one) for one in names), 5.0)
    return names


def ends(world):
    return [one for one in world.event_log.events if one.kind == "end"]


@pytest.mark.parametrize("kill_scheduler", [False, True])
def test_gang_runs_on_while_agents_restart_in_turn(kill_scheduler):
    world = make_graph_world()
    start_gang(world)
    world.run(5.0)
    for number in range(4):
        restart_agent(world, f"w{number}")
        if kill_scheduler and number == 1:
            world.kill(world.scheduler())
        world.run(2 * HEARTBEAT_S)
    assert ends(world) == []
    world.run(LONG_MS / 1000)
    assert {one.how for one in ends(world)} == {runs.DONE}
    assert len(world.event_log.starts()) == 4
    assert world.state(world.scheduler(), "a1") == "completed"


def test_gang_runs_on_while_all_agents_restart_at_once():
    world = make_graph_world()
    start_gang(world)
    world.run(5.0)
    for number in range(4):
        world.kill(f"w{number}")
    world.run(RESTART_S)
    for number in range(4):
        world.add_agent(f"w{number}")
    world.run(LONG_MS / 1000)
    assert {one.how for one in ends(world)} == {runs.DONE}
    assert len(world.event_log.starts()) == 4


def test_gang_runs_on_if_an_agent_restarts_twice():
    world = make_graph_world()
    start_gang(world)
    world.run(5.0)
    restart_agent(world, "w0")
    world.run(0.3)
    restart_agent(world, "w0")
    world.run(LONG_MS / 1000)
    assert {one.how for one in ends(world)} == {runs.DONE}
    assert len(world.event_log.starts()) == 4


def test_task_runs_again_if_its_worker_ends_while_the_agent_restarts():
    """The new agent never hears of the worker; its leases show that it runs nothing."""
    world = make_graph_world(workers=2)
    step = {"count": 1, "gpu": 8, "estimated-ms": 8_000}
    world.submit("e0", "a1", [step])
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    (start,) = world.event_log.starts("a1.0.0.0")
    world.kill(start.worker)
    world.workers[start.worker].crash()
    world.workers[start.worker].faults.down = True
    world.run(RESTART_S)
    world.add_agent(start.worker)
    world.run(lease_wait_s(LEASE_S) + 2.0)
    assert len(world.event_log.starts("a1.0.0.0")) == 2
    world.run(10.0)
    assert world.state(world.scheduler(), "a1") == "completed"


def test_work_is_not_doubled_if_a_restarted_agent_is_cut_off_before_it_knows_more():
    """The agent reports no worker, and hears from it only when nobody hears the agent.

    The store, which it still reaches, lets it extend the lease until it is evicted, so
    its first report does not show when the lease expires.
    """
    world = make_graph_world(workers=2)
    step = {"count": 1, "gpu": 8, "estimated-ms": LONG_MS}
    world.submit("e0", "a1", [step])
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    world.run(2.0)
    (start,) = world.event_log.starts("a1.0.0.0")
    worker = world.workers[start.worker]
    worker.faults.down = True
    restart_agent(world, start.worker, 0.1)
    agent = world.nodes[start.worker].process
    world.run_until(lambda: agent.lease_authority.epoch, 1.0)
    world.run(0.1)
    for entry in ("e0", "e1", "e2"):
        world.network.cut(start.worker, entry)
    worker.faults.down = False
    world.run(2 * lease_wait_s(LEASE_S))
    assert world.event_log.overlaps() == []
    assert len(world.event_log.starts("a1.0.0.0")) == 2


# Guards against TWICE: reports without a worker counted as successive, although
# one with the worker, whose lease was extended, was lost between them.
@pytest.mark.parametrize("hidden_s", [0.1, 0.2, 0.4])
def test_work_is_not_doubled_if_a_report_that_knows_the_worker_is_lost(hidden_s):
    world = make_graph_world(workers=2)
    step = {"count": 1, "gpu": 8, "estimated-ms": LONG_MS}
    world.submit("e0", "a1", [step])
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    world.run(2.0)
    (start,) = world.event_log.starts("a1.0.0.0")
    name, worker = start.worker, world.workers[start.worker]
    world.kill(name)
    worker.faults.down = True
    world.add_agent(name)
    world.run(4.6)
    for entry in ("e0", "e1", "e2"):
        world.network.cut(name, entry, both=False)
    worker.faults.down = False
    node = world.nodes[name]
    node.clock.run(node.process.run_manager.record_heartbeat, worker.facts, 99)
    world.run(hidden_s)
    assert node.process.run_manager.report().worker == worker.facts
    world.network.heal()
    world.kill(name)
    worker.faults.down = True
    world.add_agent(name)
    world.run(2 * lease_wait_s(LEASE_S))
    assert world.event_log.overlaps() == []
    assert len(world.event_log.starts("a1.0.0.0")) == 2


# Guards against workers out of service: a link that was opened while messages were lost
# stayed silent for ever, as the agent had not heard the scheduler on it (soak, 35009).
@pytest.mark.parametrize("silent_s", [1.0, 2.7, 3.5, 6.0])
def test_agent_is_used_again_after_its_link_was_silent(silent_s):
    world = make_graph_world()
    pair = {world.scheduler(), "w0"}
    transmit = world.network.transmit
    silent_until = world.clock.seconds() + silent_s

    def transmit_unless_silent(link, data):
        is_silent = world.clock.seconds() < silent_until
        if not is_silent or {link.node.name, link.peer_name} != pair:
            transmit(link, data)

    world.network.transmit = transmit_unless_silent
    world.run(silent_s + 5.0)
    step = {"count": 4, "gpu": 8, "estimated-ms": 1000}
    assert world.submit("e0", "a1", [step]).kind == "accepted"
    world.run(2.0)
    assert {one.worker for one in world.event_log.starts()} == set(world.workers)
