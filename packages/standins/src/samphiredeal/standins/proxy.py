"""A TCP proxy on loopback that injects network faults.

Settings: ``host``, ``port``, ``name``, ``target_port`` and ``control_port``.
``POST /`` on the control port takes ``{"mode": ..., "delay_s": ...}``. Modes:
``pass``, ``delay`` (received data is delayed), ``deaf`` (data to the target is
dropped), ``mute`` (data from the target is dropped), ``silent`` (both are dropped),
``reset`` (open and new connections are reset), ``closed`` (open connections go on, new
ones are refused).
"""

import msgspec
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.web.resource import Resource
from twisted.web.server import Site

from samphiredeal.standins import settings

MODES = ("pass", "delay", "deaf", "mute", "silent", "reset")
CLOSED = "closed"
_CONNECT_TIMEOUT_S = 2.0


class ProxyState:
    """The current mode, the listener and the open connections.

    `listen()` starts to accept connections and returns the listener.
    """

    def __init__(self):
        self.mode = "pass"
        self.delay_s = 0.0
        self.connections = set()
        self.listen = None
        self._listener = None

    def set_mode(self, mode, delay_s=0.0):
        """Change the mode; ``reset`` aborts the open connections."""
        self.mode, self.delay_s = mode, delay_s
        if mode == "reset":
            for connection in list(self.connections):
                connection.transport.abortConnection()
        if mode == CLOSED and self._listener is not None:
            self._listener.stopListening()
            self._listener = None
        elif mode != CLOSED and self._listener is None:
            self._listener = self.listen()


class ProxyConnection(Protocol):
    """One end of a proxied connection; drops what it receives in `drop_modes`."""

    def __init__(self, state, drop_modes):
        self._state = state
        self._drop_modes = drop_modes
        self._pending_data = []
        self.peer = None

    def connectionMade(self):
        """Register the connection."""
        self._state.connections.add(self)

    def connectionLost(self, reason):
        """Close the other end."""
        self._state.connections.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.loseConnection()

    def set_peer(self, peer):
        """Set the other end and forward the data received meanwhile."""
        self.peer = peer
        for data in self._pending_data:
            self.dataReceived(data)
        self._pending_data.clear()

    def dataReceived(self, data):
        """Forward data, drop it or delay it, depending on the mode."""
        state = self._state
        if self.peer is None:
            self._pending_data.append(data)
        elif state.mode in self._drop_modes:
            return
        elif state.mode == "delay":
            reactor.callLater(state.delay_s, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data):
        if self.peer.transport is not None:
            self.peer.transport.write(data)


class ProxyFactory(Factory):
    """Accepts connections and opens a connection to the target for each."""

    noisy = False

    def __init__(self, state, host, target_port):
        self._state = state
        self._target = TCP4ClientEndpoint(
            reactor, host, target_port, _CONNECT_TIMEOUT_S
        )

    def buildProtocol(self, address):
        """Return the protocol of a new connection, or None to close it."""
        if self._state.mode == "reset":
            return None
        inbound = ProxyConnection(self._state, ("deaf", "silent"))
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: ProxyConnection(
            self._state, ("mute", "silent")
        )
        connected = self._target.connect(factory)
        connected.addCallbacks(
            lambda outbound: (outbound.set_peer(inbound), inbound.set_peer(outbound)),
            lambda _failure: inbound.transport and inbound.transport.abortConnection(),
        )
        return inbound


class ControlResource(Resource):
    """Sets the mode."""

    isLeaf = True

    def __init__(self, state):
        super().__init__()
        self._state = state

    def render_POST(self, request):
        """Set the mode."""
        self._state.set_mode(**msgspec.json.decode(request.content.read()))
        return b"{}"


def run(path: str):
    """Serve until the process is stopped."""
    document = settings.read(path, ["host", "port", "target_port", "control_port"])
    state, host = ProxyState(), document["host"]
    factory = ProxyFactory(state, host, document["target_port"])
    state.listen = lambda: reactor.listenTCP(document["port"], factory, interface=host)
    state.set_mode("pass")
    control = Site(ControlResource(state))
    reactor.listenTCP(document["control_port"], control, interface=host)
    reactor.run()
