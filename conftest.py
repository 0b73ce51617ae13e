"""Marks the tests that KNOWN-RED.txt names, so that only those may fail.

In comments of tests, "inc-..." names a write-up under docs/incidents; "hunt-..." and
"trouble-..." name days of the users' test bench, by which a fault was found.
"""

import known_red
import pytest


def pytest_collection_modifyitems(items):
    """Let a known red test fail without failing the run; it still runs."""
    known = known_red.test_ids()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
