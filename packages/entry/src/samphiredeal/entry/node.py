"""The entry: connects sessions, peers, configuration, requests and the scheduler.

`EntryNode` does no I/O itself: links, the table and the clock are passed in.
"""

import itertools
from typing import NamedTuple

import msgspec
from twisted.internet.task import deferLater

from samphiredeal.entry.burn import SAVE_INTERVAL_S, Counts, ReportStore, make_report
from samphiredeal.entry.claims import Claims
from samphiredeal.entry.configstore import Accepted, ConfigStore
from samphiredeal.entry.confirmation import Confirmation
from samphiredeal.entry.dispatches import Dispatches
from samphiredeal.entry.gateways import Gateways
from samphiredeal.entry.jobstore import (
    JobStore,
    decode_job,
    encode_job,
)
from samphiredeal.entry.lease import (
    RENEW_INTERVAL_S as LEASE_RENEW_INTERVAL_S,
)
from samphiredeal.entry.lease import (
    EntryRow,
    Membership,
    SchedulerLease,
)
from samphiredeal.entry.peers import HEARTBEAT_S, Peers
from samphiredeal.entry.periodic import Periodic
from samphiredeal.entry.requests import RequestServer
from samphiredeal.entry.routing import Router
from samphiredeal.entry.scheduling import SchedulerHost
from samphiredeal.entry.sessions import Sessions, agent_info
from samphiredeal.model import configuration as config
from samphiredeal.model import verdict
from samphiredeal.platform.table import Unavailable
from samphiredeal.wire import codec
from samphiredeal.wire.messages import (
    PROTOCOL_VERSION,
    AgentLost,
    AgentUp,
    Answer,
    Ask,
    AskReply,
    ConfigChanges,
    ConfigSlice,
    ConfigSnapshot,
    DispatchAck,
    FromAgent,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HelloRefused,
    JobNotice,
    PeerBeat,
    PeerEcho,
    QueryReply,
    Refusal,
    Relay,
)

TICK_S = 0.25
STORE_POLL_S = 0.5
# The interval at which the lease holder reads job rows, since notices can be lost.
JOB_SWEEP_S = 5.0
_MAX_LAGGING_REPORTED = 20


class EntryIdentity(NamedTuple):
    """The name and location of an entry, and the incarnation of its process."""

    name: str
    zone: str
    region: str
    address: str
    incarnation: str


class Environment(NamedTuple):
    """The functions of an entry that its request server calls."""

    confirm_age: object
    revision: object
    store_down: object


