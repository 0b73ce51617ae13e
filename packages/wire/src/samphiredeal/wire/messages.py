"""The typed messages.

Each message is a `NamedTuple` whose fields have the names, in snake case, of a
struct in ``messages.capnp``. Ages and budgets are in milliseconds, since the
processes share no clock. A *permit* is the number of a heartbeat of the agent
that the message is for.
"""

from typing import NamedTuple

PROTOCOL_VERSION = 1

EXECUTOR = "executor"
WORKER = "worker"


class Hello(NamedTuple):
    """The first message of either side; `document` is JSON about the sender."""

    version: int
    role: str
    name: str
    zone: str
    incarnation: str
    document: bytes = b""


class HelloRefused(NamedTuple):
    """The peer does not fit, for this reason; the link is closed."""

    reason: str


class Heartbeat(NamedTuple):
    """An agent is alive; `sequence` is the permit that the receiver may use."""

    sequence: int
    free: int
    leaving: bool
    revision: int
    epoch: int
    heard: list


class HeartbeatReply(NamedTuple):
    """An entry heard a heartbeat; `entries` is JSON, sent when it has changed.

    `waiting` requests wait for a slot there; agents share out slots by it.
    """

    sequence: int
    revision: int
    epoch: int
    entries: bytes
    waiting: int


class ConfigSlice(NamedTuple):
    """The part of the configuration that concerns one agent."""

    revision: int
    zone_out: bool
    labels: bytes


class Dispatch(NamedTuple):
    """Run this request under the permit; a key is set if it is not repeatable."""

    dispatch_id: str
    account: str
    key: str
    permit: int
    incarnation: str
    revision: int
    confirm_age_ms: int
    budget_ms: int
    body: bytes
    digest: bytes


class DispatchAck(NamedTuple):
    """The agent has taken the dispatch on."""

    dispatch_id: str


class Refusal(NamedTuple):
    """The dispatch did not run and never will, for the reason in `code`."""

    dispatch_id: str
    code: str
    detail: str
    free: int


class Answer(NamedTuple):
    """The upstream's whole answer; `failed` if it gave none."""

    dispatch_id: str
    status: int
    failed: bool
    body: bytes
    digest: bytes
    free: int


class AnswerAck(NamedTuple):
    """The entry has the answer and, if keyed, it is durable; forget it."""

    dispatch_id: str


class Query(NamedTuple):
    """What became of this keyed dispatch? Seal it if it never arrived."""

    query_id: str
    account: str
    key: str
    dispatch_id: str
    permit: int
    incarnation: str


class QueryReply(NamedTuple):
    """The state of a keyed dispatch, with the answer if there is one."""

    query_id: str
    state: str
    status: int
    failed: bool
    body: bytes
    digest: bytes


class PeerBeat(NamedTuple):
    """An entry tells another its revision and how current it is known to be."""

    sequence: int
    revision: int
    confirm_age_ms: int
    store_down: bool
    epoch: int
    holder: str
    lagging: list


class PeerEcho(NamedTuple):
    """Answers a `PeerBeat` so that its round trip bounds the age of its content."""

    sequence: int
    revision: int
    confirm_age_ms: int
    store_down: bool


class ConfigChanges(NamedTuple):
    """Accepted changes in order, as JSON."""

    changes: bytes


class ConfigSnapshot(NamedTuple):
    """A whole configuration with its documents' versions, as JSON."""

    document: bytes


class Relay(NamedTuple):
    """The scheduler's message for an agent, by way of its home entry."""

    agent: str
    epoch: int
    payload: bytes


class FromAgent(NamedTuple):
    """An agent's message for the scheduler, by way of its home entry."""

    agent: str
    incarnation: str
    payload: bytes


class AgentUp(NamedTuple):
    """A worker's agent has announced itself to its home entry."""

    document: bytes


class AgentLost(NamedTuple):
    """The home entry lost the lease of a worker's agent, or it left."""

    name: str
    incarnation: str


class AgentReport(NamedTuple):
    """All attempts that an agent holds, as JSON, for a scheduler's epoch."""

    epoch: int
    running: bytes


class Reserve(NamedTuple):
    """Hold room for `count` members of an attempt until they are started."""

    attempt: str
    job: bytes
    count: int
    epoch: int
    revision: int
    confirm_age_ms: int


class Reserved(NamedTuple):
    """The room is held; `permit` must come back with the start."""

    attempt: str
    permit: int


class Start(NamedTuple):
    """Every member's room is held: run the members under the gang lease."""

    attempt: str
    permit: int
    epoch: int
    revision: int
    confirm_age_ms: int


class Started(NamedTuple):
    """The members of the attempt run on this worker."""

    attempt: str


class MemberRefused(NamedTuple):
    """The members do not run here and never will under this attempt."""

    attempt: str
    code: str
    detail: str


class Stop(NamedTuple):
    """Checkpoint if `checkpoint` and stop the members within the grace time."""

    attempt: str
    epoch: int
    checkpoint: bool
    grace_ms: int


class MembersEnded(NamedTuple):
    """The members on this worker ended: ``done``, ``failed`` or ``stopped``."""

    attempt: str
    state: str
    detail: str
    progress_s: float


class EndedAck(NamedTuple):
    """The scheduler has taken in that the attempt ended on this worker."""

    attempt: str


class JobNotice(NamedTuple):
    """A job row was written or a cancellation accepted; JSON of the job."""

    kind: str
    job_id: str
    job: bytes


class Ask(NamedTuple):
    """Ask another entry, usually the scheduler's holder, about a topic."""

    query_id: str
    topic: str
    document: bytes


class AskReply(NamedTuple):
    """The answer to an `Ask`, as JSON."""

    query_id: str
    document: bytes


class WorkOrders(NamedTuple):
    """The scheduler of `epoch` to an agent; `report_seen` is its last report.

    `body` holds `Orders` (see `samphiredeal.wire.orders`); it is empty in the
    first message of a link, which asks for a report.
    """

    epoch: int
    report_seen: int
    body: bytes


class WorkReport(NamedTuple):
    """An agent's numbered report; `epoch` is the newest that it knows."""

    epoch: int
    number: int
    body: bytes


class SchedulerQuery(NamedTuple):
    """Is the scheduler of `epoch` alive? Asked of itself, and of agents."""

    epoch: int


class SchedulerSign(NamedTuple):
    """An entry's answer: the epoch that it holds, 0 if none.

    `store_unheard_s` is how long ago the store last answered it, in seconds.
    """

    epoch: int
    store_unheard_s: float


class SchedulerSighting(NamedTuple):
    """An agent's answer: the newest epoch that it knows, and how well it hears it.

    `linked` says that the connection is open, `silent_s` is how long ago the
    scheduler last answered a report, in seconds.
    """

    epoch: int
    linked: bool
    silent_s: float
