"""An agent's name that returns on another VM while the former VM is only cut off."""

import msgspec
import pytest
from graph_builders import STEP, make_facts
from graph_world import HEARTBEAT_S, LEASE_S, make_graph_world

from samphiredeal.agent.graphs.node import GraphAgent, Rows
from samphiredeal.entry.graphs import work
from samphiredeal.model.timing import lease_wait_s
from samphiredeal.platform.memory_worker import MemoryWorker

LONG_MS = 60_000
NEXT = "w0-next"


def add_agent_of_the_same_name(world, has_worker):
    """Start an agent named w0, beside a worker of its own, at another address."""
    node = world._add_node(NEXT)
    worker = MemoryWorker(
        world.clock,
        make_facts(NEXT),
        world._describe,
        world.gangs,
        LEASE_S,
        lambda kind, _worker, *run: world.event_log.record(NEXT, kind, *run),
    )
    world.workers[NEXT] = worker
    worker.faults.down = not has_worker
    record = work.WorkerRecord(world.address_of(NEXT), "a")
    rows = Rows(
        work.worker_key("w0"), msgspec.json.encode(record), work.evicted_key("w0")
    )
    node.process = GraphAgent(
        node.clock,
        "w0",
        worker,
        world.table.view(node.clock, node.faults),
        rows,
        LEASE_S,
    )
    world.network.listen(world.address_of(NEXT), node, node.process.accept)
    node.process.start()
    world.send_heartbeats(NEXT, 0)


# Guards against TWICE: a report of the same name from another VM counted as the end of
# the worker on the former VM, which goes on with the authority of the store.
@pytest.mark.parametrize("has_worker", [True, False])
def test_runs_of_a_vm_that_is_cut_off_are_not_given_up_for_its_name(has_worker):
    world = make_graph_world()
    step = {**STEP, "count": 4, "gpu": 4, "estimated-ms": LONG_MS}
    assert world.submit("e0", "a1", [step]).kind == "accepted"
    world.run(2 * HEARTBEAT_S)
    assert any(one.worker == "w0" for one in world.event_log.starts())
    for entry in ("e0", "e1", "e2"):
        world.network.cut("w0", entry)
    add_agent_of_the_same_name(world, has_worker)
    world.run(2 * lease_wait_s(LEASE_S))
    assert world.event_log.overlaps() == []
