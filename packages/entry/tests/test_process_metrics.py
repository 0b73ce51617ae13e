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


def test_held_rows_are_told_with_job_and_reason_until_they_are_read():
    metrics = ProcessMetrics("entry", "e0")
    held = {"message_type": "job_held", "job": "a1", "row": "progress/a1"}
    metrics.count({**held, "version": 3, "reason": "ValueError: first"})
    metrics.count({**held, "version": 4, "reason": 'ValueError: a "second"'})
    told = [
        line
        for line in metrics.render().decode().splitlines()
        if line.startswith("samphiredeal_held_rows{")
    ]
    assert len(told) == 1
    for label in ('job_id="a1"', 'row="progress/a1"', "second"):
        assert label in told[0]
    assert told[0].endswith(" 1")
    metrics.count({**held, "message_type": "job_released", "rows_left": 0})
    assert "samphiredeal_held_rows{" not in metrics.render().decode()
