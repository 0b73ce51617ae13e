"""Starts in an availability zone that is labelled out.

Guards against a request or task that starts in the zone more than 5 s after the
operator received the answer to the change. Each fault disconnects, freezes or
kills something around the change while requests and jobs keep arriving at all
entries. Without permits or confirmations the check fails.
"""

import pytest
from builders import make_job, make_world
from invariants import check_requests, check_zone_starts

from samphiredeal.agent.permits import PermitIssuer
from samphiredeal.entry.configstore import Accepted
from samphiredeal.entry.confirmation import Confirmation
from samphiredeal.entry.node import EntryNode

BOUND_S = 5.0
LOAD_S = 25.0


def no_fault(world):
    """No fault."""


def entry_cut_from_store(world):
    world.store_down(entries=["entry-1"])


def entry_cut_from_store_and_peers(world):
    world.store_down(entries=["entry-1"])
    world.network.cut("entry-1", "entry-0")
    world.network.cut("entry-1", "entry-2")


def entry_cut_one_way(world):
    world.store_down(entries=["entry-1"])
    world.network.cut("entry-0", "entry-1", both=False)
    world.network.cut("entry-2", "entry-1", both=False)


def zone_agents_cut_from_accepting_entry(world):
    world.network.cut("exec-0", "entry-0")
    world.network.cut("work-0", "entry-0")


def entry_frozen_with_dispatches(world):
    world.nodes["entry-1"].clock.freeze()
    world.clock.callLater(8.0, world.nodes["entry-1"].clock.thaw)


def agents_frozen_with_dispatches(world):
    for name in ("exec-0", "work-0"):
        world.nodes[name].clock.freeze()
        world.clock.callLater(9.0, world.nodes[name].clock.thaw)


def store_down_right_after(world):
    world.clock.callLater(0.11, world.store_down)


def scheduler_killed(world):
    world.clock.callLater(0.2, world.nodes[world.holder().identity.name].kill)


def slow_links(world):
    for name in world.nodes:
        world.network.delay_s[name] = 0.8


def store_slow(world):
    for name in ("entry-1", "entry-2"):
        world.faults[name].delay_s = 5.0


def accepting_entry_killed_right_after(world):
    def kill_when_accepted():
        if world.entries()[0].config.current.zone_is_out("a"):
            world.nodes["entry-0"].kill()
        else:
            world.clock.callLater(0.01, kill_when_accepted)

    world.clock.callLater(0.01, kill_when_accepted)


def cut_and_frozen(world):
    entry_cut_from_store_and_peers(world)
    agents_frozen_with_dispatches(world)


def cut_zone_off_with_one_entry(world):
    """Isolate one entry and the zone's agents, which still reach each other."""
    entry_cut_from_store_and_peers(world)
    for entry in ("entry-0", "entry-2"):
        world.network.cut("exec-0", entry)
        world.network.cut("work-0", entry)
        world.network.cut("work-3", entry)


FAULTS = [
    no_fault,
    entry_cut_from_store,
    entry_cut_from_store_and_peers,
    entry_cut_one_way,
    zone_agents_cut_from_accepting_entry,
    entry_frozen_with_dispatches,
    agents_frozen_with_dispatches,
    store_down_right_after,
    scheduler_killed,
    slow_links,
    store_slow,
    accepting_entry_killed_right_after,
    cut_and_frozen,
    cut_zone_off_with_one_entry,
]


def send_work(world, seconds):
    """Send requests and jobs through every live entry for a number of seconds."""
    number = 0
    end = world.clock.seconds() + seconds
    while world.clock.seconds() < end:
        for entry in world.entries():
            body = b"request %d" % len(world.sent)
            world.sent.append(body)
            world.start_request(entry.identity.name, body, deadline_s=3.0)
        holder = world.holder()
        if holder is not None and number % 5 == 0:
            job = make_job(f"j{len(world.sent)}", members=2, command="sleep 2")
            holder.host.submit(job)
        number += 1
        world.run(0.2)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_no_start_after_the_bound(fault):
    world = make_world(workers=6)
    send_work(world, 2.0)
    fault(world)
    accepted = []
    answers = world.change("entry-0", "zone", "a", {"state": "out"})
    world.watchers.append(
        lambda: answers and not accepted and accepted.append(world.clock.seconds())
    )
    requested_at = world.clock.seconds()
    send_work(world, LOAD_S)
    if not answers:
        accepted = [requested_at]
    else:
        assert isinstance(answers[0], Accepted)
    check_zone_starts(world, "a", accepted[0], float("inf"), BOUND_S)
    check_requests(world)
    later = [run for run in world.runs if run.at > accepted[0] + BOUND_S]
    assert {run.zone for run in later} == {"b", "c"}, "the other zones keep serving"


def test_concurrent_out_and_in_changes():
    """After concurrent changes, every entry applies the last revision."""
    world = make_world(workers=6)
    for number in range(4):
        state = "out" if number % 2 == 0 else "in"
        world.change("entry-0", "zone", "a", {"state": state})
        world.change("entry-1", "zone", "a", {"state": state})
        send_work(world, 0.4)
    last = world.change_and_wait("entry-2", "zone", "a", {"state": "out"})
    assert isinstance(last, Accepted)
    out_at = world.clock.seconds()
    send_work(world, 10.0)
    check_zone_starts(world, "a", out_at, float("inf"), BOUND_S)
    revisions = {entry.config.current.revision for entry in world.entries()}
    assert len(revisions) == 1


def test_check_fails_without_permits(monkeypatch):
    monkeypatch.setattr(PermitIssuer, "is_fresh", lambda *_: True)
    monkeypatch.setattr(EntryNode, "_may_dispatch", lambda self, s: s.permit > 0)
    monkeypatch.setattr(EntryNode, "_send_slice", lambda *_: None)
    with pytest.raises(AssertionError, match="started in a"):
        test_no_start_after_the_bound(entry_cut_from_store_and_peers)


def test_check_fails_without_confirmations(monkeypatch):
    monkeypatch.setattr(Confirmation, "age_s", lambda self: 0.0)
    with pytest.raises(AssertionError, match="started in a"):
        test_no_start_after_the_bound(cut_zone_off_with_one_entry)
