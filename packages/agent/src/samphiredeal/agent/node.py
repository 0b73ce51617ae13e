"""The agent: links to entries, heartbeats, leases and the drain.

An executor's agent keeps a link to every entry. A worker's agent keeps one to its
gateway entry: the first responsive entry in the order of the rendezvous hash,
entries in its own availability zone before others. A link without a reply to a
heartbeat within a time limit is closed and replaced, since a broken connection
can appear open for much longer.
"""

import hashlib
from typing import NamedTuple

import msgspec
from eliot import write_traceback
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall, deferLater

from samphiredeal.agent.permits import PermitIssuer
from samphiredeal.model import verdict
from samphiredeal.wire import codec
from samphiredeal.wire.messages import (
    EXECUTOR,
    PROTOCOL_VERSION,
    WORKER,
    AnswerAck,
    ConfigSlice,
    Dispatch,
    EndedAck,
    FromAgent,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HelloRefused,
    Query,
    Relay,
    Reserve,
    Start,
    Stop,
)

TICK_S = 0.5
# An executor's heartbeats carry permits and free slots. A worker's heartbeats only
# renew leases, since its permits are issued with each reservation.
HEARTBEAT_S = {EXECUTOR: 0.5, WORKER: 1.5}
# A link without a reply for this long is replaced.
LINK_TIMEOUT_S = {EXECUTOR: 2.0, WORKER: 3.5}
RECONNECT_S = 0.5
# The agent stops all members when no entry has answered for this long. This must be
# less than the time after which an entry regards the agent as failed.
MEMBER_LEASE_S = 5.0


class AgentIdentity(NamedTuple):
    """The description of an agent; `kind` is ``executor`` or ``worker``."""

    name: str
    kind: str
    zone: str
    rack: str
    incarnation: str
    capacity: tuple = (0, 0, 0)
    slots: int = 0
    labels: dict = {}


class EntryAddress(NamedTuple):
    """How agents reach an entry."""

    name: str
    address: str
    zone: str


def rendezvous_order(agent_name, zone, entries):
    """Return entries by preference: same zone first, then highest hash.

    Agents rank independently, so the agents of a failed entry are distributed
    evenly over the others and return to it when it recovers.
    """

    def rank(entry):
        text = f"{agent_name}|{entry.name}".encode()
        return (entry.zone != zone, hashlib.blake2b(text, digest_size=8).digest())

    return sorted(entries, key=rank)


class _Uplink:
    """The state of one link to an entry."""

    def __init__(self, entry, link, now):
        self.entry = entry
        self.link = link
        self.last_received_at = now
        self.hello_received = False


