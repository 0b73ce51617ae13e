"""Verdicts: whether a request may have run, and why it was refused."""

from typing import NamedTuple

RAN = "ran"
NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"


class Reason(NamedTuple):
    """The reason for a refusal or failure."""

    code: str
    text: str

    def with_detail(self, detail):
        """Return this reason with a detail appended to its text."""
        return self._replace(text=f"{self.text}: {detail}")


STALE_PERMIT = Reason("stale-permit", "the dispatch is older than the agent allows")
STALE_EPOCH = Reason("stale-epoch", "a newer scheduler has taken over")
STALE_REVISION = Reason("stale-revision", "the configuration is older than the agent's")
WRONG_INCARNATION = Reason("wrong-incarnation", "the agent has restarted since")
ZONE_OUT = Reason("zone-out", "the availability zone is labelled out")
LEAVING = Reason("leaving", "the upstream is leaving")
NO_SLOT = Reason("no-slot", "no slot is free")
SEALED = Reason("sealed", "the request key has a tombstone at this upstream")
DEADLINE = Reason("deadline", "the deadline cannot be met")
OVERLOADED = Reason("overloaded", "the queue is full")
STORE_DOWN = Reason("store-down", "the table service does not answer")
NO_UPSTREAM = Reason("no-upstream", "no upstream is known and allowed")
UNCONFIRMED = Reason("unconfirmed", "the configuration cannot be confirmed as current")
UPSTREAM_LOST = Reason(
    "upstream-lost", "the upstream became unavailable during the request"
)
UPSTREAM_FAILED = Reason("upstream-failed", "the upstream reported a failure")
KEY_REUSED = Reason("key-reused", "the request key was used with another body")
DRAINING = Reason("draining", "this entry is shutting down")
BAD_DIGEST = Reason("bad-digest", "the body does not match its digest")
WORKER_FULL = Reason("worker-full", "the worker has no free capacity for the member")
RESERVATION_EXPIRED = Reason("reservation-expired", "the reservation has expired")


class Outcome(NamedTuple):
    """The result of a request; `status` and `body` are the upstream's answer."""

    verdict: str
    status: int = 0
    body: bytes = b""
    reason: Reason | None = None


def not_run(reason):
    """Return the outcome of a request that did not run, for `reason`."""
    return Outcome(NOT_RUN, reason=reason)


def may_have_run(reason):
    """Return the outcome of a request that may have run, for `reason`."""
    return Outcome(MAY_HAVE_RUN, reason=reason)
