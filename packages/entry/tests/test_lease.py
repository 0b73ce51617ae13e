"""Lease rows of entries and of the scheduler, also beside malformed rows."""

import msgspec
import pytest
from reactor_thread import call_in_reactor
from twisted.internet.task import Clock

from samphiredeal.entry.lease import EntryRow, Membership, SchedulerLease
from samphiredeal.platform.memory import MemoryTable
from samphiredeal.platform.table import Put

DEEP = b"[" * 100_000 + b"]" * 100_000
MALFORMED_VALUES = [
    DEEP,
    b"",
    b"7",
    b"{}",
    b"[]",
    b'{"epoch":1e308,"holder":"x"}',
    b"\xff",
]


def entry_row(name, **fields):
    return EntryRow(name, "10.0.0.1:7000", "a", "r", "i", 1)._replace(**fields)


def store_entry(table, name, **fields):
    value = msgspec.json.encode(entry_row(name, **fields)._asdict())
    call_in_reactor(lambda: table.write([], [Put(Membership.PREFIX + name, value)]))


def renewed(table):
    membership = Membership(Clock(), table, entry_row("own"))
    call_in_reactor(membership.renew)
    return membership


def test_more_entries_than_a_page_are_members():
    table = MemoryTable()
    names = [f"entry-{number:03}" for number in range(450)]
    for name in names:
        store_entry(table, name)
    assert sorted(renewed(table).members) == names


@pytest.mark.parametrize("value", MALFORMED_VALUES)
def test_malformed_row_is_no_member_and_hides_no_other(value):
    table = MemoryTable()
    call_in_reactor(lambda: table.write([], [Put("entry/malformed", value)]))
    store_entry(table, "sound")
    store_entry(table, "large", beat=10**30)
    assert list(renewed(table).members) == ["sound"]


@pytest.mark.parametrize("value", MALFORMED_VALUES)
def test_scheduler_lease_survives_a_malformed_row(value):
    table = MemoryTable()
    call_in_reactor(lambda: table.write([], [Put("scheduler/r", value)]))
    clock = Clock()
    lease = SchedulerLease(clock, table, "r", "own")
    call_in_reactor(lease.renew)
    clock.advance(10.0)
    call_in_reactor(lease.renew)
    assert lease.held
