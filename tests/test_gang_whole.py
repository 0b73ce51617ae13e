"""Gangs run with all of their members or not at all.

Guards against a gang that keeps running with only part of its members for longer
than it takes to detect the failure: 5 s, or 16 s while the scheduler is replaced.
Faults kill, freeze or cut off a member or the scheduler at each stage of a start,
or lose or duplicate messages. Every gang must end afterwards, and members of
a gang that is not repeatable may start in one attempt only.
"""

import pytest
from builders import make_job, make_world
from invariants import GangMonitor

from samphiredeal.agent.node import Agent
from samphiredeal.entry.gangs import GangDriver
from samphiredeal.wire.messages import FromAgent, Relay

PARTIAL_BOUND_S = 5.0
PARTIAL_BOUND_AT_TAKEOVER_S = 16.0
RUN_S = 20
MEMBERS = 24


def submit(world, repeatable=True, job_id="gang"):
    """Submit a gang that spans several workers by writing its row to the table."""
    job = make_job(
        job_id, members=MEMBERS, repeatable=repeatable, command=f"sleep {RUN_S}"
    )
    entry = world.entries()[0]
    done = []
    from twisted.internet.defer import ensureDeferred

    ensureDeferred(entry.jobs.submit(job, f"nonce-{job_id}")).addCallback(done.append)
    world.run_until(lambda: done, 5.0)
    entry.notify_job("submit", job.id, job)


def is_in_state(world, state):
    """Return whether the scheduler has a gang in the given state."""
    holder = world.holder()
    gangs = list(holder.host.driver.gangs.values()) if holder and holder.host else []
    return any(gang.state == state for gang in gangs)


def worker_of_gang(world):
    """Return the first worker by name that has members of the gang."""
    gang = next(iter(world.holder().host.driver.gangs.values()))
    return sorted(gang.places)[0]


def in_state(state, action):
    def fault(world):
        submit(world)
        world.run_until(lambda: is_in_state(world, state), 5.0)
        action(world)

    fault.__name__ = f"{action.__name__}_when_{state}"
    return fault


def kill_member(world):
    world.nodes[worker_of_gang(world)].kill()


def member_vanishes(world):
    world.nodes[worker_of_gang(world)].kill(silently=True)


def freeze_member(world):
    clock = world.nodes[worker_of_gang(world)].clock
    clock.freeze()
    world.clock.callLater(12.0, clock.thaw)


def freeze_member_shortly(world):
    clock = world.nodes[worker_of_gang(world)].clock
    clock.freeze()
    world.clock.callLater(2.0, clock.thaw)


def cut_member(world):
    name = worker_of_gang(world)
    for entry in world.entries():
        world.network.cut(name, entry.identity.name)
    world.clock.callLater(12.0, world.network.heal)


def replace_scheduler(world):
    holder = world.holder().identity
    world.nodes[holder.name].kill()
    world.clock.callLater(3.0, world.entry, holder.name, holder.zone)


def freeze_scheduler(world):
    clock = world.nodes[world.holder().identity.name].clock
    clock.freeze()
    world.clock.callLater(12.0, clock.thaw)


def replace_scheduler_and_kill_member(world):
    name = worker_of_gang(world)
    replace_scheduler(world)
    world.nodes[name].kill()


def store_down(world):
    world.store_down()
    world.clock.callLater(10.0, world.store_down, False)


ACTIONS = [
    kill_member,
    member_vanishes,
    freeze_member,
    freeze_member_shortly,
    cut_member,
    replace_scheduler,
    freeze_scheduler,
    replace_scheduler_and_kill_member,
    store_down,
]
FAULTS = [
    in_state(state, action)
    for state in ("reserving", "starting", "running")
    for action in ACTIONS
]


def lose(message_class, count):
    def fault(world):
        submit(world)
        world.network.lose_next += [message_class] * count

    fault.__name__ = f"{count}_{message_class.__name__.lower()}_lost"
    return fault


def all_messages_doubled(world):
    world.network.duplicate_probability = 1.0
    submit(world)


FAULTS += [lose(Relay, 1), lose(Relay, 4), lose(FromAgent, 3), all_messages_doubled]


def make_gang_world():
    return make_world(entries=3, executors=0, workers=6)


def is_done(world, job_id="gang"):
    return any(key == f"done/north/{job_id}" for key in world.table.rows)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_runs_with_all_members_or_stops(fault):
    world = make_gang_world()
    scheduler_replaced = "scheduler" in fault.__name__
    bound_s = PARTIAL_BOUND_AT_TAKEOVER_S if scheduler_replaced else PARTIAL_BOUND_S
    GangMonitor(world, bound_s)
    fault(world)
    world.run(60.0)
    world.network.heal()
    for name, node in list(world.nodes.items()):
        if node.clock.dead and name.startswith("work"):
            world.worker(name, node.zone)
    world.run_until(lambda: is_done(world), 120.0)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_not_repeatable_gang_starts_once(fault, monkeypatch):
    world = make_gang_world()
    world.change_and_wait(
        "entry-0",
        "account",
        "acct",
        {
            "guarantee": [
                {
                    "cpu_milli": 1000,
                    "memory_mb": 1000,
                    "accelerators": 1,
                    "count": MEMBERS,
                }
            ]
        },
    )
    monkeypatch.setitem(globals(), "submit", _submit_not_repeatable)
    fault(world)
    world.run(60.0)
    world.network.heal()
    world.run(30.0)
    started = {}
    for attempt_id, worker, _zone, _at in world.task_starts:
        started.setdefault(attempt_id, set()).add(worker)
    assert len(started) <= 1, f"attempts that started members: {started}"


_submit_repeatable = submit


def _submit_not_repeatable(world, repeatable=False, job_id="gang"):
    _submit_repeatable(world, False, job_id)


def test_check_fails_if_members_do_not_wait_for_each_other(monkeypatch):
    """Members that start on their own reservation leave gangs incomplete."""

    def start_at_once(self, worker, message):
        gang = self._gangs.get(message.attempt)
        if gang is not None:
            gang.permits[worker] = message.permit
            gang.state = "running"
            gang.start_sent = True
            epoch, revision, age_ms = self._stamp()
            from samphiredeal.wire.messages import Start

            self._send(worker, Start(gang.id, message.permit, epoch, revision, age_ms))

    monkeypatch.setattr(GangDriver, "on_reserved", start_at_once)
    world = make_gang_world()
    GangMonitor(world, PARTIAL_BOUND_S)
    submit(world)
    world.network.lose_next += [Relay] * 2
    with pytest.raises(AssertionError, match="only in part"):
        world.run(30.0)


def test_check_fails_without_the_members_lease(monkeypatch):
    """Without its lease, a member cut off from all entries keeps running alone."""
    monkeypatch.setattr(Agent, "_tick", _tick_without_lease)
    world = make_gang_world()
    GangMonitor(world, PARTIAL_BOUND_S)
    submit(world)
    world.run_until(lambda: is_in_state(world, "running"), 5.0)
    cut_member(world)
    with pytest.raises(AssertionError, match="only in part"):
        world.run(30.0)


def _tick_without_lease(self):
    self._drop_unresponsive_links()
    self._connect_missing()
    self._send_heartbeats()
    self._members.tick()
