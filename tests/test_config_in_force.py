"""Distribution of accepted configuration changes.

Guards against a change that is not in force on every live entry and agent within
5 s, a process that returns to an older revision, a conflicting change that is
answered without the winning one, and an entry that starts during a store outage
and serves under an old revision.
"""

import pytest
from builders import make_world

from samphiredeal.entry.configstore import Accepted, ConfigStore, InDoubt, LostRace
from samphiredeal.entry.node import EntryNode
from samphiredeal.model import configuration as config
from samphiredeal.model import verdict
from samphiredeal.wire.messages import ConfigChanges, ConfigSlice

BOUND_S = 5.0


class RevisionMonitor:
    """Fails when a running process returns to an older revision."""

    def __init__(self, world):
        self._world = world
        self._highest = {}
        world.watchers.append(self.check)

    def check(self):
        for name, node in self._world.nodes.items():
            process = node.process
            if isinstance(process, EntryNode):
                revision = process.config.current.revision
            else:
                revision = process.revision
            key = (name, id(process))
            assert revision >= self._highest.get(key, 0), (
                f"{name} returned to an older revision"
            )
            self._highest[key] = revision


def lagging(world, revision):
    """Return the names of live processes that lag behind a revision."""
    names = []
    for name, node in world.nodes.items():
        if node.clock.dead or node.clock.frozen:
            continue
        process = node.process
        if isinstance(process, EntryNode):
            current = process.config.current.revision
        else:
            current = process.revision
        if current < revision:
            names.append(name)
    return names


def no_fault(world):
    """No fault."""


def answer_lost(world):
    world.faults["entry-0"].lose_answers = 1


def three_answers_lost(world):
    world.faults["entry-0"].lose_answers = 3


def others_cut_from_store(world):
    world.store_down(entries=["entry-1", "entry-2"])


def changes_lost(world):
    world.network.lose_next += [ConfigChanges] * 2 + [ConfigSlice] * 3


def scheduler_killed(world):
    world.nodes[world.holder().identity.name].kill()


def other_entry_killed(world):
    world.nodes["entry-2"].kill()


def other_entry_frozen_shortly(world):
    clock = world.nodes["entry-1"].clock
    clock.freeze()
    world.clock.callLater(2.0, clock.thaw)


def store_slow_for_others(world):
    for name in ("entry-1", "entry-2"):
        world.faults[name].delay_s = 5.0


def all_messages_doubled(world):
    world.network.duplicate_probability = 1.0


def agent_changes_gateway_entry(world):
    for entry in ("entry-0", "entry-1"):
        world.network.cut("work-0", entry)


