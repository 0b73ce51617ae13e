"""Verdicts of repeatable requests whose dispatch fails.

Guards against the verdict "not-run" for a request that an executor ran, and answers
that are truncated or belong to another request. There is a fault for each point at
which a dispatch can fail.
"""

import pytest
from builders import make_world
from invariants import check_requests

from samphiredeal.model import verdict
from samphiredeal.wire.messages import Answer, Dispatch, DispatchAck, Refusal


def no_fault(world):
    """No fault."""


def zone_out_everywhere(world):
    for zone in "abc":
        world.change_and_wait("entry-0", "zone", zone, {"state": "out"})


def all_agents_leaving(world):
    for number in range(3):
        world.nodes[f"exec-{number}"].process._leaving = True
    world.run(1.0)


def all_slots_busy(world):
    world.service_s = 20.0
    for number in range(24):
        world.start_request("entry-1", b"filler %d" % number, deadline_s=30.0)


def agents_frozen(world):
    for number in range(3):
        world.nodes[f"exec-{number}"].clock.freeze()


def agents_frozen_then_thawed(world):
    agents_frozen(world)
    world.start_request("entry-0", b"stuck", deadline_s=3.0)
    world.run(8.0)
    for number in range(3):
        world.nodes[f"exec-{number}"].clock.thaw()


def agents_vanished(world):
    for number in range(3):
        world.nodes[f"exec-{number}"].kill(silently=True)


def agents_restarted_while_running(world):
    world.start_request("entry-0", b"was running")
    world.run(0.1)
    for number in range(3):
        name = f"exec-{number}"
        zone = world.nodes[name].zone
        world.nodes[name].kill()
        world.executor(name, zone)


def entry_cut_from_all(world):
    for name in world.nodes:
        if name != "entry-0":
            world.network.cut("entry-0", name)


def answers_cut(world):
    for number in range(3):
        world.network.cut(f"exec-{number}", "entry-0", both=False)


def entry_frozen_with_requests(world):
    for number in range(4):
        world.start_request("entry-0", b"held %d" % number, deadline_s=2.0)
    world.nodes["entry-0"].clock.freeze()
    world.run(9.0)
    world.nodes["entry-0"].clock.thaw()


def all_messages_doubled(world):
    world.network.duplicate_probability = 1.0


def agents_delayed(world):
    for number in range(3):
        world.network.delay_s[f"exec-{number}"] = 0.5 * number


def message_lost(message_class):
    def lose(world):
        world.network.lose_next += [message_class] * 3

    lose.__name__ = f"{message_class.__name__.lower()}_lost"
    return lose


FAULTS = [
    no_fault,
    zone_out_everywhere,
    all_agents_leaving,
    all_slots_busy,
    agents_frozen,
    agents_frozen_then_thawed,
    agents_vanished,
    agents_restarted_while_running,
    entry_cut_from_all,
    answers_cut,
    entry_frozen_with_requests,
    all_messages_doubled,
    agents_delayed,
    message_lost(Dispatch),
    message_lost(DispatchAck),
    message_lost(Answer),
    message_lost(Refusal),
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_verdicts_match_executions(fault):
    world = make_world()
    fault(world)
    for number in range(12):
        world.start_request(f"entry-{number % 2}", b"body %d" % number)
        world.run(0.1)
    world.run(12.0)
    world.network.heal()
    world.run(15.0)
    check_requests(world)
    assert len(world.answered) >= 12


def test_unreachable_executor_is_not_run():
    world = make_world()
    outcome = world.request("entry-0", b"unreachable")
    assert outcome.verdict == verdict.NOT_RUN
    assert outcome.reason.code == verdict.UPSTREAM_FAILED.code
