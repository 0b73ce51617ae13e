"""Starts that are stored or on their way while their zone is taken out of service.

Whoever holds the start, and whichever processes are lost meanwhile, nothing starts in
the zone later than the platform allows. A cancel has to outlast the same losses.
"""

import msgspec
import pytest
from graph_builders import STEP
from graph_world import (
    check_invariants,
    lose_starts,
    make_graph_world,
    set_store_silent,
)

from samphiredeal.entry.graphs import work
from samphiredeal.model import answers
from samphiredeal.platform.memory import Faults

TASK = "a1.0.0.0"
ONE = {**STEP, "count": 1, "estimated-ms": 4000}
ENTRIES = ("e0", "e1", "e2")
# The time within which starts in a zone that is taken out have to cease, in seconds.
EVACUATE_S = 5.0


def call_on_placement(world, job_id, function):
    """Call `function(worker)` as the store applies the first placement of a job.

    Nobody has been told of the write then.
    """
    placed = []
    key = work.progress_key(job_id)
    for name in ENTRIES:
        store = world.nodes[name].process._table._table
        apply_write = store._apply

        def apply(conditions, puts, deletes=(), apply_write=apply_write):
            answer = apply_write(conditions, puts, deletes)
            row = world.table.rows.get(key)
            workers = workers_in(row) if row is not None else []
            if workers and not placed:
                placed.append(workers[0])
                function(workers[0])
            return answer

        store._apply = apply
    return placed


def workers_in(row):
    """Return the names of the workers that a row of progress places tasks on."""
    progress = msgspec.json.decode(row.value)
    units = progress[4] if len(progress) > 4 else {}
    return [place[1] for unit in units.values() for place in (unit[4:5] or [[]])[0]]


def place_and_take_out(world, placed):
    """Submit a1, and take the zone of its place out of service; return (zone, time).

    `placed` is what `call_on_placement` has returned.
    """
    world.submit("e0", "a1", [ONE])
    world.run_until(lambda: placed, 3.0)
    zone = world.workers[placed[0]].facts.zone
    world.run(0.5)
    world.take_zone_out(zone)
    return zone, world.clock.seconds()


def lose_entries(world):
    for name in ENTRIES:
        world.kill(name)


def return_entries(world):
    for name in ENTRIES:
        world.restart(name)


def starts_after(world, zone, at):
    """Return the starts in a zone after a time."""
    return [
        event
        for event in world.event_log.starts()
        if event.at > at and world.workers[event.worker].facts.zone == zone
    ]


# Guards against a start that was stored before all entries were lost, and is sent into
# a zone that was taken out while they were away (review case 10), also with a store
# that is silent as they come back.
@pytest.mark.parametrize("is_store_silent", [False, True])
@pytest.mark.parametrize("dark_s", [6.0, 9.5])
def test_stored_start_is_not_sent_after_the_loss_of_all_entries(
    dark_s, is_store_silent
):
    world = make_graph_world()
    placed = call_on_placement(world, "a1", lambda _worker: lose_entries(world))
    zone, out_at = place_and_take_out(world, placed)
    world.run(dark_s)
    set_store_silent(world, is_store_silent)
    return_entries(world)
    world.run(2.0)
    set_store_silent(world, False)
    world.run(12.0)
    assert starts_after(world, zone, out_at + EVACUATE_S) == []
    assert world.state("e0", "a1") == "completed"
    assert len(world.event_log.starts(TASK)) == 1
    check_invariants(world)


# Guards against the same start of a job that is cancelled once the entries are back.
def test_stored_start_of_a_job_that_is_cancelled_on_return_is_not_sent():
    world = make_graph_world()
    placed = call_on_placement(world, "a1", lambda _worker: lose_entries(world))
    world.submit("e0", "a1", [ONE])
    world.run_until(lambda: placed, 3.0)
    world.run(6.0)
    return_entries(world)
    world.run(0.2)
    answer = world.wait_for_answer(world.call("e1", answers.CANCEL, "/normal/a1"))
    assert answer.kind == answers.CANCELLED
    answered_at = world.clock.seconds()
    world.run(10.0)
    late = [e for e in world.event_log.starts(TASK) if e.at > answered_at + 1.0]
    assert late == []


# Guards against the same start of a scheduler that lives on, and that waits at its
# entry, as its agent is not heard for a while.
@pytest.mark.parametrize("silent_s", [2.0, 4.0, 12.0])
def test_start_that_waits_at_an_entry_is_not_sent_into_the_zone(silent_s):
    world = make_graph_world()

    def cut_agent(worker):
        for name in ENTRIES:
            world.network.cut(worker, name)

    placed = call_on_placement(world, "a1", cut_agent)
    zone, out_at = place_and_take_out(world, placed)
    world.run(silent_s)
    world.network.heal()
    world.run(20.0)
    assert starts_after(world, zone, out_at + EVACUATE_S) == []
    assert world.state("e0", "a1") == "completed"
    check_invariants(world)


# Guards against the same start at an agent that is frozen as the order reaches it.
@pytest.mark.parametrize("frozen_s", [1.0, 2.0, 4.0, 12.0])
def test_start_that_waits_at_an_agent_does_not_begin_in_the_zone(frozen_s):
    world = make_graph_world()
    placed = call_on_placement(
        world, "a1", lambda worker: world.nodes[worker].clock.freeze()
    )
    zone, out_at = place_and_take_out(world, placed)
    world.run(frozen_s)
    world.nodes[placed[0]].clock.thaw()
    world.run(20.0)
    assert starts_after(world, zone, out_at + EVACUATE_S) == []
    assert world.state("e0", "a1") == "completed"
    check_invariants(world)


# Guards against starts by zones of long ago: the scheduler does not hear the operator's
# rows, while it hears its own. Its first orders to start the task are lost.
def test_start_is_not_sent_again_while_the_zones_are_not_known():
    world = make_graph_world()
    placed = call_on_placement(world, "a1", lambda _worker: None)
    operator_table = world.nodes[world.scheduler()].operator_table
    operator_table.faults = Faults()
    operator_table.faults.silent = True
    world.run(2.0)
    transmit = lose_starts(world)
    world.submit("e0", "a1", [ONE])
    world.run_until(lambda: placed, 3.0)
    zone = world.workers[placed[0]].facts.zone
    world.take_zone_out(zone)
    out_at = world.clock.seconds()
    world.run(EVACUATE_S)
    world.network.transmit = transmit
    world.run(4.0)
    operator_table.faults.silent = False
    world.run(12.0)
    assert starts_after(world, zone, out_at) == []
    assert world.state("e0", "a1") == "completed"
