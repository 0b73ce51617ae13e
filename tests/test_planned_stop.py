"""Planned stops of entries and agents under load.

Guards against requests that a drain of an entry, an agent or the scheduler's
holder, or of two nodes at once, interrupts or refuses; and against new work for an
agent later than 3 s after it began to leave, although its messages are lost or
entries are disconnected.
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
    """Begin a drain; return a list that receives an item when it ends."""
    ended = []
    process = world.nodes[name].process
    ensureDeferred(process.drain(grace_s)).addCallback(lambda _: ended.append(True))
    return ended


def send_requests(world, entries, seconds, keyed=False):
    """Send requests through the entries for a number of seconds."""
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
def test_drain_interrupts_no_request(names, keyed):
    world = make_world(slots=16)
    world.service_s = 1.5
    send_requests(world, ["entry-0", "entry-1", "entry-2"], 1.0, keyed)
    ended = [drain(world, name) for name in names]
    staying = [e for e in ("entry-0", "entry-1", "entry-2") if e not in names]
    send_requests(world, staying, 3.0, keyed)
    world.run(15.0)
    assert all(ended), "a drain did not end"
    check_requests(world)
    assert len(world.answered) == len(world.sent)
    interrupted = [
        a for a in world.answered if a.outcome.verdict == verdict.MAY_HAVE_RUN
    ]
    assert not interrupted, f"{len(interrupted)} requests were interrupted"
    ran = sum(a.outcome.verdict == verdict.RAN for a in world.answered)
    assert ran == len(world.sent), f"{len(world.sent) - ran} requests were refused"


def test_drain_of_the_holder_releases_the_lease():
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


def one_entry_gets_no_messages(world):
    world.network.cut("exec-0", "entry-1", both=False)


def killed_while_leaving(world):
    world.clock.callLater(1.0, world.nodes["exec-0"].kill)


def vanishes_while_leaving(world):
    world.clock.callLater(1.0, world.nodes["exec-0"].kill, True)


LEAVE_FAULTS = [
    lost_heartbeats,
    entries_cut_from_each_other,
    one_entry_gets_no_messages,
    killed_while_leaving,
    vanishes_while_leaving,
]


def drain_agent_under(world, fault):
    """Drain exec-0 under a fault and load; return when the drain began."""
    entries = ["entry-0", "entry-1", "entry-2"]
    send_requests(world, entries, 1.0)
    fault(world)
    left_at = world.clock.seconds()
    drain(world, "exec-0", grace_s=30.0)
    send_requests(world, entries, 8.0)
    world.run(10.0)
    return left_at


@pytest.mark.parametrize("fault", LEAVE_FAULTS, ids=lambda fault: fault.__name__)
def test_leaving_upstream_gets_no_new_requests(fault):
    world = make_world()
    left_at = drain_agent_under(world, fault)
    late = [
        run
        for run in world.runs
        if run.agent == "exec-0" and run.at > left_at + LEAVE_BOUND_S
    ]
    assert not late
    check_requests(world)


def test_check_fails_if_the_agent_accepts_requests_while_leaving(monkeypatch):
    monkeypatch.setattr(Agent, "gate", lambda self: None)
    monkeypatch.setattr(Agent, "leaving", False)

    async def leave_unannounced(self, grace_s):
        """Leave without announcing it to the entries."""

    monkeypatch.setattr(Agent, "drain", leave_unannounced)
    with pytest.raises(AssertionError):
        test_leaving_upstream_gets_no_new_requests(lost_heartbeats)
