"""The message types.

Each message is a `NamedTuple` whose fields have the names, in snake case, of a
struct in ``messages.capnp``. Messages carry ages and remaining times instead of
points in time, since the processes share no clock; the suffix ``_ms`` or ``_s`` gives
the unit. A *permit* is the sequence number of a heartbeat of the agent that receives
the message.
"""

from typing import NamedTuple

PROTOCOL_VERSION = 1

EXECUTOR = "executor"
WORKER = "worker"


class Hello(NamedTuple):
    """The first message from either side; `document` is JSON about the sender."""

    version: int
    role: str
    name: str
    zone: str
    incarnation: str
    document: bytes = b""


class HelloRefused(NamedTuple):
    """The peer is rejected for this reason, and the link closed."""

    reason: str


class Heartbeat(NamedTuple):
    """An agent's sign of life; `sequence` is the permit that the receiver may use."""

    sequence: int
    free: int
    leaving: bool
    revision: int
    epoch: int
    heard: list


class HeartbeatReply(NamedTuple):
    """Acknowledges a heartbeat; `entries` is JSON, sent when it has changed.

    `waiting` is the number of requests that wait for a slot at this entry, by which
    agents divide their slots among entries.
    """

    sequence: int
    revision: int
    epoch: int
    entries: bytes
    waiting: int


class ConfigSlice(NamedTuple):
    """The part of the configuration that applies to one agent."""

    revision: int
    zone_out: bool
    labels: bytes


class Dispatch(NamedTuple):
    """Run a request under the permit; `key` is set if it is not repeatable."""

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
    """The agent has accepted the dispatch."""

    dispatch_id: str


class Refusal(NamedTuple):
    """The dispatch did not run and never will, for the reason in `code`."""

    dispatch_id: str
    code: str
    detail: str
    free: int


class Answer(NamedTuple):
    """The upstream's complete answer; `failed` if there was none."""

    dispatch_id: str
    status: int
    failed: bool
    body: bytes
    digest: bytes
    free: int


class AnswerAck(NamedTuple):
    """The entry has received the answer; the agent may drop it.

    The answer to a keyed dispatch has been stored durably.
    """

    dispatch_id: str


class Query(NamedTuple):
    """Query the state of a keyed dispatch.

    If it never arrived, the agent keeps a tombstone that blocks it from now on.
    """

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
    """A heartbeat between entries: the revision and when it was confirmed."""

    sequence: int
    revision: int
    confirm_age_ms: int
    store_down: bool
    epoch: int
    holder: str
    lagging: list


class PeerEcho(NamedTuple):
    """Answers a `PeerBeat`; the round trip bounds the age of the content."""

    sequence: int
    revision: int
    confirm_age_ms: int
    store_down: bool


class ConfigChanges(NamedTuple):
    """Accepted changes in order, as JSON."""

    changes: bytes


class ConfigSnapshot(NamedTuple):
    """A complete configuration with its documents' versions, as JSON."""

    document: bytes


class Relay(NamedTuple):
    """The scheduler's message for an agent, relayed by its gateway entry."""

    agent: str
    epoch: int
    payload: bytes


class FromAgent(NamedTuple):
    """An agent's message for the scheduler, relayed by its gateway entry."""

    agent: str
    incarnation: str
    payload: bytes


class AgentUp(NamedTuple):
    """A worker's agent has registered with its gateway entry."""

    document: bytes


class AgentLost(NamedTuple):
    """The lease of a worker's agent at its gateway entry has expired, or it left."""

    name: str
    incarnation: str


class AgentReport(NamedTuple):
    """All attempts held by an agent, as JSON, for a scheduler's epoch."""

    epoch: int
    running: bytes


class Reserve(NamedTuple):
    """Reserve capacity for `count` members of an attempt until they are started."""

    attempt: str
    job: bytes
    count: int
    epoch: int
    revision: int
    confirm_age_ms: int


class Reserved(NamedTuple):
    """The capacity is reserved; `Start` must carry the same `permit`."""

    attempt: str
    permit: int


class Start(NamedTuple):
    """Run the members under the gang lease.

    The capacity for every member of the gang is reserved.
    """

    attempt: str
    permit: int
    epoch: int
    revision: int
    confirm_age_ms: int


class Started(NamedTuple):
    """The members of the attempt have started on this worker."""

    attempt: str


class MemberRefused(NamedTuple):
    """The members do not run on this worker and never will under this attempt."""

    attempt: str
    code: str
    detail: str


class Stop(NamedTuple):
    """Stop the members within the grace period, with a checkpoint if requested."""

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
    """The scheduler has processed the end of the attempt on this worker."""

    attempt: str


class JobNotice(NamedTuple):
    """A job row was written or a cancellation accepted; `job` is JSON."""

    kind: str
    job_id: str
    job: bytes


class Ask(NamedTuple):
    """A query to another entry, or a caller's call forwarded to it.

    Queries usually go to the current scheduler. `topic` names the query, or says that
    this is a call, and determines the encoding of `document`.
    """

    query_id: str
    topic: str
    document: bytes


class AskReply(NamedTuple):
    """The answer to an `Ask`, in the same encoding."""

    query_id: str
    document: bytes


class WorkOrders(NamedTuple):
    """Orders to an agent from the scheduler of `epoch`.

    `report_seen` is the number of the last report received. `body` holds `Orders`
    (see `samphiredeal.wire.orders`); it is empty in the first message of a link,
    which requests a report.
    """

    epoch: int
    report_seen: int
    body: bytes


class WorkReport(NamedTuple):
    """An agent's numbered report; `epoch` is the newest that it has received."""

    epoch: int
    number: int
    body: bytes


class SchedulerQuery(NamedTuple):
    """Query whether the scheduler of `epoch` is alive; sent to it and to agents."""

    epoch: int


class SchedulerSign(NamedTuple):
    """An entry's answer to a `SchedulerQuery`: the epoch that it holds, 0 if none.

    `store_unheard_s` is the time since the store last answered it, in seconds.
    """

    epoch: int
    store_unheard_s: float


class SchedulerSighting(NamedTuple):
    """An agent's answer to a `SchedulerQuery`: the newest epoch that it has received.

    `linked` is set if the connection to that scheduler is open; `silent_s` is the
    time since the scheduler last answered a report, in seconds.
    """

    epoch: int
    linked: bool
    silent_s: float
