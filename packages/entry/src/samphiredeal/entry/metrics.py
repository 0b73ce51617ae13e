"""Metrics of an entry, in one registry, rendered for Prometheus."""

from aioprometheus import Counter, Gauge, Histogram, Registry, Summary
from aioprometheus.formats import text


class Metrics:
    """The counters and gauges of one process."""

    def __init__(self, role, name):
        labels = {"role": role, "name": name}
        self._registry = Registry()

        def counter(metric, help_text):
            return Counter(metric, help_text, labels, self._registry)

        def gauge(metric, help_text):
            return Gauge(metric, help_text, labels, self._registry)

        self._verdicts = counter("samphiredeal_verdicts_total", "Requests by verdict")
        self._refusals = counter("samphiredeal_refusals_total", "Refusals by reason")
        self._latency = Summary(
            "samphiredeal_request_seconds",
            "Time from accept to answer",
            labels,
            self._registry,
        )
        self._gauges = {
            "queue_depth": gauge("samphiredeal_queue_depth", "Requests that wait"),
            "revision": gauge("samphiredeal_config_revision", "Revision in hand"),
            "confirm_age": gauge(
                "samphiredeal_config_confirm_age_seconds",
                "Age of the configuration's confirmation",
            ),
            "epoch": gauge("samphiredeal_scheduler_epoch", "Epoch of the scheduler"),
            "store_down": gauge("samphiredeal_store_down", "1 if the table is silent"),
            "jobs_waiting": gauge("samphiredeal_jobs_waiting", "Jobs that wait"),
            "agents": gauge("samphiredeal_agents", "Agents linked to this entry"),
        }

    def request_ended(self, account, klass, outcome, seconds):
        """Count a request's verdict and its latency."""
        labels = {"account": account, "class": klass}
        self._verdicts.inc({**labels, "verdict": outcome.verdict})
        self._latency.observe(labels, seconds)
        if outcome.reason is not None:
            self._refusals.inc({"reason": outcome.reason.code})

    def set(self, name, value):
        """Set a gauge by its short name."""
        self._gauges[name].set({}, value)

    def render(self):
        """Return the metrics in the text format."""
        return text.TextFormatter().marshall(self._registry)


# Bucket bounds of the latency histograms, in seconds: from the response time of a
# store to the longest useful wait of an urgent job.
_LATENCY_BOUNDS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]
# Log messages with a duration: (field, seconds per unit, histogram).
_DURATIONS = {
    "call_answered": ("took_ms", 0.001, "call"),
    "run_start": ("took_ms", 0.001, "start"),
    "unit_placed": ("waited_s", 1.0, "wait"),
    "job_seen": ("unseen_s", 1.0, "unseen"),
    "job_ended": ("storing_s", 1.0, "storing"),
}
_COUNTED_FIELDS = ("verb", "answer", "how", "outcome")


class ProcessMetrics:
    """Counters and latency histograms of a process, updated from its log.

    `count(message)` receives each log message, so that every counter corresponds to
    the log lines that it counts.
    """

    def __init__(self, role, name):
        labels = {"role": role, "name": name}
        self._registry = Registry()
        self._events = Counter(
            "samphiredeal_events_total", "Log messages", labels, self._registry
        )
        self._held_rows = Gauge(
            "samphiredeal_held_rows",
            "Rows of jobs that cannot be read, for which their jobs are held",
            labels,
            self._registry,
        )
        # The labels of each such row that is told.
        self._held_labels = {}
        self._latencies = {
            short: Histogram(
                f"samphiredeal_{short}_seconds",
                help_text,
                labels,
                self._registry,
                buckets=_LATENCY_BOUNDS_S,
            )
            for short, help_text in (
                ("call", "Time from a caller's call to its answer"),
                ("start", "Time from an order to start to the worker's answer"),
                ("wait", "Time for which a unit of work waited for room"),
                ("unseen", "Time from a job's acceptance until a scheduler saw it"),
                ("storing", "Time from a job's end until its callers may know"),
            )
        }

    def count(self, message):
        """Count a log message, and observe its duration if it has one."""
        event = message.get("message_type")
        if event is None:
            return
        labels = {"event": event}
        for field in _COUNTED_FIELDS:
            if field in message:
                labels[field] = str(message[field])
        self._events.inc(labels)
        if event == "job_held":
            self._tell_held_row(message)
        elif event == "job_released":
            self._forget_held_row(message["row"])
        if event in _DURATIONS:
            field, unit_s, short = _DURATIONS[event]
            self._latencies[short].observe({}, message[field] * unit_s)

    def _tell_held_row(self, message):
        self._forget_held_row(message["row"])
        labels = {field: str(message[field]) for field in ("row", "reason")}
        # Prometheus keeps the label "job" for itself.
        labels["job_id"] = str(message["job"])
        self._held_labels[message["row"]] = labels
        self._held_rows.set(labels, 1)

    def _forget_held_row(self, row):
        labels = self._held_labels.pop(row, None)
        if labels is not None:
            del self._held_rows.values[labels]

    def render(self):
        """Return the metrics in the text format."""
        return text.TextFormatter().marshall(self._registry)
