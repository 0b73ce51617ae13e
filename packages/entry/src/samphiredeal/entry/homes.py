"""The home entries of workers, as the scheduler's holder knows them."""

import msgspec

from samphiredeal.entry.sessions import LOST_S, AgentInfo
from samphiredeal.model.shape import Shape
from samphiredeal.wire import codec
from samphiredeal.wire.messages import Relay


class Homes:
    """Which entry each worker's agent speaks through.

    `deliver(relay)` hands a message to an agent of this entry.
    """

    def __init__(self, clock, own_name, peers, deliver):
        self._clock = clock
        self._own_name = own_name
        self._peers = peers
        self._deliver = deliver
        self._homes = {}
        self._missing_since = {}

    def on_agent_up(self, message, home):
        """Note a worker's home; return what its agent announced."""
        fields = msgspec.json.decode(message.document)
        info = AgentInfo(**{**fields, "capacity": Shape(*fields["capacity"])})
        self._homes[info.name] = home
        self._missing_since.pop(info.name, None)
        return info

    def on_agent_lost(self, name, home):
        """Forget a worker; return whether the entry that tells is its home."""
        if self._homes.get(name) != home:
            return False
        del self._homes[name]
        return True

    def take_missing(self):
        """Return the workers whose home is gone and that found no other in time."""
        now = self._clock.seconds()
        live = set(self._peers.states) | {self._own_name}
        lost = []
        for name, home in list(self._homes.items()):
            if home in live:
                self._missing_since.pop(name, None)
            elif now - self._missing_since.setdefault(name, now) > LOST_S:
                del self._homes[name]
                del self._missing_since[name]
                lost.append(name)
        return lost

    def send(self, worker, epoch, message):
        """Send a message to a worker's agent by way of its home."""
        home = self._homes.get(worker)
        relay = Relay(worker, epoch, codec.encode(message))
        if home == self._own_name:
            self._deliver(relay)
        elif home is not None:
            self._peers.send(home, relay)
