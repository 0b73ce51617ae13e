"""Integrity of answers.

Guards against an answer that reaches another request's caller, or its own caller
truncated, when answers arrive late, out of order, twice or truncated. A truncated
answer is fetched again.
"""

import pytest
from builders import make_world
from invariants import check_requests

from samphiredeal.entry.dispatches import Dispatches
from samphiredeal.model import verdict
from samphiredeal.wire import codec
from samphiredeal.wire.digest import digest
from samphiredeal.wire.messages import Answer


def truncate_first_answer(world):
    """Truncate the body of the first answer in transit."""
    transmit, truncated = world.network.transmit, []

    def transmit_truncated(link, data):
        message = codec.decode(data)
        if isinstance(message, Answer) and not truncated:
            truncated.append(message)
            data = codec.encode(message._replace(body=message.body[:3]))
        transmit(link, data)

    world.network.transmit = transmit_truncated
    return truncated


@pytest.mark.parametrize("key", ["", "k"], ids=["repeatable", "keyed"])
def test_truncated_answer_is_fetched_again(key):
    world = make_world()
    truncated = truncate_first_answer(world)
    outcome = world.request("entry-0", b"draft", key=key)
    assert truncated
    assert outcome == verdict.Outcome(verdict.RAN, 200, b"answer to draft")
    assert len(world.runs_of(b"draft")) == 1


def test_check_fails_without_the_digest(monkeypatch):
    world = make_world()
    truncate_first_answer(world)
    on_answer = Dispatches.on_answer

    def accept_any_body(self, session, answer):
        return on_answer(self, session, answer._replace(digest=digest(answer.body)))

    monkeypatch.setattr(Dispatches, "on_answer", accept_any_body)
    world.request("entry-0", b"draft")
    with pytest.raises(AssertionError, match="another request's answer"):
        check_requests(world)


@pytest.mark.parametrize("duplicate_probability", [0.0, 1.0], ids=["once", "doubled"])
def test_answers_out_of_order_reach_their_own_callers(duplicate_probability):
    world = make_world(slots=30)
    world.network.duplicate_probability = duplicate_probability
    for number in range(60):
        world.service_s = world.rng.uniform(0.05, 1.5)
        entry = f"entry-{number % 3}"
        key = f"k{number}" if number % 2 else ""
        world.start_request(entry, b"body %d" % number, key)
    world.run(1.0)
    world.network.cut("exec-1", "entry-0")
    world.run(4.0)
    world.network.heal()
    world.run(8.0)
    check_requests(world)
    ran = [a for a in world.answered if a.outcome.verdict == verdict.RAN]
    assert len(ran) == 60
