"""Runs of tasks on workers, and what agents and the scheduler tell each other.

A task is started several times in its life; each start is a *run* with a
higher number. All members of a gang share the number.
"""

from typing import NamedTuple

from samphiredeal.model.shape import NOTHING, Shape

DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
LAPSED = "lapsed"
GANG_BROKEN = "broken"
GANG_INCOMPLETE = "alone"

# Why a worker or its agent did not start a run.
NO_ROOM = "no-room"
OLD_RUN = "old-run"
TOO_LATE = "too-late"
STALE_EPOCH = "stale-epoch"
NO_TICKET = "no-ticket"
UNHEALTHY = "unhealthy"
LEAVING = "leaving"
MALFORMED = "malformed"
UNANSWERED = "unanswered"


class RunId(NamedTuple):
    """A start of a task."""

    task: str
    run: int


class Running(NamedTuple):
    """A run that a worker lists. `usage` is rough: processors in use, or the
    tail latency in milliseconds of a task that serves. Its agent adds for how long
    and in how many looks the run has made no progress.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    usage: int = 0
    still_ms: int = 0
    still_looks: int = 0


class Ended(NamedTuple):
    """A run that has ended, numbered by its worker in order."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class Refused(NamedTuple):
    """A run that was not started and never will be, for a reason."""

    task: str
    run: int
    reason: str


class StartOrder(NamedTuple):
    """Start this run."""

    task: str
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


class WorkerFacts(NamedTuple):
    """A worker as it describes itself. `born_ms` tells its lives apart;
    `leaving_in_ms` is the least time left to one that is leaving.
    """

    id: str
    born_ms: int
    service: str
    zone: str
    capacity: Shape = NOTHING
    labels: tuple[str, ...] = ()
    leaving: bool = False
    leaving_in_ms: int = 0

    @property
    def life(self):
        """What tells this life of the worker from every other."""
        return f"{self.id}/{self.born_ms}"


class Report(NamedTuple):
    """All that an agent knows about its worker.

    `worker` is None while none is known or it does not answer; `ended_life`
    names one that surely runs nothing any more. `pending` are orders whose
    effect is not known yet. `looks` counts the times the worker was looked at;
    the lists are `look_age_ms` old.
    """

    worker: WorkerFacts | None
    ended_life: str = ""
    looks: int = 0
    look_age_ms: int = 0
    running: tuple[Running, ...] = ()
    ended: tuple[Ended, ...] = ()
    refused: tuple[Refused, ...] = ()
    pending: tuple[RunId, ...] = ()


class Orders(NamedTuple):
    """What the scheduler wants of an agent.

    `number` rises with each message. Starts and recorded ends are meant for
    one `life` of the worker; ends up to `ends_recorded` are stored and may be
    forgotten there.
    """

    epoch: int
    number: int
    life: str = ""
    ends_recorded: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[RunId, ...] = ()
    refusals_seen: tuple[RunId, ...] = ()
