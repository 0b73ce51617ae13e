"""The metrics of a process are updated from its log."""

from samphiredeal.entry.metrics import ProcessMetrics


def test_log_messages_are_counted_and_timed():
    metrics = ProcessMetrics("entry", "e0")
    answered = {"message_type": "call_answered", "verb": "submit", "took_ms": 12.0}
    metrics.count({**answered, "answer": "accepted"})
    metrics.count({**answered, "answer": "accepted"})
    metrics.count({"message_type": "unit_placed", "waited_s": 0.3})
    metrics.count({"no type": 1})
    text = metrics.render().decode()
    counted = [line for line in text.splitlines() if "events_total{" in line]
    assert any('answer="accepted"' in line and line.endswith(" 2") for line in counted)
    assert "samphiredeal_call_seconds_count" in text
    assert "samphiredeal_wait_seconds_bucket" in text
