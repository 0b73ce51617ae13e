"""Encoding of orders and reports, also beside processes of an older build."""

import msgspec
import pytest

from samphiredeal.model.runs import Orders, Refused, Report, RunId, StartOrder
from samphiredeal.wire import orders

# The number of fields of a report before `complete` was added.
OLDER_REPORT_FIELDS = 8


@pytest.mark.parametrize(
    "report",
    [
        Report(None),
        Report(None, looks=3),
        Report(None, refused=(Refused("a.0.0.0", 1, "leaving"),)),
        Report(None, pending=(RunId("a.0.0.0", 1),), complete=False),
    ],
)
def test_report_is_decoded_as_it_was(report):
    assert orders.decode_report(orders.encode(report)) == report


@pytest.mark.parametrize(
    "one", [Orders(1, 2), Orders(1, 2, "w/1", starts=(StartOrder("t", 1, "p"),))]
)
def test_orders_are_decoded_as_they_were(one):
    assert orders.decode_orders(orders.encode(one)) == one


def test_report_of_a_complete_poll_has_no_field_that_older_builds_lack():
    report = Report(None, pending=(RunId("a.0.0.0", 1),))
    assert len(msgspec.msgpack.decode(orders.encode(report))) == OLDER_REPORT_FIELDS


def test_older_report_counts_as_complete():
    body = msgspec.msgpack.encode(tuple(Report(None))[:OLDER_REPORT_FIELDS])
    assert orders.decode_report(body).complete
