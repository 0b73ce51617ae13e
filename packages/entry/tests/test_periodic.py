"""Periodic work continues after an exception.

A step or coroutine that raises is called again after its interval, and a
coroutine that still runs is not started twice.
"""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from samphiredeal.entry.periodic import Periodic


def make_failing(calls):
    """Return a function that records each call and raises."""

    def step():
        calls.append(1)
        raise ValueError("broken")

    return step


def test_failing_step_is_repeated():
    clock, calls = Clock(), []
    Periodic(clock).every(1.0, make_failing(calls))
    clock.advance(1.0)
    clock.advance(1.0)
    assert len(calls) == 3


def test_failing_coroutine_is_repeated():
    clock, calls = Clock(), []
    step = make_failing(calls)

    async def work():
        step()

    Periodic(clock).every_coroutine(1.0, "work", work)
    clock.advance(1.0)
    assert len(calls) == 2


def test_running_coroutine_is_not_started_twice():
    clock, calls = Clock(), []
    ended = Deferred()

    async def work():
        calls.append(1)
        await ended

    Periodic(clock).every_coroutine(1.0, "work", work)
    clock.advance(1.0)
    assert len(calls) == 1
    ended.callback(None)
    clock.advance(1.0)
    assert len(calls) == 2
