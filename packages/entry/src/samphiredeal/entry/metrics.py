"""Metrics of an entry, in one registry, rendered for Prometheus."""

from aioprometheus import Counter, Gauge, Registry, Summary
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


class ProcessMetrics:
    """Counters and a latency summary of a process on the platform."""

    def __init__(self, role, name):
        labels = {"role": role, "name": name}
        self._registry = Registry()
        self._calls = Counter(
            "samphiredeal_calls_total", "Calls by answer", labels, self._registry
        )
        self._latency = Summary(
            "samphiredeal_call_seconds",
            "Time from call to answer",
            labels,
            self._registry,
        )

    def answered(self, verb, answer, seconds):
        """Count an answered call."""
        self._calls.inc({"verb": verb, "answer": answer})
        self._latency.observe({"verb": verb}, seconds)

    def render(self):
        """Return the metrics in the text format."""
        return text.TextFormatter().marshall(self._registry)