FAULTS = [
    no_fault,
    answer_lost,
    three_answers_lost,
    others_cut_from_store,
    changes_lost,
    other_entry_killed,
    other_entry_frozen_shortly,
    store_slow_for_others,
    all_messages_doubled,
    agent_changes_gateway_entry,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_in_force_within_the_bound(fault):
    world = make_world(workers=3)
    RevisionMonitor(world)
    fault(world)
    answer = world.change_and_wait("entry-0", "account", "new", {"weight": 2.0})
    assert isinstance(answer, Accepted)
    accepted_at = world.clock.seconds()
    world.run_until(
        lambda: not lagging(world, answer.change.revision),
        BOUND_S - (world.clock.seconds() - accepted_at),
    )
    world.network.heal()
    world.run(5.0)
    for entry in world.entries():
        assert entry.config.current.accounts["new"] == {"weight": 2.0}


def test_change_during_a_scheduler_takeover():
    world = make_world(workers=3)
    RevisionMonitor(world)
    entries = [entry.identity.name for entry in world.entries()]
    holder = world.holder().identity.name
    other = next(name for name in entries if name != holder)
    scheduler_killed(world)
    answer = world.change_and_wait(other, "zone", "a", {"state": "out"})
    world.run_until(lambda: not lagging(world, answer.change.revision), BOUND_S)
    world.run(12.0)
    assert world.holder().identity.name != holder


def test_delayed_change_after_a_newer_one():
    world = make_world()
    RevisionMonitor(world)
    first = world.change_and_wait("entry-0", "zone", "a", {"state": "out"})
    second = world.change_and_wait("entry-0", "zone", "a", {"state": "in"})
    node = world.nodes["entry-1"].process
    old = ConfigChanges(config.encode_changes([first.change]))
    node._on_peer(None, "entry-0", old)
    assert node.config.current.revision == second.change.revision
    assert not node.config.current.zone_is_out("a")


@pytest.mark.parametrize("lost", [0, 1])
def test_one_of_concurrent_changes_wins(lost):
    world = make_world()
    RevisionMonitor(world)
    world.change_and_wait("entry-0", "zone", "a", {"state": "in"})
    world.run(1.0)
    version = world.nodes["entry-0"].process.config.version_of("zone", "a")
    world.faults["entry-0"].lose_answers = lost
    answers = [
        world.change(f"entry-{n}", "zone", "a", {"state": state}, version)
        for n, state in ((0, "out"), (1, "in"), (2, "out"))
    ]
    world.run_until(lambda: all(answers), 10.0)
    results = [answer[0] for answer in answers]
    assert sum(isinstance(result, Accepted) for result in results) == 1
    winner = next(r for r in results if isinstance(r, Accepted))
    for result in results:
        if isinstance(result, LostRace):
            assert result.version == winner.change.revision
            assert result.document == winner.change.document


def test_store_down_is_not_accepted():
    world = make_world()
    world.store_down()
    answer = world.change_and_wait("entry-0", "zone", "a", {"state": "out"})
    assert isinstance(answer, InDoubt)


def test_entry_restarted_during_an_outage_applies_the_newest_revision():
    """It serves nothing under an older revision and serves again within seconds."""
    world = make_world()
    RevisionMonitor(world)
    world.change_and_wait("entry-0", "zone", "a", {"state": "out"})
    world.run(2.0)
    world.store_down()
    world.run(3.0)
    world.nodes["entry-1"].kill()
    world.run(0.5)
    world.entry("entry-1", "b")
    outcomes = [world.start_request("entry-1", b"early %d" % n) for n in range(3)]
    world.run(4.0)
    assert world.nodes["entry-1"].process.config.current.zone_is_out("a")
    outcome = world.request("entry-1", b"later")
    assert outcome.verdict == verdict.RAN
    assert all(outcomes)
    assert not [run for run in world.runs if run.zone == "a"]


def test_new_entry_loads_the_snapshot_and_later_changes():
    """A new entry has the same configuration as one that applied every change."""
    world = make_world(executors=0)
    for number in range(205):
        world.change_and_wait("entry-0", "account", f"a{number % 7}", {"weight": 1.0})
    world.entry("entry-9", "c")
    world.run(3.0)
    new, old = (world.nodes[n].process.config for n in ("entry-9", "entry-0"))
    assert new.current == old.current
    assert new.version_of("account", "a3") == old.version_of("account", "a3")


def test_check_fails_if_changes_apply_out_of_order(monkeypatch):
    def apply_changes(self, changes):
        for change in changes:
            self._current = self._current._replace(revision=change.revision)
            self._on_changes([])
        return changes

    world = make_world()
    RevisionMonitor(world)
    first = world.change_and_wait("entry-0", "zone", "a", {"state": "out"})
    world.change_and_wait("entry-0", "zone", "a", {"state": "in"})
    monkeypatch.setattr(ConfigStore, "apply_changes", apply_changes)
    old = ConfigChanges(config.encode_changes([first.change]))
    world.nodes["entry-1"].process._on_peer(None, "entry-0", old)
    with pytest.raises(AssertionError, match="returned to an older revision"):
        world.run(0.1)
