"""A write completes by its answer or by the change feed, whichever is first.

The feed completes it once it has delivered all rows that the write puts.
"""

from twisted.internet.task import Clock

from samphiredeal.entry.graphs.feed_confirmation import FeedConfirmedTable
from samphiredeal.platform.memory import Faults, MemoryTable
from samphiredeal.platform.table import Committed, Condition, Conflict, Put, Row


def make_table(answers_after_s):
    faults = Faults()
    faults.write_delay_s = answers_after_s
    clock = Clock()
    memory = MemoryTable(clock, faults)
    return clock, memory, FeedConfirmedTable(memory)


def test_changes_complete_a_write_before_its_answer():
    clock, memory, table = make_table(answers_after_s=2.0)
    got = []
    puts = [Put("a", b"1"), Put("b", b"2")]
    table.write([Condition("a", 0)], puts).addCallback(got.append)
    table.confirm([memory.rows["a"]])
    assert got == []
    table.confirm([memory.rows["b"]])
    assert got == [Committed({"a": 1, "b": 1})]
    clock.advance(3.0)
    assert len(got) == 1


def test_other_rows_complete_no_write():
    clock, _memory, table = make_table(answers_after_s=2.0)
    got = []
    table.write([Condition("a", 0)], [Put("a", b"1")]).addCallback(got.append)
    table.confirm([Row("a", 7, b"other"), Row("b", 8, b"1"), Row("a")])
    assert got == []
    clock.advance(2.0)
    assert got == [Committed({"a": 1})]


def test_rows_as_old_as_the_condition_complete_no_write():
    clock, memory, table = make_table(answers_after_s=2.0)
    memory.write([], [Put("a", b"1")])
    memory.write([], [Put("a", b"2")])
    got = []
    table.write([Condition("a", 1)], [Put("a", b"1")]).addCallback(got.append)
    table.confirm([Row("a", 1, b"1")])
    assert got == []
    clock.advance(2.0)
    assert isinstance(got[0], Conflict)


def test_rows_of_different_transactions_complete_no_write():
    _clock, _memory, table = make_table(answers_after_s=2.0)
    got = []
    table.write([], [Put("a", b"1"), Put("b", b"2")]).addCallback(got.append)
    table.confirm([Row("a", 5, b"1"), Row("b", 6, b"2")])
    assert got == []
