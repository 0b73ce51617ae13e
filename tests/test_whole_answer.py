"""A caller receives the whole answer to its own request.

Proves: answers that come late, out of order, twice or cut short never reach
another caller nor this one in part; a cut one is fetched again.
"""

import pytest
from builders import make_world
from invariants import check_requests

from samphiredeal.entry.dispatches import Dispatches
from samphiredeal.model import verdict
from samphiredeal.wire import codec
from samphiredeal.wire.digest import digest
from samphiredeal.wire.messages import Answer


def cut_first_answer(world):
    """Cut the body of the first answer short on its way."""
    carry, cut = world.network.transmit, []

    def carry_cut(link, data):
        message = codec.decode(data)
        if isinstance(message, Answer) and not cut:
            cut.append(message)
            data = codec.encode(message._replace(body=message.body[:3]))
        carry(link, data)

    world.network.transmit = carry_cut
    return cut


@pytest.mark.parametrize("key", ["", "k"], ids=["repeatable", "keyed"])
def test_cut_answer_is_fetched_again(key):
    world = make_world()
    cut = cut_first_answer(world)
    outcome = world.request("entry-0", b"draft", key=key)
    assert cut
    assert outcome == verdict.Outcome(verdict.RAN, 200, b"answer to draft")
    assert len(world.runs_of(b"draft")) == 1


def test_check_fails_without_the_digest(monkeypatch):
    world = make_world()
    cut_first_answer(world)
    take_in = Dispatches.on_answer

    def without_check(self, session, answer):
        return take_in(self, session, answer._replace(digest=digest(answer.body)))

    monkeypatch.setattr(Dispatches, "on_answer", without_check)
    world.request("entry-0", b"draft")
    with pytest.raises(AssertionError, match="another request's answer"):
        check_requests(world)


@pytest.mark.parametrize("double", [0.0, 1.0], ids=["once", "doubled"])
def test_answers_out_of_order_reach_their_own_callers(double):
    world = make_world(slots=30)
    world.network.duplicate_probability = double
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
