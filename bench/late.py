"""Why jobs of a logged day were not served in time: ``python -m bench.late DAY.log``.

Reads the output of a play with all logs. Each job that was refused, or whose caller
read its end later than its objective, is put into a class by what cost the most:

    outage     no entry that was up had the store, from the first try to the last
               moment of the caller's time; or its end waited for the store
    refused    some entry had the store meanwhile
    unseen     no scheduler looked at it
    room       it waited for room
    hung       its runs stood still on a worker
    displaced  its runs were stopped for other work
    lost       its runs were lost with their workers
    failed     its runs failed
    work       none of these: its last runs took the time

Only ``outage`` of a refused job shows that nobody could have served it. Objectives
are the scheduler's, from estimates that are off by up to a half, so the bench counts
other jobs late as well. Callers that reached no entry at all stand in no log.
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
_STOPS = {"it stands still": "hung", "its room is reclaimed": "displaced"}
_REFUSALS = ("not-done", "unsettled")
# Shorter waits are no cause.
_SPENT_MIN_S = 0.1
# Jobs that only worked are late if they are over their objective by this share of it.
_ESTIMATE_ERROR = 0.25
# An entry must have had the store for this long to store a job.
_WRITE_S = 0.05


class Job:
    """What the log tells of one job; times in seconds."""

    def __init__(self):
        self.tries = []
        self.read_at = None
        self.ended = None
        self.spent = collections.Counter()

    @property
    def is_served(self):
        """Whether a try was accepted, or the job ran for all that."""
        return self.ended is not None or any(
            kind == "accepted" for *_, kind in self.tries
        )

    @property
    def first_at(self):
        """When the caller first handed the job in."""
        return min(begun_at for begun_at, _, _ in self.tries)

    @property
    def caller_leaves_at(self):
        """When the caller's time is over, by its longest patience."""
        return max(until for _, until, _ in self.tries)

    @property
    def costs(self):
        """What took the time, in seconds, without what is short."""
        return {
            cause: round(seconds, 2)
            for cause, seconds in self.spent.items()
            if seconds > _SPENT_MIN_S
        }


