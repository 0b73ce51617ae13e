"""The follower of the store's rows, and the election of the scheduler by them."""

import random

import pytest
from graph_world import make_graph_world
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from samphiredeal.entry.graphs.follower import Follower
from samphiredeal.platform.memory import Faults, MemoryTable
from samphiredeal.platform.table import Put


class Rows:
    """Collects the rows that a follower passes on."""

    def __init__(self):
        self.values = {}

    def apply(self, rows, is_snapshot):
        if is_snapshot:
            self.values.clear()
        for row in rows:
            if row.version:
                self.values[row.key] = row.value
            else:
                self.values.pop(row.key, None)


def make_follower():
    clock, faults, rows = Clock(), Faults(), Rows()
    table = MemoryTable(clock, faults)
    follower = Follower(clock, table, "rows", 0.5, 0.01, rows.apply)
    ensureDeferred(follower.run())
    return clock, table, faults, rows, follower


def run(clock, seconds):
    for _ in range(round(seconds / 0.01)):
        clock.advance(0.01)


def test_changes_arrive_at_once_and_in_order():
    clock, table, _faults, rows, _follower = make_follower()
    run(clock, 0.1)
    table.write([], [Put("a", b"1")])
    table.write([], [Put("a", b"2"), Put("b", b"3")])
    table.write([], [], ["b"])
    run(clock, 0.1)
    assert rows.values == {"a": b"2"}


def test_lost_history_is_replaced_by_a_snapshot():
    clock, table, faults, rows, _follower = make_follower()
    table.write([], [Put("a", b"1"), Put("gone", b"1")])
    run(clock, 0.1)
    faults.down = True
    run(clock, 1.0)
    other = table.view(clock, Faults())
    other.write([], [Put("a", b"2")], ["gone"])
    other.forget_history()
    faults.down = False
    run(clock, 1.0)
    assert rows.values == {"a": b"2"}


def test_age_grows_while_the_store_is_down_and_falls_after():
    clock, _table, faults, _rows, follower = make_follower()
    run(clock, 2.0)
    assert follower.age_s < 1.1
    faults.down = True
    run(clock, 3.0)
    assert follower.age_s > 2.5
    faults.down = False
    run(clock, 1.0)
    assert follower.age_s < 1.1


# inc-short, trouble-3: callers were refused for 0.77 s after the store had recovered.
@pytest.mark.parametrize("outage_ms", range(3000, 4000, 90))
def test_recovery_of_an_unresponsive_store_is_detected_at_once(outage_ms):
    clock, _table, faults, _rows, follower = make_follower()
    run(clock, 2.0)
    faults.silent = True
    run(clock, outage_ms / 1000)
    faults.silent = False
    run(clock, 0.3)
    assert follower.age_s < 0.3


def test_probes_of_an_unresponsive_store_are_few():
    clock, _table, faults, _rows, _follower = make_follower()
    run(clock, 2.0)
    faults.silent = True
    before = faults.reads
    run(clock, 10.0)
    assert faults.reads - before <= 10.0 / 0.1 + 2


def test_unreadable_rows_do_not_stop_the_entry():
    world = make_graph_world()
    bad = [Put(f"{kind}/x", b"\xff") for kind in ("job", "progress", "worker")]
    world.table.write([], [*bad, Put("beat", b"{}"), Put("other", b"")])
    world.operator_table.write([], [Put("config", b"nonsense")])
    world.run(1.0)
    assert world.submit("e0", "a1", [{"count": 1, "gpu": 1}]).kind == "accepted"


def test_one_scheduler_after_any_sequence_of_failures():
    """Exactly one entry holds the newest epoch after random freezes and partitions."""
    for seed in range(5):
        world = make_graph_world(seed=seed)
        chance = random.Random(seed)
        for _ in range(6):
            name = chance.choice(["e0", "e1", "e2"])
            clock = world.nodes[name].clock
            if chance.random() < 0.5:
                clock.freeze()
                world.clock.callLater(3.0, clock.thaw)
            else:
                world.cut_store(name)
                world.clock.callLater(3.0, world.cut_store, name, False)
            world.run(chance.uniform(0.5, 3.5))
        world.run(6.0)
        epochs = [
            node.process.leadership.epoch
            for name, node in world.nodes.items()
            if name.startswith("e")
        ]
        newest = max(epochs)
        assert newest > 0 and epochs.count(newest) == 1


def test_planned_stop_of_the_scheduler_is_followed_by_a_takeover_at_once():
    world = make_graph_world()
    old = world.scheduler()
    ensureDeferred(world.nodes[old].process.drain())
    world.run_until(lambda: world.scheduler() not in (None, old), 0.6)
