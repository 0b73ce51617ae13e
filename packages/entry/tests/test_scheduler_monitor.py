"""Judging by what agents hear whether a scheduler is lost."""

import pytest

from samphiredeal.entry.graphs.scheduler_monitor import has_contact, has_failed
from samphiredeal.wire.messages import SchedulerSighting


@pytest.mark.parametrize(
    "sighting, contacts",
    [
        (SchedulerSighting(4, True, 0.3), True),
        (SchedulerSighting(4, True, 0.9), False),
        (SchedulerSighting(4, False, 0.1), False),
        # The agent has heard nothing of the epoch's scheduler yet.
        (SchedulerSighting(3, True, 0.1), False),
        # A successor is known already.
        (SchedulerSighting(5, True, 9.0), True),
        (SchedulerSighting(0, False, float("inf")), False),
    ],
)
def test_what_counts_as_hearing_the_scheduler(sighting, contacts):
    assert has_contact(sighting, 4) is contacts


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
        # Nobody answers: the fault is near whoever asks.
        ([], 5, True, False),
        ([], 0, True, False),
    ],
)
def test_most_answers_decide(contacts, queried, complete, failed):
    assert has_failed(contacts, queried, complete) is failed
