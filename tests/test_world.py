"""Requests and configuration changes in a simulated cluster without faults.

Guards against requests that are not answered, a keyed request that runs once for
each entry that it is sent to, and a change that misses an entry or agent.
"""

from builders import make_world

from samphiredeal.model import verdict


def test_request_returns_the_answer():
    world = make_world()
    outcome = world.request("entry-0", b"hello")
    assert outcome == verdict.Outcome(verdict.RAN, 200, b"answer to hello")


def test_keyed_request_through_two_entries_runs_once():
    world = make_world()
    first = world.request("entry-0", b"deposit", key="k")
    second = world.request("entry-1", b"deposit", key="k")
    assert first == second
    assert len(world.runs_of(b"deposit")) == 1


def test_change_reaches_all():
    world = make_world(workers=2)
    answer = world.change_and_wait("entry-1", "zone", "a", {"state": "out"})
    world.run(1.0)
    for entry in world.entries():
        assert entry.config.current.revision == answer.change.revision
        assert entry.lagging(answer.change.revision) == []
