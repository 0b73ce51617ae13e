"""Classify jobs that were refused or late: ``python -m bench.late DAY.log``.

Reads the output of a benchmark run with all logs. Each job that was refused, or whose
caller read its completion later than its objective, gets the class of the largest
delay:

    outage     no running entry could reach the store from the first attempt to the
               caller's deadline; or its completion waited for the store
    refused    an entry could reach the store in that time
    unseen     no scheduler had received it
    room       it waited for capacity
    hung       its runs stalled on a worker
    displaced  its runs were preempted
    lost       its runs were lost with their workers
    failed     its runs failed
    work       none of these: its last runs took the time

Only ``outage`` of a refused job shows that no entry could have served it. Objectives
are the scheduler's, from estimates that are off by up to a half, so the benchmark
also counts other jobs as late. Callers that reached no entry at all are in no log.
"""

import collections
import json

import defopt

CLASSES = (
    "outage",
    "refused",
    "unseen",
    "room",
    "hung",
    "displaced",
    "lost",
    "failed",
    "work",
)
_CAUSES_OF_STOPS = {"it stands still": "hung", "its room is reclaimed": "displaced"}
_REFUSALS = ("not-done", "unsettled")
# Shorter delays are not counted as causes.
_MIN_DELAY_S = 0.1
# A job without any other delay is late if it exceeds its objective by this share.
_ESTIMATE_ERROR = 0.25
# An entry must reach the store for longer than this to store a job.
_WRITE_S = 0.05


class Job:
    """A job as seen in the log; times in seconds."""

    def __init__(self):
        self.attempts = []
        self.read_at = None
        self.ended = None
        self.delays_by_cause = collections.Counter()

    @property
    def is_served(self):
        """Whether an attempt was accepted, or the job ended although none was."""
        return self.ended is not None or any(
            kind == "accepted" for *_, kind in self.attempts
        )

    @property
    def accepted_at(self):
        """Time of the first attempt that was accepted, or None."""
        accepted = [at for at, _, kind in self.attempts if kind == "accepted"]
        return min(accepted, default=None)

    @property
    def submitted_at(self):
        """Time of the caller's first attempt to submit the job."""
        return min(begun_at for begun_at, _, _ in self.attempts)

    @property
    def caller_deadline(self):
        """The latest deadline of the caller's attempts."""
        return max(until for _, until, _ in self.attempts)

    @property
    def delays(self):
        """Delays by cause in seconds, without short ones."""
        return {
            cause: round(seconds, 2)
            for cause, seconds in self.delays_by_cause.items()
            if seconds > _MIN_DELAY_S
        }


