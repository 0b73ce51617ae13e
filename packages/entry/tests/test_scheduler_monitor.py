"""Failure detection of the scheduler by its agents' contact with it."""

import pytest

from samphiredeal.entry.graphs.scheduler_monitor import has_contact, has_failed
from samphiredeal.wire.messages import SchedulerSighting


@pytest.mark.parametrize(
    "sighting, expected",
    [
        (SchedulerSighting(4, True, 0.3), True),
        (SchedulerSighting(4, True, 0.9), False),
        (SchedulerSighting(4, False, 0.1), False),
        # The agent has had no contact with the scheduler of the epoch yet.
        (SchedulerSighting(3, True, 0.1), False),
        # The agent already has contact with a successor.
        (SchedulerSighting(5, True, 9.0), True),
        (SchedulerSighting(0, False, float("inf")), False),
    ],
)
def test_what_counts_as_contact_with_the_scheduler(sighting, expected):
    assert has_contact(sighting, 4) is expected


@pytest.mark.parametrize(
    "contacts, queried, complete, failed",
    [
        ([False, False, False], 5, False, True),
        ([False, False], 5, False, None),
        ([True, True, True], 5, False, False),
        ([False, False], 5, True, True),
        ([False, True], 5, True, False),
        ([False, False, True], 5, True, True),
        ([False], 1, False, True),
        # No agent replies: the querying entry is partitioned.
        ([], 5, True, False),
        ([], 0, True, False),
    ],
)
def test_majority_of_replies_decides(contacts, queried, complete, failed):
    assert has_failed(contacts, queried, complete) is failed
