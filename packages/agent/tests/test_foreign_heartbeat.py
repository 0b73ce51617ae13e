"""Heartbeats of another writer that name the incarnation that is present."""

import pytest
from agent_bench import AgentBench

HEARTBEAT_S = 1.5


# Guards against workers out of service for good: one heartbeat of another writer with a
# higher sequence made all later ones of the worker count as late.
@pytest.mark.parametrize("fields", [{"service": "odd"}, {"leaving": True}])
def test_heartbeat_with_a_foreign_sequence_does_not_hide_those_of_the_worker(fields):
    bench = AgentBench()
    foreign = bench.worker.facts._replace(**fields)
    bench.run_manager.record_heartbeat(foreign, 10_000)
    for _ in range(4):
        bench.run(HEARTBEAT_S)
        bench.number += 1
        bench.heartbeat()
    assert bench.run_manager.report().worker == bench.worker.facts