class Day:
    """The jobs of a day, and when each entry was up and could reach the store."""

    def __init__(self, events):
        self.jobs = collections.defaultdict(Job)
        self._up_spans = collections.defaultdict(list)
        self._store_outages = collections.defaultdict(list)
        self._draining = set()
        self._run_starts = {}
        self._stop_reasons = {}
        for at, node, fields in events:
            kind = fields.get("message_type")
            # An entry that starts again was down until now.
            is_up = node in self._up_spans and node not in self._draining
            if is_up and kind != "entry_started":
                self._up_spans[node][-1][1] = at
            handle = getattr(self, f"_on_{kind}", None)
            if handle is not None:
                handle(at, node, fields)

    def could_store(self, begin, end):
        """Return whether an entry could store a job at any time in a time span."""
        for node, spans in self._up_spans.items():
            for up_at, down_at in spans:
                spans_left = [(max(begin, up_at), min(end, down_at))]
                for lost_at, regained_at in self._store_outages[node]:
                    spans_left = _without(spans_left, lost_at, regained_at)
                if any(until - since > _WRITE_S for since, until in spans_left):
                    return True
        return False

    def _on_entry_started(self, at, node, fields):
        self._up_spans[node].append([at, at])
        self._draining.discard(node)
        self._store_outages[node].append([at, float("inf")])

    def _on_drain_begun(self, at, node, fields):
        # A draining entry refers callers to other entries.
        self._draining.add(node)

    def _on_follower_failing(self, at, node, fields):
        if fields["table"] == "work" and fields["age_s"] is not None:
            self._store_outages[node].append([at - fields["age_s"], float("inf")])

    def _on_follower_regained(self, at, node, fields):
        if fields["table"] == "work":
            self._end_outage(at, node)

    def _on_configuration_in_force(self, at, node, fields):
        self._end_outage(at, node)

    def _end_outage(self, at, node):
        for span in self._store_outages[node]:
            span[1] = min(span[1], at)

    def _on_call_answered(self, at, node, fields):
        job = self.jobs[fields["path"].rsplit("/", 1)[-1]]
        begun_at = at - fields["took_ms"] / 1000
        if fields["verb"] == "submit" and fields["answer"] in (*_REFUSALS, "accepted"):
            until = begun_at + fields["patience_s"]
            job.attempts.append((begun_at, until, fields["answer"]))
        elif fields["state"] in ("completed", "failed") and job.read_at is None:
            job.read_at = at

    def _on_job_seen(self, at, node, fields):
        # A new scheduler logs a job without progress again. Only the first value
        # counts, since the job waited for capacity after that.
        self.jobs[fields["job"]].delays_by_cause.setdefault(
            "unseen", fields["unseen_s"]
        )

    def _on_unit_placed(self, at, node, fields):
        delays = self.jobs[fields["job"]].delays_by_cause
        delays["room"] = max(delays["room"], fields["waited_s"])

    def _on_unit_stopped(self, at, node, fields):
        key = (fields["job"], fields["unit"], fields["run"])
        self._stop_reasons[key] = fields["reason"].split(" for job")[0]

    def _on_run_start(self, at, node, fields):
        self._run_starts.setdefault((fields["task"], fields["run"]), at)

    def _on_run_ended(self, at, node, fields):
        if fields["how"] != "done":
            cause = "failed" if fields["how"] == "failed" else self._cause(fields)
            self._record_run(at, fields, cause)

    def _on_run_lost(self, at, node, fields):
        self._record_run(at, fields, "lost")

    def _cause(self, fields):
        job, occurrence, step, index = fields["task"].split(".")
        for unit in (f"{occurrence}.{step}", f"{occurrence}.{step}.{index}"):
            reason = self._stop_reasons.get((job, unit, fields["run"]))
            if reason is not None:
                return _CAUSES_OF_STOPS.get(reason, "displaced")
        return "lost"

    def _record_run(self, at, fields, cause):
        begun_at = self._run_starts.get((fields["task"], fields["run"]))
        if begun_at is not None:
            delays = self.jobs[fields["task"].split(".")[0]].delays_by_cause
            delays[cause] = max(delays[cause], at - begun_at)

    def _on_job_ended(self, at, node, fields):
        job = self.jobs[fields["job"]]
        job.ended = fields
        job.delays_by_cause["outage"] += fields["storing_s"]


def _without(spans, begin, end):
    """Return time spans less the part between two times."""
    parts = []
    for since, until in spans:
        parts += [(since, min(until, begin)), (max(since, end), until)]
    return [(since, until) for since, until in parts if since < until]


def class_of(job, day):
    """Return the class of a job, or None if it was served in time."""
    if not job.attempts:
        return None
    if not job.is_served:
        could_store = day.could_store(job.submitted_at, job.caller_deadline)
        return "refused" if could_store else "outage"
    if job.ended is None or job.ended["state"] != "completed" or job.read_at is None:
        return None
    late_s = job.read_at - job.submitted_at - job.ended["objective_s"]
    if late_s <= 0:
        return None
    cause, delay_s = max(job.delays_by_cause.items(), key=lambda item: item[1])
    if delay_s > _MIN_DELAY_S:
        return cause
    return "work" if late_s > _ESTIMATE_ERROR * job.ended["objective_s"] else None


def parse_log(lines):
    """Yield (time, node, fields) of each structured line of a log."""
    for line in lines:
        parts = line.split(None, 2)
        if len(parts) == 3 and parts[2].startswith("{"):
            try:
                yield float(parts[0]), parts[1], json.loads(parts[2])
            except ValueError:
                # The line was truncated when the run ended.
                continue


def main(*paths: str):
    """Print each job that was not served in time, and the share of each class.

    :param paths: logs of days, each from one benchmark run with all logs
    """
    total = collections.Counter()
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            day = Day(sorted(parse_log(lines), key=lambda event: event[0]))
        for name, job in day.jobs.items():
            reason = class_of(job, day)
            if reason is not None:
                total[reason] += 1
                print(
                    f"{path} {name} at {job.submitted_at:.2f} s: {reason} {job.delays}"
                )
    for cause in CLASSES:
        if total[cause]:
            print(f"{cause:10} {total[cause]:4} {total[cause] / total.total():6.0%}")


if __name__ == "__main__":
    defopt.run(main)
