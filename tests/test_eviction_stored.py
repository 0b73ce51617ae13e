"""An agent counts as evicted only by the write that evicts it."""

from graph_builders import STEP
from graph_world import LEASE_S, GraphWorld
from twisted.internet.defer import Deferred

from samphiredeal.model.timing import lease_wait_s
from samphiredeal.platform.table import Put

LONG = {**STEP, "count": 1, "estimated-ms": 40_000}


def make_world_with_held_writes(is_held):
    """Return a world of one entry and two workers, and the list of its held writes.

    A write of which `is_held(key)` for one of its rows is neither applied nor answered.
    """
    world, held = GraphWorld(), []
    world.configure()
    view_of = world.table.view

    def view(clock, faults):
        table = view_of(clock, faults)
        write = table.write

        def write_or_hold(conditions, puts, deletes=()):
            if any(is_held(key) for key in (*deletes, *(put.key for put in puts))):
                held.append((conditions, puts, deletes))
                return Deferred()
            return write(conditions, puts, deletes)

        table.write = write_or_hold
        return table

    world.table.view = view
    world.add_entry("e0")
    world.table.view = view_of
    for number in range(2):
        world.add_worker(f"w{number}", "ab"[number])
    world.run_until(world.scheduler, 3.0)
    world.run(2.0)
    return world, held


def lose_history(world):
    """Drop the history between two calls for changes."""
    for _ in range(2):
        world.table.write([], [Put("other", b"")])
        world.clock.advance(0.005)
    world.table.forget_history()


# Guards against TWICE: a snapshot that showed the row of an earlier eviction confirmed
# the write of a new one, and a deletion that was still on its way removed it.
def test_row_of_an_earlier_eviction_does_not_confirm_a_new_one():
    held_keys = set()
    world, held = make_world_with_held_writes(held_keys.__contains__)
    assert world.submit("e0", "a1", [LONG]).kind == "accepted"
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    name = world.event_log.starts("a1.0.0.0")[0].worker
    key = f"evicted/{name}"
    world.network.cut(name, "e0")
    world.run_until(lambda: key in world.table.rows, 5.0)
    # The scheduler adds to the row when the leases have expired.
    world.run(0.5)
    held_keys.add(key)
    world.network.heal()
    world.run_until(lambda: held, 3.0)
    world.run(0.5)
    world.network.cut(name, "e0")
    world.run_until(lambda: any(puts for _conditions, puts, _deletes in held), 5.0)
    lose_history(world)
    world.run(0.5)
    world.table.write(*held[0])
    assert key not in world.table.rows
    world.run(lease_wait_s(LEASE_S) + 3.0)
    assert world.event_log.overlaps() == []
