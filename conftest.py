"""Marks the tests that KNOWN-RED.txt names, so that only those may fail."""

import known_red
import pytest


def pytest_collection_modifyitems(items):
    """Let a known red test fail without failing the run; it still runs."""
    known = known_red.test_ids()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
