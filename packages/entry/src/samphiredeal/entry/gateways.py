"""For each worker, the entry to which its agent is linked.

Kept by the entry that holds the scheduler lease.
"""

import msgspec

from samphiredeal.entry.sessions import AGENT_TIMEOUT_S, AgentInfo
from samphiredeal.model.shape import Shape
from samphiredeal.wire import codec
from samphiredeal.wire.messages import Relay


class Gateways:
    """Maps each worker to the entry to which its agent is linked.

    `deliver(relay)` sends a message to an agent of this entry.
    """

    def __init__(self, clock, own_name, peers, deliver):
        self._clock = clock
        self._own_name = own_name
        self._peers = peers
        self._deliver = deliver
        self._gateways = {}
        self._missing_since = {}

    def on_agent_up(self, message, gateway):
        """Record a worker's gateway; return what its agent announced."""
        fields = msgspec.json.decode(message.document)
        info = AgentInfo(**{**fields, "capacity": Shape(*fields["capacity"])})
        self._gateways[info.name] = gateway
        self._missing_since.pop(info.name, None)
        return info

    def on_agent_lost(self, name, gateway):
        """Remove a worker if the sending entry is its gateway; return whether it is."""
        if self._gateways.get(name) != gateway:
            return False
        del self._gateways[name]
        return True

    def remove_expired(self):
        """Remove and return the workers without a live gateway for too long."""
        now = self._clock.seconds()
        live = set(self._peers.states) | {self._own_name}
        expired = []
        for name, gateway in list(self._gateways.items()):
            if gateway in live:
                self._missing_since.pop(name, None)
            elif now - self._missing_since.setdefault(name, now) > AGENT_TIMEOUT_S:
                del self._gateways[name]
                del self._missing_since[name]
                expired.append(name)
        return expired

    def send(self, worker, epoch, message):
        """Send a message to a worker's agent through its gateway."""
        gateway = self._gateways.get(worker)
        relay = Relay(worker, epoch, codec.encode(message))
        if gateway == self._own_name:
            self._deliver(relay)
        elif gateway is not None:
            self._peers.send(gateway, relay)