class Agent:
    """Connect an agent's request handler or member manager to its entries.

    `connect(address)` returns a Deferred of a link. The caller creates the handler
    or manager with this agent's `permits` and `gate` and sets it with `attach`.
    """

    def __init__(self, clock, identity, entries, connect):
        self._clock = clock
        self._identity = identity
        self._entries = {entry.name: entry for entry in entries}
        self._connect = connect
        self._permits = PermitIssuer(clock)
        self._uplinks = {}
        self._connecting = set()
        self._config_slice = ConfigSlice(0, False, b"{}")
        self._leaving = False
        self._stopped = False
        self._last_contact_at = clock.seconds()
        self._next_heartbeat_at = 0.0
        self._requests = None
        self._members = None
        self._ticker = LoopingCall(self._tick_safely)
        self._ticker.clock = clock

    @property
    def permits(self):
        """The issuer of this agent's permits."""
        return self._permits

    @property
    def revision(self):
        """The revision of the configuration in force here."""
        return self._config_slice.revision

    @property
    def linked(self):
        """The sorted names of the entries with an established link."""
        return sorted(u.entry.name for u in self._uplinks.values() if u.hello_received)

    @property
    def leaving(self):
        """Whether a planned stop has begun."""
        return self._leaving

    def attach(self, requests=None, members=None):
        """Set the request handler or the member manager."""
        self._requests = requests
        self._members = members
        if requests is not None:
            requests.on_slot_free(self._offer_slot)

    def gate(self):
        """Return the reason to refuse all new work, or None."""
        if self._leaving:
            return verdict.LEAVING
        return verdict.ZONE_OUT if self._config_slice.zone_out else None

    def start(self):
        """Start connecting to entries and sending heartbeats."""
        self._ticker.start(TICK_S, now=True)

    def notify(self, message):
        """Send a message to the scheduler through the gateway entry."""
        identity = self._identity
        wrapped = FromAgent(identity.name, identity.incarnation, codec.encode(message))
        for uplink in self._uplinks.values():
            if uplink.hello_received:
                uplink.link.send(wrapped)
                return

    async def drain(self, grace_s):
        """Refuse new work, wait up to `grace_s` for running work, then stop."""
        self._leaving = True
        self._send_heartbeats()
        deadline = self._clock.seconds() + grace_s
        while not self._idle() and self._clock.seconds() < deadline:
            await deferLater(self._clock, TICK_S)
        await deferLater(self._clock, TICK_S)
        self.stop()

    def stop(self):
        """Close every link immediately."""
        self._stopped = True
        if self._ticker.running:
            self._ticker.stop()
        for uplink in list(self._uplinks.values()):
            uplink.link.close()
        self._uplinks.clear()

    def _idle(self):
        handler = self._requests or self._members
        return handler is None or handler.idle

    def _tick_safely(self):
        """Log an exception in a tick, so that heartbeats and lease checks continue."""
        try:
            self._tick()
        except Exception:
            write_traceback()

    def _tick(self):
        self._drop_unresponsive_links()
        self._connect_missing()
        if self._clock.seconds() >= self._next_heartbeat_at:
            self._send_heartbeats()
        if self._requests is not None:
            self._requests.expire()
        if self._members is not None:
            self._members.tick()
            if self._clock.seconds() - self._last_contact_at > MEMBER_LEASE_S:
                self._members.stop_all()

    def _drop_unresponsive_links(self):
        limit = self._clock.seconds() - LINK_TIMEOUT_S[self._identity.kind]
        for uplink in list(self._uplinks.values()):
            if uplink.last_received_at < limit:
                self._drop(uplink)
                uplink.link.close()

    def _preferred_entries(self):
        """Return the entries to keep links to; one of them for a worker's agent."""
        ordered = rendezvous_order(
            self._identity.name, self._identity.zone, self._entries.values()
        )
        if self._identity.kind == EXECUTOR:
            return ordered
        linked = [entry for entry in ordered if entry.name in self._uplinks]
        return linked[:1] or ordered

    def _connect_missing(self):
        for entry in self._preferred_entries():
            if entry.name not in self._uplinks and entry.name not in self._connecting:
                self._connecting.add(entry.name)
                ensureDeferred(self._open_link(entry))
                if self._identity.kind != EXECUTOR and len(self._connecting) >= 2:
                    return

    async def _open_link(self, entry):
        try:
            link = await self._connect(entry.address)
        except Exception:
            await deferLater(self._clock, RECONNECT_S)
            self._connecting.discard(entry.name)
            return
        self._connecting.discard(entry.name)
        surplus = self._identity.kind != EXECUTOR and self._uplinks
        if self._stopped or surplus:
            link.close()
            return
        uplink = _Uplink(entry, link, self._clock.seconds())
        link.on_message = lambda _link, message: self._on_message(uplink, message)
        link.on_lost = lambda _link: self._drop(uplink)
        self._uplinks[entry.name] = uplink
        self._send_hello(link)

    def _send_hello(self, link):
        identity = self._identity
        document = {
            "kind": identity.kind,
            "rack": identity.rack,
            "capacity": list(identity.capacity),
            "slots": identity.slots,
            "labels": identity.labels,
        }
        link.send(
            Hello(
                PROTOCOL_VERSION,
                "agent",
                identity.name,
                identity.zone,
                identity.incarnation,
                msgspec.json.encode(document),
            )
        )

    def _send_heartbeats(self):
        interval_s = HEARTBEAT_S[self._identity.kind]
        # Half a tick early, so that rounding does not delay a heartbeat by a tick.
        self._next_heartbeat_at = self._clock.seconds() + interval_s - TICK_S / 2
        for uplink in self._uplinks.values():
            self._send_heartbeat(uplink.link)

    def _offer_slot(self, link):
        """Notify an entry immediately that it may use a slot."""
        if any(uplink.link is link for uplink in self._uplinks.values()):
            self._send_heartbeat(link)

    def _send_heartbeat(self, link):
        link.send(
            Heartbeat(
                self._permits.issue(),
                self._requests.available_slots(link) if self._requests else 0,
                self._leaving,
                self.revision,
                self._members.epoch if self._members else 0,
                self.linked if self._identity.kind == EXECUTOR else [],
            )
        )

    def _drop(self, uplink):
        if self._uplinks.get(uplink.entry.name) is uplink:
            del self._uplinks[uplink.entry.name]
        if self._requests is not None:
            self._requests.drop_link(uplink.link)

    def _on_message(self, uplink, message):
        now = self._clock.seconds()
        if isinstance(message, HelloRefused):
            uplink.link.close()
            return
        if isinstance(message, Hello):
            self._on_hello(uplink, message)
        uplink.last_received_at = now
        self._last_contact_at = now
        self._handle(uplink, message)

    def _on_hello(self, uplink, hello):
        uplink.hello_received = True
        if hello.name != uplink.entry.name:
            self._adopt_entry_name(uplink, hello)
        if self._members is not None:
            self._members.report()

    def _adopt_entry_name(self, uplink, hello):
        """Replace the entry name from the settings by the one in its hello."""
        old = uplink.entry
        self._uplinks.pop(old.name, None)
        self._entries.pop(old.name, None)
        uplink.entry = old._replace(name=hello.name, zone=hello.zone)
        self._entries[hello.name] = uplink.entry
        duplicate = self._uplinks.pop(hello.name, None)
        self._uplinks[hello.name] = uplink
        if duplicate is not None:
            duplicate.link.close()

    def _handle(self, uplink, message):
        if isinstance(message, HeartbeatReply):
            self._on_heartbeat_reply(uplink, message)
        elif isinstance(message, ConfigSlice):
            self._on_config(message)
        elif isinstance(message, Relay) and self._members is not None:
            self._on_member_message(message)
        elif self._requests is not None:
            self._on_request_message(uplink, message)

    def _on_request_message(self, uplink, message):
        if isinstance(message, Dispatch):
            self._requests.on_dispatch(uplink.link, message, self.revision)
        elif isinstance(message, Query):
            self._requests.on_query(uplink.link, message)
        elif isinstance(message, AnswerAck):
            self._requests.on_answer_ack(message.dispatch_id)

    def _on_heartbeat_reply(self, uplink, reply):
        if self._requests is not None:
            self._requests.set_waiting(uplink.link, reply.waiting)
        if reply.entries:
            self._update_entries(reply.entries)
        if self._members is not None:
            self._members.observe_epoch(reply.epoch)

    def _update_entries(self, data):
        entries = [EntryAddress(*fields) for fields in msgspec.json.decode(data)]
        if entries:
            self._entries = {entry.name: entry for entry in entries}

    def _on_config(self, message):
        """Apply a newer configuration and confirm it immediately."""
        if message.revision < self._config_slice.revision:
            return
        is_newer = message.revision > self._config_slice.revision
        self._config_slice = message
        if is_newer:
            self._send_heartbeats()

    def _on_member_message(self, relay):
        message = codec.decode(relay.payload)
        if isinstance(message, Reserve):
            self._members.on_reserve(message, self.revision)
        elif isinstance(message, Start):
            self._members.on_start(message, self.revision)
        elif isinstance(message, Stop):
            self._members.on_stop(message)
        elif isinstance(message, EndedAck):
            self._members.on_ended_ack(message.attempt)
