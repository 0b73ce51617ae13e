"""Service-level burn rates over windows, merged over entries.

Burn rates follow the objective, verdicts are counted separately, counts outlive
the entry that made them, and a report made without the store is marked partial.
"""

import pytest
from reactor_thread import call_in_reactor

from samphiredeal.entry.burn import Counts, ReportStore, burns, make_report, merge
from samphiredeal.model import verdict
from samphiredeal.platform.memory import Faults, MemoryObjects, MemoryTable

RAN = verdict.Outcome(verdict.RAN)
REFUSED = verdict.not_run(verdict.DEADLINE)


class Wall:
    """A wall clock that tests set."""

    def __init__(self):
        self.now = 60_000.0

    def __call__(self):
        return self.now


def make_counts(wall, ran=0, refused=0, seconds=0.1):
    """Return counts with requests of one account."""
    counts = Counts(wall)
    for _ in range(ran):
        counts.request("hall", "urgent", RAN, seconds, 1.0)
    for _ in range(refused):
        counts.request("hall", "urgent", REFUSED, seconds, 1.0)
    return counts


def rates(document, minute, share=0.9):
    """Return burn rates by window."""
    minutes, _episodes = merge([document], minute)
    accounts = {"hall": {"objective_share": share}}
    return {burn.window: burn.rate for burn in burns(minutes, minute, accounts)}


def test_rate_is_bad_share_over_allowed_share():
    wall = Wall()
    counts = make_counts(wall, ran=80, refused=20)
    assert rates(counts.document, counts.minute()) == {"5m": 2.0, "1h": 2.0, "6h": 2.0}


def test_late_answers_are_bad():
    counts = make_counts(Wall(), ran=10, seconds=2.0)
    assert rates(counts.document, counts.minute())["5m"] == 10.0


def test_each_window_expires_at_its_own_length():
    wall = Wall()
    counts = make_counts(wall, ran=9, refused=1)
    wall.now += 30 * 60
    counts.request("hall", "urgent", RAN, 0.1, 1.0)
    measured = rates(counts.document, counts.minute())
    assert measured["5m"] == 0.0
    assert measured["1h"] == round(1 / 11 / 0.1, 3)


def test_counts_outlive_their_entry():
    wall, table, faults = Wall(), MemoryTable(), Faults()
    objects = MemoryObjects(faults)
    failed = make_counts(wall, ran=5)
    call_in_reactor(lambda: ReportStore(table, objects, "gone").save(failed))
    counts = make_counts(wall, ran=1)
    store = ReportStore(table, objects, "here")
    report = call_in_reactor(lambda: make_report(counts, store, {}))
    assert report["complete"]
    assert report["burn"][0]["total"] == 6
    table.faults.down = True
    report = call_in_reactor(lambda: make_report(counts, store, {}))
    assert not report["complete"]
    assert report["burn"][0]["total"] == 1


def test_old_rows_are_deleted():
    wall, table, objects = Wall(), MemoryTable(), MemoryObjects()
    call_in_reactor(
        lambda: ReportStore(table, objects, "old").save(make_counts(wall, ran=1))
    )
    wall.now += 7 * 3600
    store = ReportStore(table, objects, "new")
    call_in_reactor(lambda: make_report(make_counts(wall), store, {}))
    assert call_in_reactor(table.read, "report/old").version == 0


def test_more_reports_than_a_page_are_merged():
    wall, table, objects = Wall(), MemoryTable(), MemoryObjects()
    for number in range(250):
        store = ReportStore(table, objects, f"entry-{number:03}")
        counts = make_counts(wall, ran=1)
        call_in_reactor(lambda store=store, counts=counts: store.save(counts))
    store = ReportStore(table, objects, "here")
    report = call_in_reactor(lambda: make_report(make_counts(wall), store, {}))
    assert report["burn"][0]["total"] == 250


@pytest.mark.parametrize("data", [b"[" * 100_000, b"{}", b"7", b"\xff", b""])
def test_malformed_counts_of_another_entry_are_left_out(data):
    wall, table, objects = Wall(), MemoryTable(), MemoryObjects()
    malformed = ReportStore(table, objects, "malformed")
    call_in_reactor(lambda: malformed.save(make_counts(wall, ran=1)))
    call_in_reactor(lambda: objects.put("report/malformed", data))
    store = ReportStore(table, objects, "here")
    counts = make_counts(wall, ran=1)
    report = call_in_reactor(lambda: make_report(counts, store, {}))
    assert not report["complete"]
    assert report["burn"][0]["total"] == 1


def test_ended_zone_episodes_are_dropped_after_the_retention():
    wall = Wall()
    counts = Counts(wall)
    for _ in range(3):
        counts.zone("a", out=True)
        counts.zone("a", out=False)
        wall.now += 7 * 3600
    counts.zone("b", out=True)
    assert [one[0] for one in counts.document["episodes"]] == ["b"]
