"""Which rows the view of the table takes for unreadable, and for how long."""

from twisted.internet.task import Clock

from samphiredeal.entry.graphs.work import WorkView
from samphiredeal.platform.table import Row

BAD = b'{"units":[1]}'
GOOD = b"[]"


def make_view(*rows):
    view = WorkView(Clock(), lambda: None)
    view.on_rows(rows, is_snapshot=True)
    return view


def held(view):
    return set(view.unreadable.held_jobs)


def test_job_is_held_until_its_row_is_read_in_a_newer_version():
    view = make_view(Row("progress/a", 1, GOOD))
    view.on_rows([Row("progress/a", 3, BAD)], False)
    view.on_rows([Row("progress/a", 2, GOOD)], False)
    assert held(view) == {"a"}
    assert view.progress["a"].version == 1
    view.on_rows([Row("progress/a", 4, GOOD)], False)
    assert held(view) == set()
    assert view.progress["a"].version == 4


def test_job_is_held_while_any_of_its_rows_is_unreadable():
    view = make_view(Row("progress/a", 1, BAD), Row("units/a/0.0.0", 2, BAD))
    view.on_rows([Row("progress/a", 3, GOOD)], False)
    assert held(view) == {"a"}
    view.on_rows([Row("units/a/0.0.0", 4, GOOD)], False)
    assert held(view) == set()


def test_deleted_rows_hold_no_job():
    view = make_view(Row("progress/a", 1, BAD))
    view.on_rows([Row("progress/a")], False)
    assert held(view) == set()


def test_rows_that_a_snapshot_lacks_hold_no_job():
    view = make_view(Row("progress/a", 1, BAD), Row("job/b", 2, BAD))
    view.on_rows([Row("job/b", 2, BAD)], True)
    assert held(view) == {"b"}


# A table whose history is lost is read again as a whole.
def test_row_that_is_received_again_changes_nothing():
    view = make_view(Row("progress/a", 1, BAD))
    revision = view.unreadable.revision
    view.on_rows([Row("progress/a", 1, BAD)], True)
    assert view.unreadable.revision == revision
    assert held(view) == {"a"}


def test_rows_of_others_hold_no_job():
    kinds = ("worker", "place", "entry", "speed")
    rows = [Row(f"{kind}/a", 1, BAD) for kind in kinds]
    view = make_view(*rows, Row("epoch", 1, BAD), Row("beat", 1, BAD))
    assert held(view) == set()
    assert all(row.key in view.unreadable for row in rows)
    assert "epoch" in view.unreadable and "beat" in view.unreadable
