"""Runs of tasks on workers, with the reports of agents and the scheduler's orders.

A task may be started several times; each start is a *run* with a higher
number. All members of a gang share the number.
"""

from typing import NamedTuple

from samphiredeal.model.shape import NOTHING, Shape

# How a run ended.
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
    """One numbered attempt at a task."""

    task: str
    run: int


class Running(NamedTuple):
    """A run that a worker lists as running.

    `usage` is approximate: processors in use, or the tail latency in milliseconds
    of a serving task. The agent adds `still_ms` and `still_looks`: for how long,
    and over how many polls, the run has made no progress.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    usage: int = 0
    still_ms: int = 0
    still_looks: int = 0


class Ended(NamedTuple):
    """A run's completion; `number` is the worker's sequence number."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class Refused(NamedTuple):
    """A run that was not started and never will be."""

    task: str
    run: int
    reason: str


class StartOrder(NamedTuple):
    """An order to start a run, from its `checkpoint` if there is one."""

    task: str
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


def life_name(worker_id, born_ms):
    """Return the string that identifies an incarnation of a worker."""
    return f"{worker_id}/{born_ms}"


class WorkerFacts(NamedTuple):
    """A worker's description of itself.

    `born_ms` distinguishes incarnations of the worker; `leaving_in_ms` is the
    minimum time left before a leaving worker exits.
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
        """A string that identifies this incarnation of the worker."""
        return life_name(self.id, self.born_ms)


class Report(NamedTuple):
    """An agent's report on its worker.

    `worker` is None if no worker is known or it does not respond; `ended_life`
    is the incarnation whose lease has expired, so that it runs nothing any more.
    `pending` are orders whose effect is still unknown. `looks` counts polls of the
    worker; the lists are `look_age_ms` old. Unless `complete`, the worker has further
    completions.
    """

    worker: WorkerFacts | None
    ended_life: str = ""
    looks: int = 0
    look_age_ms: int = 0
    running: tuple[Running, ...] = ()
    ended: tuple[Ended, ...] = ()
    refused: tuple[Refused, ...] = ()
    pending: tuple[RunId, ...] = ()
    complete: bool = True


class Orders(NamedTuple):
    """The scheduler's orders for an agent.

    `number` rises with each message. `starts` and `ends_recorded` apply to one
    incarnation of the worker, `life`. Completions up to `ends_recorded` are in
    the store; the worker may drop them.
    """

    epoch: int
    number: int
    life: str = ""
    ends_recorded: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[RunId, ...] = ()
    refusals_seen: tuple[RunId, ...] = ()
