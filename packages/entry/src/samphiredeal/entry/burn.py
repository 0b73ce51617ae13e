"""Service-level burn rates from counts of requests and jobs by minute.

Counts are kept for six hours. Each entry periodically writes its own counts to the
object store, so that they outlive its VM; any entry merges them into a report.
"""

from typing import NamedTuple

import msgspec
from eliot import log_message

from samphiredeal.model import untrusted, verdict
from samphiredeal.platform.table import Put, Unavailable, scan_all

MINUTE_S = 60
RETENTION_MINUTES = 360
WINDOWS = (("5m", 5), ("1h", 60), ("6h", 360))
DEFAULT_OBJECTIVE_SHARE = 0.99
SAVE_INTERVAL_S = 30.0
_PREFIX = "report/"


class Burn(NamedTuple):
    """The burn of one account and class over one window.

    `rate` is the share of bad requests divided by the share that the objective
    allows: above 1, the objective is missed if the rate persists.
    """

    account: str
    klass: str
    window: str
    total: int
    by_verdict: dict
    late: int
    rate: float


def series_key(account, klass):
    """Return the key of an account and class in a bucket."""
    return f"{account}/{klass}"


class Counts:
    """One entry's counts of requests and jobs by minute.

    `wall()` returns the wall-clock time in seconds, equal on all VMs.
    """

    def __init__(self, wall):
        self._wall = wall
        self._minutes = {}
        self._episodes = []

    @property
    def document(self):
        """All counts as a JSON-ready object."""
        return {"minutes": self._minutes, "episodes": self._episodes}

    def minute(self):
        """Return the current minute."""
        return int(self._wall() // MINUTE_S)

    def request(self, account, klass, outcome, seconds, objective_s):
        """Count a request by verdict, and as late if it missed its objective."""
        counts = self._bucket()["requests"].setdefault(
            series_key(account, klass),
            {verdict.RAN: 0, verdict.NOT_RUN: 0, verdict.MAY_HAVE_RUN: 0, "late": 0},
        )
        counts[outcome.verdict] += 1
        if outcome.verdict == verdict.RAN and seconds > objective_s:
            counts["late"] += 1

    def job(self, klass, completion_s):
        """Count a completed job."""
        jobs = self._bucket()["jobs"].setdefault(klass, [0, 0.0])
        jobs[0] += 1
        jobs[1] += completion_s

    def fragmentation(self, share):
        """Record the share of free accelerators that no waiting job can use."""
        self._bucket()["fragmentation"] = round(share, 4)

    def zone(self, name, out):
        """Record that a zone was marked as out or as in."""
        oldest = self.minute() - RETENTION_MINUTES
        self._episodes = [
            one for one in self._episodes if one[2] is None or one[2] > oldest
        ]
        if out:
            self._episodes.append([name, self.minute(), None])
            return
        for episode in self._episodes:
            if episode[0] == name and episode[2] is None:
                episode[2] = self.minute()

    def _bucket(self):
        minute = str(self.minute())
        if minute not in self._minutes:
            oldest = self.minute() - RETENTION_MINUTES
            self._minutes = {m: b for m, b in self._minutes.items() if int(m) > oldest}
            self._minutes[minute] = {"requests": {}, "jobs": {}, "fragmentation": None}
        return self._minutes[minute]


class ReportStore:
    """The stored counts of entries: one object each, listed by table rows."""

    def __init__(self, table, objects, incarnation):
        self._table = table
        self._objects = objects
        self._own = _PREFIX + incarnation

    async def save(self, counts):
        """Store this entry's counts."""
        data = msgspec.json.encode(counts.document)
        stored = await self._objects.put(self._own, data)
        if not isinstance(stored, Unavailable):
            newest = str(counts.minute()).encode()
            await self._table.write([], [Put(self._own, newest)])

    async def others(self, minute):
        """Return (documents of the other entries, whether all could be read).

        Rows of entries that have not saved for six hours are deleted.
        """
        rows = await scan_all(self._table, _PREFIX)
        if isinstance(rows, Unavailable):
            return [], False
        documents, complete = [], True
        for row in rows:
            if row.key == self._own:
                continue
            if not row.value.isdigit() or int(row.value) < minute - RETENTION_MINUTES:
                await self._table.write([], [], [row.key])
                continue
            document = _decode_counts(row.key, await self._objects.get(row.key))
            if document is None:
                complete = False
            else:
                documents.append(document)
        return documents, complete


def _decode_counts(key, data):
    """Return the counts in an object, or None if there are none to be read."""
    if not isinstance(data, bytes):
        return None
    try:
        document = untrusted.decode_json(data)
        # An error here shows a malformed document before it is added to the others.
        burns(merge([document], 0)[0], 0, {})
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        reason = f"{type(error).__name__}: {error}"[:300]
        log_message(message_type="counts_unreadable", key=key, reason=reason)
        return None
    return document


def merge(documents, minute):
    """Return counts summed over entries: series and jobs by minute, episodes."""
    minutes, episodes = {}, []
    for document in documents:
        episodes += document["episodes"]
        for key, bucket in document["minutes"].items():
            if int(key) <= minute - RETENTION_MINUTES:
                continue
            merged = minutes.setdefault(
                int(key), {"requests": {}, "jobs": {}, "fragmentation": None}
            )
            _add(merged, bucket)
    unique = sorted({tuple(episode) for episode in episodes}, key=str)
    return minutes, [list(episode) for episode in unique]


def _add(merged, bucket):
    for series, counts in bucket["requests"].items():
        target = merged["requests"].setdefault(series, dict.fromkeys(counts, 0))
        for name, count in counts.items():
            target[name] += count
    for klass, (count, total_s) in bucket["jobs"].items():
        target = merged["jobs"].setdefault(klass, [0, 0.0])
        target[0] += count
        target[1] += total_s
    if bucket["fragmentation"] is not None:
        merged["fragmentation"] = bucket["fragmentation"]


def burns(minutes, minute, accounts):
    """Return the `Burn` of every account and class over each window."""
    result = []
    for window, length in WINDOWS:
        sums = {}
        for key, bucket in minutes.items():
            if key > minute - length:
                _add_requests(sums, bucket["requests"])
        for series, counts in sorted(sums.items()):
            account, klass = series.rsplit("/", 1)
            objective = accounts.get(account, {}).get(
                "objective_share", DEFAULT_OBJECTIVE_SHARE
            )
            result.append(_burn(account, klass, window, counts, objective))
    return result


def _add_requests(sums, requests):
    for series, counts in requests.items():
        target = sums.setdefault(series, dict.fromkeys(counts, 0))
        for name, count in counts.items():
            target[name] += count


def _burn(account, klass, window, counts, objective):
    late = counts["late"]
    by_verdict = {name: count for name, count in counts.items() if name != "late"}
    total = sum(by_verdict.values())
    bad = total - by_verdict[verdict.RAN] + late
    allowed = max(1e-9, 1 - objective)
    rate = round(bad / total / allowed, 3) if total else 0.0
    return Burn(account, klass, window, total, by_verdict, late, rate)


async def make_report(counts, store, accounts):
    """Return the report of all entries as a JSON-ready object."""
    minute = counts.minute()
    others, complete = await store.others(minute)
    own = msgspec.json.decode(msgspec.json.encode(counts.document))
    minutes, episodes = merge([own, *others], minute)
    return {
        "minute": minute,
        "complete": complete,
        "burn": [burn._asdict() for burn in burns(minutes, minute, accounts)],
        "jobs": _job_rows(minutes),
        "episodes": episodes,
        "minutes": {str(key): minutes[key] for key in sorted(minutes)},
    }


def _job_rows(minutes):
    totals = {}
    for bucket in minutes.values():
        for klass, (count, total_s) in bucket["jobs"].items():
            target = totals.setdefault(klass, [0, 0.0])
            target[0] += count
            target[1] += total_s
    return {
        klass: {"done": count, "mean_completion_s": round(total_s / count, 1)}
        for klass, (count, total_s) in totals.items()
    }
