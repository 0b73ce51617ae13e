"""When the system answers "not run", the request did not run.

One row for each point at which a dispatch can fail, on repeatable requests.
Proves: the verdict "not run" only where no executor saw the body, whole
answers to their own callers, and repeated runs within the retry budget.
"""

import pytest
from builders import make_world
from invariants import check_requests

from samphiredeal.model import verdict
from samphiredeal.wire.messages import Answer, Dispatch, DispatchAck, Refusal


def none(world):
    """No fault."""


def zone_out_everywhere(world):
    for zone in "abc":
        world.change_and_wait("entry-0", "zone", zone, {"state": "out"})


def all_agents_leaving(world):
    for number in range(3):
        world.nodes[f"exec-{number}"].process._leaving = True
    world.run(1.0)


def all_slots_taken(world):
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


def everything_doubled(world):
    world.network.duplicate_probability = 1.0


def delayed_by_agents(world):
    for number in range(3):
        world.network.delay_s[f"exec-{number}"] = 0.5 * number


def losing(kind):
    def lose(world):
        world.network.lose_next += [kind] * 3

    lose.__name__ = f"{kind.__name__.lower()}_lost"
    return lose


FAULTS = [
    none,
    zone_out_everywhere,
    all_agents_leaving,
    all_slots_taken,
    agents_frozen,
    agents_frozen_then_thawed,
    agents_vanished,
    agents_restarted_while_running,
    entry_cut_from_all,
    answers_cut,
    entry_frozen_with_requests,
    everything_doubled,
    delayed_by_agents,
    losing(Dispatch),
    losing(DispatchAck),
    losing(Answer),
    losing(Refusal),
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_verdicts_are_true(fault):
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