class Day:
    """The jobs of a day, and when each entry was up and had the store."""

    def __init__(self, events):
        self.jobs = collections.defaultdict(Job)
        self._up = collections.defaultdict(list)
        self._silent = collections.defaultdict(list)
        self._draining = set()
        self._starts = {}
        self._reasons = {}
        for at, node, fields in events:
            if node in self._up and node not in self._draining:
                self._up[node][-1][1] = at
            take = getattr(self, f"_on_{fields.get('message_type')}", None)
            if take is not None:
                take(at, node, fields)

    def had_store(self, begin, end):
        """Return whether an entry was up and had the store at any time between."""
        for node, spans in self._up.items():
            for up_at, down_at in spans:
                left = [(max(begin, up_at), min(end, down_at))]
                for silent_at, heard_at in self._silent[node]:
                    left = _without(left, silent_at, heard_at)
                if any(until - since > _WRITE_S for since, until in left):
                    return True
        return False

    def _on_entry_started(self, at, node, fields):
        self._up[node].append([at, at])
        self._draining.discard(node)
        self._silent[node].append([at, float("inf")])

    def _on_drain_begun(self, at, node, fields):
        # Callers are sent elsewhere from now on.
        self._draining.add(node)

    def _on_follower_failing(self, at, node, fields):
        if fields["table"] == "work" and fields["age_s"] is not None:
            self._silent[node].append([at - fields["age_s"], float("inf")])

    def _on_follower_regained(self, at, node, fields):
        if fields["table"] == "work":
            self._heard(at, node)

    def _on_configuration_in_force(self, at, node, fields):
        self._heard(at, node)

    def _heard(self, at, node):
        for span in self._silent[node]:
            span[1] = min(span[1], at)

    def _on_call_answered(self, at, node, fields):
        job = self.jobs[fields["path"].rsplit("/", 1)[-1]]
        begun_at = at - fields["took_ms"] / 1000
        if fields["verb"] == "submit" and fields["answer"] in (*_REFUSALS, "accepted"):
            until = begun_at + fields["patience_s"]
            job.tries.append((begun_at, until, fields["answer"]))
        elif fields["state"] in ("completed", "failed") and job.read_at is None:
            job.read_at = at

    def _on_job_seen(self, at, node, fields):
        # A later scheduler sees a job without progress anew: it has waited for room.
        self.jobs[fields["job"]].spent.setdefault("unseen", fields["unseen_s"])

    def _on_unit_placed(self, at, node, fields):
        spent = self.jobs[fields["job"]].spent
        spent["room"] = max(spent["room"], fields["waited_s"])

    def _on_unit_stopped(self, at, node, fields):
        key = (fields["job"], fields["unit"], fields["run"])
        self._reasons[key] = fields["reason"].split(" for job")[0]

    def _on_run_start(self, at, node, fields):
        self._starts.setdefault((fields["task"], fields["run"]), at)

    def _on_run_ended(self, at, node, fields):
        if fields["how"] != "done":
            cause = "failed" if fields["how"] == "failed" else self._cause(fields)
            self._note_run(at, fields, cause)

    def _on_run_lost(self, at, node, fields):
        self._note_run(at, fields, "lost")

    def _cause(self, fields):
        job, occurrence, step, index = fields["task"].split(".")
        for unit in (f"{occurrence}.{step}", f"{occurrence}.{step}.{index}"):
            reason = self._reasons.get((job, unit, fields["run"]))
            if reason is not None:
                return _STOPS.get(reason, "displaced")
        return "lost"

    def _note_run(self, at, fields, cause):
        begun_at = self._starts.get((fields["task"], fields["run"]))
        if begun_at is not None:
            spent = self.jobs[fields["task"].split(".")[0]].spent
            spent[cause] = max(spent[cause], at - begun_at)

    def _on_job_ended(self, at, node, fields):
        job = self.jobs[fields["job"]]
        job.ended = fields
        job.spent["outage"] += fields["storing_s"]


def _without(spans, begin, end):
    """Return spans of time less what lies between two moments."""
    parts = []
    for since, until in spans:
        parts += [(since, min(until, begin)), (max(since, end), until)]
    return [(since, until) for since, until in parts if since < until]


def class_of(job, day):
    """Return why a job was not served in time, or None if it was."""
    if not job.tries:
        return None
    if not job.is_served:
        reached = day.had_store(job.first_at, job.caller_leaves_at)
        return "refused" if reached else "outage"
    if job.ended is None or job.ended["state"] != "completed" or job.read_at is None:
        return None
    late_s = job.read_at - job.first_at - job.ended["objective_s"]
    if late_s <= 0:
        return None
    cause, spent_s = max(job.spent.items(), key=lambda one: one[1])
    if spent_s > _SPENT_MIN_S:
        return cause
    return "work" if late_s > _ESTIMATE_ERROR * job.ended["objective_s"] else None


def read(lines):
    """Yield (time, node, fields) of the structured lines of a log."""
    for line in lines:
        parts = line.split(None, 2)
        if len(parts) == 3 and parts[2].startswith("{"):
            try:
                yield float(parts[0]), parts[1], json.loads(parts[2])
            except ValueError:
                # A line that the play's end has cut off.
                continue


def main(*paths: str):
    """Print each job that was not served in time, and the share of each class.

    :param paths: logs of days, each from one play with all logs
    """
    total = collections.Counter()
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            day = Day(sorted(read(lines), key=lambda event: event[0]))
        for name, job in day.jobs.items():
            found = class_of(job, day)
            if found is not None:
                total[found] += 1
                print(f"{path} {name} at {job.first_at:.2f} s: {found} {job.costs}")
    for cause in CLASSES:
        if total[cause]:
            print(f"{cause:10} {total[cause]:4} {total[cause] / total.total():6.0%}")


if __name__ == "__main__":
    defopt.run(main)
