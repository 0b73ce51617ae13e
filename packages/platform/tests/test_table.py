"""The contract of the table and object store, on each implementation.

Writes are conditional and all or nothing, scans return pages in key order, and a
write may have been applied if its answer is lost; `write_until_resolved` finds out.
"""

import pytest
from reactor_thread import call_in_reactor
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.server import Site

from samphiredeal.platform.client import HttpClient, HttpObjects, HttpTable
from samphiredeal.platform.memory import Faults, MemoryObjects, MemoryTable
from samphiredeal.platform.table import (
    NO_OBJECT,
    STORED,
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Unavailable,
    within,
    write_until_resolved,
)
from samphiredeal.standins.platform import make_platform


def _memory():
    faults = Faults()
    return MemoryTable(reactor, faults), MemoryObjects(faults), faults


def _http():
    def make():
        root, faults = make_platform(reactor)
        port = reactor.listenTCP(0, Site(root), interface="127.0.0.1")
        platform = HttpClient(reactor, f"http://127.0.0.1:{port.getHost().port}")
        return HttpTable(platform), HttpObjects(platform), faults

    return call_in_reactor(make)


@pytest.fixture(params=[_memory, _http], ids=["memory", "http"])
def platform(request):
    return request.param()


def _write(table, conditions, puts, deletes=()):
    return call_in_reactor(table.write, conditions, puts, list(deletes))


def test_write_is_all_or_nothing(platform):
    table, _objects, _faults = platform
    assert _write(table, [Condition("a", 0)], [Put("a", b"1"), Put("b", b"2")]) == (
        Committed({"a": 1, "b": 1})
    )
    answer = _write(table, [Condition("a", 0)], [Put("b", b"3")], ["a"])
    assert answer == Conflict(Row("a", 1, b"1"))
    assert call_in_reactor(table.read, "b") == Row("b", 1, b"2")


def test_absent_row_has_version_zero(platform):
    table, _objects, _faults = platform
    assert call_in_reactor(table.read, "none") == Row("none", 0, b"")


def test_scan_pages_in_key_order(platform):
    table, _objects, _faults = platform
    _write(table, [], [Put(f"p/{n}", b"x") for n in (3, 1, 2)] + [Put("q", b"y")])
    first = call_in_reactor(table.scan, "p/", "", 2)
    rest = call_in_reactor(table.scan, "p/", first[-1].key, 2)
    assert [row.key for row in first + rest] == ["p/1", "p/2", "p/3"]


def test_deleted_row_has_version_zero(platform):
    table, _objects, _faults = platform
    _write(table, [], [Put("a", b"1")])
    _write(table, [Condition("a", 1)], [], ["a"])
    assert call_in_reactor(table.read, "a").version == 0


def test_store_that_is_down_writes_nothing(platform):
    table, objects, faults = platform
    faults.down = True
    assert isinstance(_write(table, [], [Put("a", b"1")]), Unavailable)
    assert isinstance(call_in_reactor(table.read, "a"), Unavailable)
    assert isinstance(call_in_reactor(objects.get, "o"), Unavailable)
    faults.down = False
    assert call_in_reactor(table.read, "a").version == 0


def test_write_with_lost_answer_is_applied(platform):
    table, _objects, faults = platform
    faults.lose_answers = 1
    assert isinstance(_write(table, [Condition("a", 0)], [Put("a", b"1")]), Unavailable)
    assert call_in_reactor(table.read, "a") == Row("a", 1, b"1")


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_retried_write_detects_that_it_was_applied(platform, lost):
    table, _objects, faults = platform
    faults.lose_answers = lost

    async def write():
        return await write_until_resolved(
            reactor, table, [Condition("a", 0)], [Put("a", b"mine")]
        )

    assert isinstance(call_in_reactor(write), Committed)


def test_retried_write_reports_the_conflicting_row(platform):
    table, _objects, _faults = platform
    _write(table, [], [Put("a", b"other")])

    async def write():
        return await write_until_resolved(
            reactor, table, [Condition("a", 0)], [Put("a", b"mine")]
        )

    assert call_in_reactor(write) == Conflict(Row("a", 1, b"other"))


def test_objects_return_their_bytes(platform):
    _table, objects, _faults = platform
    assert call_in_reactor(objects.get, "o/1") == NO_OBJECT
    assert call_in_reactor(objects.put, "o/1", b"\x00\xff") == STORED
    assert call_in_reactor(objects.get, "o/1") == b"\x00\xff"


# Guards against a caller that waits for ever: the time limit of an answer was due while
# the process was paused, and the answer comes first after that.
def test_limited_answer_that_arrives_after_a_pause_is_delivered():
    clock, paused = Clock(), []
    limit_s, answer = 1.0, Deferred()

    class PausedClock:
        def callLater(self, delay, function):
            return clock.callLater(delay, paused.append, function)

    limited = within(PausedClock(), limit_s, answer)
    clock.advance(2 * limit_s)
    answer.callback(Committed({}))
    for function in paused:
        function()
    received = []
    limited.addCallback(received.append)
    assert received == [Committed({})]