class EntryNode:
    """One entry. `connect(address)` returns a Deferred of a link.

    `pick(sessions)` chooses two agents at random; tests make it predictable.
    `wall()` returns seconds of wall time, equal on all VMs, for reports and the age of
    jobs.
    """

    def __init__(self, clock, identity, table, objects, connect, pick, wall=None):
        self._clock = clock
        self._identity = identity
        self._table = table
        self._ids = itertools.count()
        self._confirmation = Confirmation(clock)
        self._config = ConfigStore(
            clock, table, objects, self._confirmation, self._on_changes
        )
        self._sessions = Sessions(clock)
        self._dispatches = Dispatches()
        self._jobs = JobStore(clock, table, identity.region)
        self._membership = Membership(
            clock, table, EntryRow(**identity._asdict(), beat=0)
        )
        self._lease = SchedulerLease(clock, table, identity.region, identity.name)
        self._peers = Peers(
            clock, identity, connect, self._make_heartbeat, self._on_confirmation
        )
        self._router = Router(
            clock, self._sessions, self._may_dispatch, identity.zone, pick
        )
        self._requests = RequestServer(
            clock,
            self._sessions,
            self._router,
            self._dispatches,
            Claims(clock, table, objects),
            Environment(
                self._confirmation.age_s,
                lambda: self._config.current.revision,
                lambda: self._confirmation.store_unresponsive,
            ),
            self.new_id,
        )
        self._wall = wall or clock.seconds
        self._counts = Counts(self._wall)
        self._reports = ReportStore(table, objects, identity.incarnation)
        self._zones_out = set()
        self._host = None
        self._gateways = self._make_gateways()
        self._notified_holder = ""
        self._draining = False
        self._links = set()
        self._periodic = Periodic(clock)

    # State for the HTTP API

    @property
    def identity(self):
        """The name and location of this entry."""
        return self._identity

    @property
    def config(self):
        """The configuration store."""
        return self._config

    @property
    def confirmation(self):
        """The confirmation that the configuration is current."""
        return self._confirmation

    @property
    def jobs(self):
        """The job rows."""
        return self._jobs

    @property
    def requests(self):
        """The request server."""
        return self._requests

    @property
    def router(self):
        """The router of requests."""
        return self._router

    @property
    def sessions(self):
        """The agents linked to this entry."""
        return self._sessions

    @property
    def peers(self):
        """The other entries."""
        return self._peers

    @property
    def counts(self):
        """The counts for the report on service-level burn."""
        return self._counts

    @property
    def host(self):
        """The scheduler's host if this entry holds the lease, or None."""
        return self._host

    @property
    def draining(self):
        """Whether a planned stop has begun."""
        return self._draining

    @property
    def ready(self):
        """Whether callers should be sent here."""
        return not self._draining and self._confirmation.age_s() < float("inf")

    @property
    def epoch(self):
        """The highest scheduler epoch known."""
        epochs = [state.epoch for state in self._peers.states.values()]
        return max([self._lease.epoch, *epochs])

    @property
    def holder(self):
        """The name of the entry that holds the scheduler's lease, or ''."""
        if self._host is not None:
            return self._identity.name
        states = self._peers.states.values()
        newest = max(states, key=lambda state: state.epoch, default=None)
        return newest.holder if newest else ""

    def wall_seconds(self):
        """Return wall time in seconds, equal on all VMs, for reports and job ages."""
        return self._wall()

    def new_id(self):
        """Return an id that is unique over all processes."""
        return f"{self._identity.incarnation}-{next(self._ids)}"

    # Start and stop

    def start(self):
        """Start all periodic work."""
        periodic = self._periodic
        periodic.every(TICK_S, self._tick)
        periodic.every(HEARTBEAT_S, self._peers.tick)
        periodic.every_coroutine(STORE_POLL_S, "config", self._config.refresh)
        periodic.every_coroutine(
            LEASE_RENEW_INTERVAL_S, "members", self._renew_membership
        )
        periodic.every_coroutine(LEASE_RENEW_INTERVAL_S, "lease", self._renew_lease)
        periodic.every_coroutine(SAVE_INTERVAL_S, "report", self._save_counts)
        periodic.every_coroutine(JOB_SWEEP_S, "sweep", self._sweep_jobs)

    async def drain(self, grace_s):
        """Stop gracefully: refuse new work, finish requests in flight, then leave."""
        self._draining = True
        give_up_at = self._clock.seconds() + grace_s
        await self._hand_over()
        while self._requests.in_flight and self._clock.seconds() < give_up_at:
            await deferLater(self._clock, TICK_S)
        await self._reports.save(self._counts)
        await self._membership.leave()
        self.stop()

    def stop(self):
        """Stop at once."""
        self._periodic.stop()
        if self._host is not None:
            self._host.end()
        self._peers.close()
        for link in list(self._links):
            link.close()

    async def _hand_over(self):
        """Release the scheduler's lease if it is held."""
        if self._host is not None:
            self._host.end()
            self._host = None
            await self._lease.release()

    def _tick(self):
        for session in self._sessions.expired():
            self._expire_session(session)
        self._router.grant_waiting()
        if self._host is not None:
            self._host.tick()
            for name in self._gateways.remove_expired():
                self._host.worker_lost(name)

    async def _renew_membership(self):
        if self._draining:
            return
        await self._membership.renew()
        members = self._membership.members
        self._confirmation.set_members(members)
        self._peers.set_addresses({m.name: m.address for m in members.values()})

    async def _renew_lease(self):
        if self._draining:
            return
        self._lease.fence(self._highest_peer_epoch())
        await self._lease.renew()
        if self._lease.held and self._host is None:
            self._start_scheduling()
        elif not self._lease.held and self._host is not None:
            self._host.end()
            self._host = None
        elif self._host is not None and self._host.epoch != self._lease.epoch:
            self._host.end()
            self._start_scheduling()
        self._notify_holder()

    def _highest_peer_epoch(self):
        return max((s.epoch for s in self._peers.states.values()), default=0)

    def _start_scheduling(self):
        self._gateways = self._make_gateways()
        self._host = SchedulerHost(
            self._clock,
            self._jobs,
            self._send_to_worker,
            self._stamp,
            self._wall,
            on_done=self._counts.job,
        )
        self._host.begin(self._config.current)

    async def _save_counts(self):
        if self._host is not None:
            self._counts.fragmentation(self._host.scheduler.fragmentation())
        await self._reports.save(self._counts)

    async def report(self):
        """Return the report on service-level burn as a JSON-ready object."""
        return await make_report(
            self._counts, self._reports, self._config.current.accounts
        )

    async def _sweep_jobs(self):
        """Apply job rows whose notice did not reach this holder."""
        host = self._host
        if host is None or not host.loaded:
            return
        records = await self._jobs.all_active()
        if isinstance(records, Unavailable) or host is not self._host:
            return
        for record in records:
            if record.cancelled:
                host.cancel(record.job.id)
            else:
                host.submit_from_table(record)

    def _stamp(self):
        """Return (epoch, revision, confirmation age in ms) for a start."""
        age_ms = min(self._confirmation.age_s(), 1e6) * 1000
        return self._lease.epoch, self._config.current.revision, int(age_ms) + 1

    # Links

    def accept(self, link):
        """Accept a link that a peer or an agent opened."""
        if self._draining:
            link.close()
            return
        self._links.add(link)
        link.on_message = self._on_first_message
        link.on_lost = self._links.discard

    def _on_first_message(self, link, message):
        if not isinstance(message, Hello):
            link.close()
            return
        if message.version != PROTOCOL_VERSION:
            link.send(
                HelloRefused(
                    f"protocol version {message.version} is not {PROTOCOL_VERSION}"
                )
            )
            return
        if message.role == "entry":
            link.on_message = lambda link, m: self._on_peer(link, message.name, m)
            self._peers.add_address(message.name, message.document.decode())
        else:
            self._on_agent_hello(link, message)

    def _on_agent_hello(self, link, hello):
        info = agent_info(hello)
        if info is None:
            link.send(HelloRefused("the hello's document is malformed"))
            return
        session, old = self._sessions.open(info, link)
        link.on_message = lambda _link, m: self._on_agent(session, m)
        link.on_lost = lambda lost: self._links.discard(lost)
        own = self._identity
        link.send(Hello(PROTOCOL_VERSION, "entry", own.name, own.zone, own.incarnation))
        self._send_slice(session)
        if old is not None:
            old.link.close()
        self._dispatches.on_new_link(session)
        if not session.is_executor:
            self._announce_worker(session)

    def _on_agent(self, session, message):
        if isinstance(message, Heartbeat):
            self._on_heartbeat(session, message)
        elif isinstance(message, FromAgent):
            self._forward(message)
        elif isinstance(message, DispatchAck):
            self._dispatches.on_ack(session, message.dispatch_id)
        elif isinstance(message, Answer):
            session.free = message.free - len(session.unacknowledged)
            if not self._dispatches.on_answer(session, message):
                session.link.close()
        elif isinstance(message, Refusal):
            self._dispatches.on_refusal(session, message)
        elif isinstance(message, QueryReply):
            self._requests.on_query_reply(message)

    def _on_heartbeat(self, session, heartbeat):
        session.on_heartbeat(heartbeat, self._clock.seconds())
        self._confirmation.on_reachable_entries(
            name for name in heartbeat.heard if name != self._identity.name
        )
        if session.revision < self._config.current.revision:
            self._send_slice(session)
        entries = self._entries_document()
        session.link.send(
            HeartbeatReply(
                heartbeat.sequence,
                self._config.current.revision,
                self.epoch,
                b"" if session.entries_sent == entries else entries,
                self._router.waiting,
            )
        )
        session.entries_sent = entries
        self._router.grant_waiting()

    def _entries_document(self):
        """Return the entries of this region, this one included, as JSON."""
        own = self._identity
        rows = [(own.name, own.address, own.zone)]
        rows += [
            (m.name, m.address, m.zone)
            for m in self._membership.members.values()
            if m.region == own.region
        ]
        return msgspec.json.encode([] if self._draining else sorted(rows))

    def _send_slice(self, session):
        configuration = self._config.current
        info = session.info
        session.link.send(
            ConfigSlice(
                configuration.revision,
                configuration.zone_is_out(info.zone),
                msgspec.json.encode(configuration.labels_of(info.worker)),
            )
        )

    def _expire_session(self, session):
        """Close a session whose agent had no contact for too long."""
        self._sessions.close(session)
        session.link.close()
        info = session.info
        self._dispatches.on_agent_lost(info.name)
        if not session.is_executor:
            self._to_holder(AgentLost(info.name, info.incarnation))

    def _may_dispatch(self, session):
        """Return whether an agent may be sent requests now."""
        if session.leaving or not session.permit:
            return False
        if not self._sessions.is_live(session):
            return False
        return not self._config.current.zone_is_out(session.info.zone)

    # Peers

    def _make_heartbeat(self, sequence):
        revision = self._config.current.revision
        lagging = [s.info.name for s in self._sessions if s.revision < revision]
        return PeerBeat(
            sequence,
            revision,
            _milliseconds(self._confirmation.age_s()),
            self._confirmation.store_down,
            self.epoch if self._host is None else self._lease.epoch,
            self.holder,
            lagging[:_MAX_LAGGING_REPORTED],
        )

    def _on_confirmation(self, peer, confirmation):
        self._confirmation.on_echo(peer, confirmation)

    def _on_peer(self, link, name, message):
        """Process a message on a link that a peer opened."""
        if isinstance(message, PeerBeat):
            self._on_peer_heartbeat(link, name, message)
        elif isinstance(message, ConfigChanges):
            self._config.apply_changes(config.decode_changes(message.changes))
        elif isinstance(message, ConfigSnapshot):
            self._config.apply_snapshot(message.document)
        elif isinstance(message, Relay):
            self._on_relay(message)
        elif isinstance(message, FromAgent):
            self._forward(message, gateway=name)
        elif isinstance(message, AgentUp):
            self._on_agent_up(message, gateway=name)
        elif isinstance(message, AgentLost):
            self._on_agent_lost(message, gateway=name)
        elif isinstance(message, JobNotice):
            self._on_notice(message)
        elif isinstance(message, Ask):
            document = self._answer_query(
                message.topic, msgspec.json.decode(message.document)
            )
            link.send(AskReply(message.query_id, msgspec.json.encode(document)))

    def _on_peer_heartbeat(self, link, name, heartbeat):
        before = self.holder, self.epoch
        self._peers.on_heartbeat(name, heartbeat)
        revision = self._config.current.revision
        link.send(
            PeerEcho(
                heartbeat.sequence,
                revision,
                _milliseconds(self._confirmation.age_s()),
                self._confirmation.store_down,
            )
        )
        if heartbeat.revision < revision:
            self._send_changes(name, heartbeat.revision)
        if before != (self.holder, self.epoch):
            self._notify_holder()

    def _send_changes(self, name, revision):
        changes = self._config.recent_after(revision)
        if changes is None:
            self._peers.send(name, ConfigSnapshot(self._config.snapshot()))
        else:
            self._peers.send(name, ConfigChanges(config.encode_changes(changes)))

    def _on_changes(self, changes):
        """Send accepted changes to agents, peers and the scheduler."""
        self._record_zone_episodes()
        for session in self._sessions:
            self._send_slice(session)
        if changes:
            self._peers.broadcast(ConfigChanges(config.encode_changes(changes)))
        if self._host is not None:
            self._host.configure(self._config.current)

    def _record_zone_episodes(self):
        """Record the zones that went out or returned, for the report."""
        current = self._config.current
        out = {zone for zone in current.zones if current.zone_is_out(zone)}
        for zone in sorted(out ^ self._zones_out):
            self._counts.zone(zone, zone in out)
        self._zones_out = out

    # Scheduling

    def _notify_holder(self):
        """Announce this entry's workers to a new holder.

        The new epoch is sent to the workers' agents at once, so that they report.
        """
        marker = f"{self.holder}/{self.epoch}"
        if marker == self._notified_holder or not self.holder:
            return
        self._notified_holder = marker
        revision = self._config.current.revision
        for session in self._sessions:
            if not session.is_executor:
                self._announce_worker(session)
                session.link.send(HeartbeatReply(0, revision, self.epoch, b"", 0))

    def _announce_worker(self, session):
        document = msgspec.json.encode(session.info._asdict())
        self._to_holder(AgentUp(document))

    def _to_holder(self, message):
        if self._host is not None:
            self._on_peer(None, self._identity.name, message)
        else:
            self._peers.send(self.holder, message)

    def _on_agent_up(self, message, gateway):
        if self._host is not None:
            self._host.worker_up(self._gateways.on_agent_up(message, gateway).worker)

    def _on_agent_lost(self, message, gateway):
        if self._host is not None and self._gateways.on_agent_lost(
            message.name, gateway
        ):
            self._host.worker_lost(message.name)

    def _make_gateways(self):
        return Gateways(self._clock, self._identity.name, self._peers, self._on_relay)

    def _send_to_worker(self, worker, message):
        self._gateways.send(worker, self._lease.epoch, message)

    def _on_relay(self, relay):
        session = self._sessions.get(relay.agent)
        if session is not None:
            session.link.send(relay)

    def _forward(self, message, gateway=None):
        """Pass an agent's message to the scheduler, here or at the lease holder."""
        if self._host is None:
            if gateway is None:
                self._peers.send(self.holder, message)
            return
        inner = codec.decode(message.payload)
        self._host.on_agent_message(message.agent, message.incarnation, inner)

    def _on_notice(self, notice):
        if self._host is None:
            return
        if notice.kind == "submit":
            self._host.submit(decode_job(notice.job))
        else:
            self._host.cancel(notice.job_id)

    # Jobs and configuration, for the HTTP API

    def notify_job(self, kind, job_id, job=None):
        """Send a notice of a job to the entry that holds the scheduler lease.

        `kind` is "submit" or "cancel".
        """
        data = encode_job(job) if job is not None else b""
        self._to_holder(JobNotice(kind, job_id, data))

    async def query_holder(self, topic, document):
        """Return the holder's answer on a topic, None if there is none."""
        if self._host is not None:
            return self._answer_query(topic, document)
        return await self._peers.query(self.holder, self.new_id(), topic, document)

    def _answer_query(self, topic, document):
        if self._host is None:
            return None
        if topic == "explain":
            return self._host.explain(document["job"])
        if topic == "refusal":
            return self._host.refusal(document["job"])
        if topic == "workers":
            return self._host.workers()
        if topic == "check":
            accounts = config.Configuration(**document)
            refused, warnings = self._host.check_configuration(accounts)
            return {"refused": refused, "warnings": warnings}
        return None

    async def change(self, kind, name, document, expected):
        """Write a configuration change; see `ConfigStore.accept`."""
        answer = await self._config.accept(
            self.new_id(), kind, name, document, expected
        )
        if isinstance(answer, Accepted):
            await self._wait_for_peers(answer.change.revision)
        return answer

    async def _wait_for_peers(self, revision):
        """Wait for a bounded time until the linked peers have applied a revision."""
        for _ in range(4):
            states = self._peers.states.values()
            if all(state.revision >= revision for state in states):
                return
            await deferLater(self._clock, TICK_S)

    def lagging(self, revision):
        """Return the names of entries and agents that lag behind a revision."""
        lagging = [s.info.name for s in self._sessions if s.revision < revision]
        for name, state in self._peers.states.items():
            if state.revision < revision:
                lagging.append(name)
            lagging += state.lagging
        return sorted(set(lagging))

    def refusal_reason(self):
        """Return the reason for which this entry refuses new work, or None."""
        return verdict.DRAINING if self._draining else None


def _milliseconds(seconds):
    return int(min(seconds, 1e6) * 1000)
