"""At-most-once execution of requests that are not repeatable.

Guards against a keyed request that runs twice, the answer "not-run" to one that
ran, and an answer with a wrong body. Each fault function causes one failure around
a keyed request and retries it through other entries. Without claims or permits the
checks fail.
"""

import pytest
from builders import make_world
from invariants import check_requests

from samphiredeal.agent.permits import PermitIssuer
from samphiredeal.entry.claims import Claims
from samphiredeal.model import verdict
from samphiredeal.wire.messages import Answer, AnswerAck, Dispatch, DispatchAck

BODY, KEY = b"deposit", "k"


def send_deposit(world, entry, deadline_s=5.0):
    return world.start_request(entry, BODY, KEY, deadline_s=deadline_s)


def is_claimed(world):
    return any(key.startswith("claim/") for key in world.table.rows)


def agent_of_claim(world):
    """Return the name of the agent that ran the body."""
    return world.runs_of(BODY)[0].agent


def retry_while_running(world):
    world.service_s = 2.0
    send_deposit(world, "entry-0")
    world.run(0.3)
    send_deposit(world, "entry-1")
    send_deposit(world, "entry-2")


def two_at_once(world):
    for entry in ("entry-0", "entry-1", "entry-2"):
        send_deposit(world, entry)


def claim_answer_lost(world):
    world.faults["entry-0"].lose_answers = 1
    send_deposit(world, "entry-0")
    world.run(0.1)
    send_deposit(world, "entry-1")


def claim_answers_lost_for_long(world):
    world.faults["entry-0"].lose_answers = 100
    send_deposit(world, "entry-0")
    world.run(4.0)
    send_deposit(world, "entry-1")


def frozen_between_claim_and_dispatch(world, frozen_s=8.0):
    world.faults["entry-0"].delay_s = 0.3
    send_deposit(world, "entry-0", 30.0)
    world.run_until(lambda: is_claimed(world), 3.0)
    world.nodes["entry-0"].clock.freeze()
    send_deposit(world, "entry-1")
    world.run(frozen_s)
    world.nodes["entry-0"].clock.thaw()


def frozen_shortly_between_claim_and_dispatch(world):
    frozen_between_claim_and_dispatch(world, 1.0)


def entry_killed_after_dispatch(world):
    world.service_s = 1.0
    send_deposit(world, "entry-0")
    world.run_until(lambda: world.runs, 3.0)
    world.nodes["entry-0"].kill()
    send_deposit(world, "entry-1")


def entry_killed_between_claim_and_dispatch(world):
    world.faults["entry-0"].delay_s = 0.3
    send_deposit(world, "entry-0")
    world.run_until(lambda: is_claimed(world), 3.0)
    world.nodes["entry-0"].kill()
    send_deposit(world, "entry-1")


def agent_restarted_empty(world):
    world.service_s = 1.0
    send_deposit(world, "entry-0")
    world.run_until(lambda: world.runs, 3.0)
    name = agent_of_claim(world)
    world.nodes[name].kill()
    world.executor(name, world.nodes[name].zone)
    world.run(0.5)
    send_deposit(world, "entry-1")


def agent_vanishes(world):
    world.service_s = 1.0
    send_deposit(world, "entry-0")
    world.run_until(lambda: world.runs, 3.0)
    world.nodes[agent_of_claim(world)].kill(silently=True)
    send_deposit(world, "entry-1", 20.0)


def agent_frozen_past_deadline(world):
    world.service_s = 1.0
    send_deposit(world, "entry-0", 2.0)
    world.run_until(lambda: world.runs, 3.0)
    name = agent_of_claim(world)
    world.nodes[name].clock.freeze()
    send_deposit(world, "entry-1", 3.0)
    world.run(12.0)
    world.nodes[name].clock.thaw()
    send_deposit(world, "entry-2")


def dispatch_stuck_while_agent_frozen(world):
    for number in range(3):
        world.nodes[f"exec-{number}"].clock.freeze()
    send_deposit(world, "entry-0", 2.0)
    world.run(9.0)
    for number in range(3):
        world.nodes[f"exec-{number}"].clock.thaw()
    send_deposit(world, "entry-1")


def agent_cut_off_during_run(world):
    world.service_s = 0.5
    send_deposit(world, "entry-0", 10.0)
    world.run_until(lambda: world.runs, 3.0)
    name = agent_of_claim(world)
    world.network.cut(name, "entry-0")
    world.run(3.0)
    world.network.heal()
    send_deposit(world, "entry-1")


