"""Links to the other entries, with their heartbeats and last reported states."""

from typing import NamedTuple

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry.confirmation import PeerConfirmation
from samphiredeal.wire.messages import (
    PROTOCOL_VERSION,
    Ask,
    AskReply,
    Hello,
    PeerEcho,
)

HEARTBEAT_S = 0.5
LINK_TIMEOUT_S = 2.0
RECONNECT_S = 0.5
QUERY_TIMEOUT_S = 2.0


class PeerState(NamedTuple):
    """The content of a peer's latest heartbeat, and the time of its arrival."""

    at: float
    revision: int
    epoch: int
    holder: str
    lagging: tuple


class _Peer:
    """An outgoing link to one peer."""

    def __init__(self, link, now):
        self.link = link
        self.echoed_at = now
        self.heartbeats_sent = {}


class Peers:
    """Outgoing links to all other entries.

    `make_heartbeat(sequence)` returns the heartbeat to send, and
    `on_confirmation(peer, confirmation)` receives each echo. Each entry connects to
    each other entry, so a pair has two links, and each side sends its heartbeats and
    queries on the link that it opened.
    """

    def __init__(self, clock, identity, connect, make_heartbeat, on_confirmation):
        self._clock = clock
        self._identity = identity
        self._connect = connect
        self._make_heartbeat = make_heartbeat
        self._on_confirmation = on_confirmation
        self._peers = {}
        self._connecting = set()
        self._states = {}
        self._queries = {}
        self._sequence = 0
        self._addresses = {}

    @property
    def states(self):
        """The latest `PeerState` of each peer with a recent heartbeat."""
        limit = self._clock.seconds() - LINK_TIMEOUT_S
        return {name: s for name, s in self._states.items() if s.at >= limit}

    def set_addresses(self, addresses):
        """Set the addresses of the other entries by name."""
        self._addresses = addresses

    def add_address(self, name, address):
        """Add an entry that connected to this one, maybe before it is in the table."""
        self._addresses = {**self._addresses, name: address}

    def tick(self):
        """Connect missing peers, drop unresponsive links and send heartbeats."""
        now = self._clock.seconds()
        for name, peer in list(self._peers.items()):
            if now - peer.echoed_at > LINK_TIMEOUT_S or name not in self._addresses:
                del self._peers[name]
                peer.link.close()
        for name, address in self._addresses.items():
            if name not in self._peers and name not in self._connecting:
                self._connecting.add(name)
                ensureDeferred(self._connect_peer(name, address))
        for peer in self._peers.values():
            self._send_heartbeat(peer, now)

    def send(self, name, message):
        """Send a message to a peer; return whether there is a link."""
        peer = self._peers.get(name)
        if peer is None:
            return False
        peer.link.send(message)
        return True

    def broadcast(self, message):
        """Send a message to every linked peer."""
        for peer in self._peers.values():
            peer.link.send(message)

    def query(self, name, query_id, topic, document):
        """Return a Deferred of a peer's answer, None if there is none in time."""
        answered = Deferred()
        if not self.send(name, Ask(query_id, topic, msgspec.json.encode(document))):
            answered.callback(None)
            return answered
        self._queries[query_id] = answered
        self._clock.callLater(QUERY_TIMEOUT_S, self._expire_query, query_id)
        return answered

    def on_heartbeat(self, name, heartbeat):
        """Record a heartbeat that arrived on the link that the peer opened."""
        self._states[name] = PeerState(
            self._clock.seconds(),
            heartbeat.revision,
            heartbeat.epoch,
            heartbeat.holder,
            tuple(heartbeat.lagging),
        )

    def close(self):
        """Close every link."""
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    def _send_heartbeat(self, peer, now):
        self._sequence += 1
        peer.heartbeats_sent[self._sequence] = now
        peer.heartbeats_sent = {
            sequence: at
            for sequence, at in peer.heartbeats_sent.items()
            if now - at <= LINK_TIMEOUT_S
        }
        peer.link.send(self._make_heartbeat(self._sequence))

    async def _connect_peer(self, name, address):
        try:
            link = await self._connect(address)
        except Exception:
            await deferLater(self._clock, RECONNECT_S)
            self._connecting.discard(name)
            return
        self._connecting.discard(name)
        peer = _Peer(link, self._clock.seconds())
        link.on_message = lambda _link, message: self._on_message(name, peer, message)
        link.on_lost = lambda _link: self._on_lost(name, peer)
        self._peers[name] = peer
        own = self._identity
        address = own.address.encode()
        link.send(
            Hello(
                PROTOCOL_VERSION, "entry", own.name, own.zone, own.incarnation, address
            )
        )
        self._send_heartbeat(peer, self._clock.seconds())

    def _on_lost(self, name, peer):
        if self._peers.get(name) is peer:
            del self._peers[name]

    def _on_message(self, name, peer, message):
        if isinstance(message, PeerEcho):
            peer.echoed_at = self._clock.seconds()
            sent_at = peer.heartbeats_sent.pop(message.sequence, None)
            if sent_at is not None:
                confirmation = PeerConfirmation(
                    sent_at,
                    message.revision,
                    message.confirm_age_ms / 1000,
                    message.store_down,
                )
                self._on_confirmation(name, confirmation)
        elif isinstance(message, AskReply):
            answered = self._queries.pop(message.query_id, None)
            if answered is not None:
                answered.callback(msgspec.json.decode(message.document))

    def _expire_query(self, query_id):
        answered = self._queries.pop(query_id, None)
        if answered is not None:
            answered.callback(None)
