"""Planned stops cut nothing, and a leaving upstream gets nothing new.

Proves: a drain of an entry, an agent or the scheduler's holder under load, also
two at once, leaves every request with its whole answer; an agent that leaves is
sent nothing after 3 s although its message is lost or entries are cut off.
"""

import pytest
from builders import make_job, make_world
from invariants import check_requests
from twisted.internet.defer import ensureDeferred

from samphiredeal.agent.node import Agent
from samphiredeal.model import verdict
from samphiredeal.wire.messages import Heartbeat

LEAVE_BOUND_S = 3.0


def drain(world, name, grace_s=20.0):
    """Begin a planned stop; returns a list that gets something at its end."""
    ended = []
    process = world.nodes[name].process
    ensureDeferred(process.drain(grace_s)).addCallback(lambda _: ended.append(True))
    return ended


def load(world, entries, seconds, keyed=False):
    """Send requests through the entries for a while."""
    end = world.clock.seconds() + seconds
    while world.clock.seconds() < end:
        for entry in entries:
            body = b"request %d" % len(world.sent)
            key = f"k{len(world.sent)}" if keyed else ""
            world.sent.append(body)
            world.start_request(entry, body, key, deadline_s=8.0)
        world.run(0.3)


STOPS = [
    ["entry-0"],
    ["entry-1"],
    ["exec-0"],
    ["exec-0", "exec-1"],
    ["entry-0", "exec-1"],
    ["entry-0", "entry-1"],
]


@pytest.mark.parametrize("keyed", [False, True], ids=["repeatable", "keyed"])
@pytest.mark.parametrize("names", STOPS, ids="+".join)
def test_drain_cuts_nothing(names, keyed):
    world = make_world(slots=16)
    world.service_s = 1.5
    load(world, ["entry-0", "entry-1", "entry-2"], 1.0, keyed)
    ended = [drain(world, name) for name in names]
    staying = [e for e in ("entry-0", "entry-1", "entry-2") if e not in names]
    load(world, staying, 3.0, keyed)
    world.run(15.0)
    assert all(ended), "a drain did not end"
    check_requests(world)
    assert len(world.answered) == len(world.sent)
    cut = [a for a in world.answered if a.outcome.verdict == verdict.MAY_HAVE_RUN]
    assert not cut, f"{len(cut)} requests were cut"
    ran = sum(a.outcome.verdict == verdict.RAN for a in world.answered)
    assert ran == len(world.sent), f"{len(world.sent) - ran} requests were refused"


def test_drain_of_the_holder_hands_the_lease_over():
    world = make_world(executors=0, workers=6)
    holder = world.holder()
    job = make_job("job", members=4, command="sleep 15")
    ensureDeferred(holder.jobs.submit(job, "n"))
    holder.notify_job("submit", "job", job)
    world.run(2.0)
    assert len(world.task_starts) == 1
    ended = drain(world, holder.identity.name)
    world.run_until(lambda: ended, 5.0)
    world.nodes[holder.identity.name].kill()
    world.run_until(lambda: world.holder() not in (None, holder), 5.0)
    world.run_until(lambda: "done/north/job" in world.table.rows, 60.0)
    assert len(world.task_starts) == 1, "the job was interrupted"


def lost_heartbeats(world):
    world.network.lose_next += [Heartbeat] * 2


def entries_cut_from_each_other(world):
    world.network.cut("entry-0", "entry-1")
    world.network.cut("entry-0", "entry-2")


def one_entry_cannot_hear(world):
    world.network.cut("exec-0", "entry-1", both=False)


def killed_while_leaving(world):
    world.clock.callLater(1.0, world.nodes["exec-0"].kill)


def vanishes_while_leaving(world):
    world.clock.callLater(1.0, world.nodes["exec-0"].kill, True)


LEAVES = [
    lost_heartbeats,
    entries_cut_from_each_other,
    one_entry_cannot_hear,
    killed_while_leaving,
    vanishes_while_leaving,
]


def leave_under(world, fault):
    """Let exec-0 leave under a fault and load; return when it began."""
    entries = ["entry-0", "entry-1", "entry-2"]
    load(world, entries, 1.0)
    fault(world)
    left_at = world.clock.seconds()
    drain(world, "exec-0", grace_s=30.0)
    load(world, entries, 8.0)
    world.run(10.0)
    return left_at


@pytest.mark.parametrize("fault", LEAVES, ids=lambda fault: fault.__name__)
def test_leaving_upstream_gets_nothing_new(fault):
    world = make_world()
    left_at = leave_under(world, fault)
    late = [
        run
        for run in world.runs
        if run.agent == "exec-0" and run.at > left_at + LEAVE_BOUND_S
    ]
    assert not late
    check_requests(world)


def test_check_fails_if_the_agent_takes_work_while_leaving(monkeypatch):
    monkeypatch.setattr(Agent, "gate", lambda self: None)
    monkeypatch.setattr(Agent, "leaving", False)

    async def keep_quiet(self, grace_s):
        """Leave without telling anybody."""

    monkeypatch.setattr(Agent, "drain", keep_quiet)
    with pytest.raises(AssertionError):
        test_leaving_upstream_gets_nothing_new(lost_heartbeats)