def agent_cut_off_one_way(world):
    world.service_s = 0.5
    send_deposit(world, "entry-0", 10.0)
    world.run_until(lambda: world.runs, 3.0)
    world.network.cut(agent_of_claim(world), "entry-0", both=False)
    send_deposit(world, "entry-1", 10.0)
    world.run(6.0)
    world.network.heal()


def all_messages_doubled(world):
    world.network.duplicate_probability = 1.0
    two_at_once(world)


def store_down_after_claim(world):
    world.service_s = 1.0
    send_deposit(world, "entry-0")
    world.run_until(lambda: is_claimed(world), 3.0)
    world.store_down()
    world.run(2.0)
    send_deposit(world, "entry-1")
    world.run(3.0)
    world.store_down(False)
    world.run(3.0)
    send_deposit(world, "entry-2")


def store_down_before_claim(world):
    world.store_down()
    send_deposit(world, "entry-0")
    world.run(3.0)
    send_deposit(world, "entry-1")
    world.run(1.0)
    world.store_down(False)


def store_slow(world):
    for faults in world.faults.values():
        faults.delay_s = 5.0
    send_deposit(world, "entry-0")
    world.run(7.0)
    send_deposit(world, "entry-1")
    world.run(6.0)


def message_lost(message_class):
    def lose(world):
        world.network.lose_next.append(message_class)
        send_deposit(world, "entry-0", 8.0)
        world.run(3.0)
        send_deposit(world, "entry-1", 8.0)

    lose.__name__ = f"{message_class.__name__.lower()}_lost"
    return lose


def delayed_everywhere(world):
    for name in world.nodes:
        world.network.delay_s[name] = world.rng.choice([0.0, 0.3, 1.0])
    two_at_once(world)


FAULTS = [
    retry_while_running,
    two_at_once,
    claim_answer_lost,
    claim_answers_lost_for_long,
    frozen_between_claim_and_dispatch,
    frozen_shortly_between_claim_and_dispatch,
    entry_killed_after_dispatch,
    entry_killed_between_claim_and_dispatch,
    agent_restarted_empty,
    agent_vanishes,
    agent_frozen_past_deadline,
    dispatch_stuck_while_agent_frozen,
    agent_cut_off_during_run,
    agent_cut_off_one_way,
    all_messages_doubled,
    store_down_after_claim,
    store_down_before_claim,
    store_slow,
    message_lost(Dispatch),
    message_lost(DispatchAck),
    message_lost(Answer),
    message_lost(AnswerAck),
    delayed_everywhere,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_runs_at_most_once(fault):
    world = make_world()
    fault(world)
    world.run(25.0)
    keyed = [a for a in world.answered if a.key]
    assert keyed, "no caller got an answer"
    check_requests(world)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_later_retry_gets_a_final_verdict(fault):
    """A retry after recovery gets a final verdict; the request runs at most once."""
    world = make_world()
    fault(world)
    world.run(15.0)
    outcome = world.request("entry-2", BODY, KEY, deadline_s=8.0)
    check_requests(world)
    assert outcome.verdict != verdict.NOT_RUN, outcome
    if world.runs_of(BODY) and fault.__name__ not in ("agent_restarted_empty",):
        final = world.request("entry-2", BODY, KEY, deadline_s=8.0)
        assert final.verdict == outcome.verdict


def test_check_fails_without_the_claim(monkeypatch):
    async def always_granted(self, account, key, claim, version=0):
        from samphiredeal.entry.claims import StoredClaim

        return True, StoredClaim(f"claim/{account}/{key}", 1, claim)

    monkeypatch.setattr(Claims, "open", always_granted)
    world = make_world()
    two_at_once(world)
    world.run(5.0)
    with pytest.raises(AssertionError, match="ran 3 times"):
        check_requests(world)


def test_check_fails_without_the_permit(monkeypatch):
    monkeypatch.setattr(PermitIssuer, "is_fresh", lambda *_: True)
    world = make_world()
    dispatch_stuck_while_agent_frozen(world)
    world.run(10.0)
    runs = [run for run in world.runs if run.body == BODY]
    late = [run for run in runs if run.at - runs[0].at >= 0 and run.at > 10.0]
    assert late, "a dispatch that waited for 9 s should have started"
