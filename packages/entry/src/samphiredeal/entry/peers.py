"""Links to the other entries, their beats and what they told last."""

from typing import NamedTuple

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry.confirmation import PeerWord
from samphiredeal.wire.messages import (
    PROTOCOL_VERSION,
    Ask,
    AskReply,
    Hello,
    PeerEcho,
)

BEAT_S = 0.5
SILENCE_S = 2.0
RECONNECT_S = 0.5
ASK_TIMEOUT_S = 2.0


class PeerState(NamedTuple):
    """What a peer told in its latest beat, and when it came."""

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
        self.sent = {}


class Peers:
    """Outgoing links to all other entries.

    `own_beat(sequence)` makes the beat to send; `on_word(peer, word)` gets each
    echo. Each entry dials each other one, so a pair has two links, and each
    uses the one it dialled for what it asks.
    """

    def __init__(self, clock, identity, connect, own_beat, on_word):
        self._clock = clock
        self._identity = identity
        self._connect = connect
        self._own_beat = own_beat
        self._on_word = on_word
        self._peers = {}
        self._dialling = set()
        self._states = {}
        self._asked = {}
        self._sequence = 0
        self._wanted = {}

    @property
    def states(self):
        """The latest `PeerState` of each peer heard within the silence bound."""
        limit = self._clock.seconds() - SILENCE_S
        return {name: s for name, s in self._states.items() if s.at >= limit}

    def set_wanted(self, addresses):
        """Set the addresses of the other entries by name."""
        self._wanted = addresses

    def learn(self, name, address):
        """Take in an entry that dialled this one, maybe before the table told."""
        self._wanted = {**self._wanted, name: address}

    def tick(self):
        """Dial missing peers, drop silent links and send beats."""
        now = self._clock.seconds()
        for name, peer in list(self._peers.items()):
            if now - peer.echoed_at > SILENCE_S or name not in self._wanted:
                del self._peers[name]
                peer.link.close()
        for name, address in self._wanted.items():
            if name not in self._peers and name not in self._dialling:
                self._dialling.add(name)
                ensureDeferred(self._dial(name, address))
        for peer in self._peers.values():
            self._beat(peer, now)

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

    def ask(self, name, query_id, topic, document):
        """Return a Deferred of a peer's answer, None if there is none in time."""
        answered = Deferred()
        if not self.send(name, Ask(query_id, topic, msgspec.json.encode(document))):
            answered.callback(None)
            return answered
        self._asked[query_id] = answered
        self._clock.callLater(ASK_TIMEOUT_S, self._give_up, query_id)
        return answered

    def on_beat(self, name, beat):
        """Take in a beat that came on a peer's own link."""
        self._states[name] = PeerState(
            self._clock.seconds(),
            beat.revision,
            beat.epoch,
            beat.holder,
            tuple(beat.lagging),
        )

    def close(self):
        """Close every link."""
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    def _beat(self, peer, now):
        self._sequence += 1
        peer.sent[self._sequence] = now
        peer.sent = {n: at for n, at in peer.sent.items() if now - at <= SILENCE_S}
        peer.link.send(self._own_beat(self._sequence))

    async def _dial(self, name, address):
        try:
            link = await self._connect(address)
        except Exception:
            await deferLater(self._clock, RECONNECT_S)
            self._dialling.discard(name)
            return
        self._dialling.discard(name)
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
        self._beat(peer, self._clock.seconds())

    def _on_lost(self, name, peer):
        if self._peers.get(name) is peer:
            del self._peers[name]

    def _on_message(self, name, peer, message):
        if isinstance(message, PeerEcho):
            peer.echoed_at = self._clock.seconds()
            sent_at = peer.sent.pop(message.sequence, None)
            if sent_at is not None:
                word = PeerWord(
                    sent_at,
                    message.revision,
                    message.confirm_age_ms / 1000,
                    message.store_down,
                )
                self._on_word(name, word)
        elif isinstance(message, AskReply):
            answered = self._asked.pop(message.query_id, None)
            if answered is not None:
                answered.callback(msgspec.json.decode(message.document))

    def _give_up(self, query_id):
        answered = self._asked.pop(query_id, None)
        if answered is not None:
            answered.callback(None)
