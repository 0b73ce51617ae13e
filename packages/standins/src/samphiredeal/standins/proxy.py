"""A TCP proxy on loopback that misbehaves on demand.

Settings: ``host``, ``port``, ``name``, ``target_port`` and ``control_port``.
``POST /`` on the control port takes ``{"mode": ..., "delay_s": ...}``. Modes:
``pass``, ``delay`` (each piece waits), ``deaf`` (nothing goes to the target),
``mute`` (nothing comes back), ``silent`` (neither), ``reset`` (connections are
reset, new ones too).
"""

import msgspec
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.web.resource import Resource
from twisted.web.server import Site

from samphiredeal.standins import settings

MODES = ("pass", "delay", "deaf", "mute", "silent", "reset")
_CONNECT_TIMEOUT_S = 2.0


class State:
    """What goes wrong now, and the open connections."""

    def __init__(self):
        self.mode = "pass"
        self.delay_s = 0.0
        self.sides = set()

    def set(self, mode, delay_s=0.0):
        """Change the mode; `reset` ends what is open."""
        self.mode, self.delay_s = mode, delay_s
        if mode == "reset":
            for side in list(self.sides):
                side.transport.abortConnection()


class Side(Protocol):
    """One end of a proxied connection; `blocked_in` silence it."""

    def __init__(self, state, blocked_in):
        self._state = state
        self._blocked_in = blocked_in
        self._waiting = []
        self.peer = None

    def connectionMade(self):
        """Keep track of the connection."""
        self._state.sides.add(self)

    def connectionLost(self, reason):
        """Close the other end."""
        self._state.sides.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.loseConnection()

    def join(self, peer):
        """Connect to the other end and pass on what has waited."""
        self.peer = peer
        for data in self._waiting:
            self.dataReceived(data)
        self._waiting.clear()

    def dataReceived(self, data):
        """Pass data on, unless the mode says otherwise."""
        state = self._state
        if self.peer is None:
            self._waiting.append(data)
        elif state.mode in self._blocked_in:
            return
        elif state.mode == "delay":
            reactor.callLater(state.delay_s, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data):
        if self.peer.transport is not None:
            self.peer.transport.write(data)


class ProxyFactory(Factory):
    """Accepts connections and connects each to the target."""

    noisy = False

    def __init__(self, state, host, target_port):
        self._state = state
        self._target = TCP4ClientEndpoint(
            reactor, host, target_port, _CONNECT_TIMEOUT_S
        )

    def buildProtocol(self, address):
        """Return the near end of a new connection, or None to refuse it."""
        if self._state.mode == "reset":
            return None
        near = Side(self._state, ("deaf", "silent"))
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: Side(self._state, ("mute", "silent"))
        connected = self._target.connect(factory)
        connected.addCallbacks(
            lambda far: (far.join(near), near.join(far)),
            lambda _failure: near.transport and near.transport.abortConnection(),
        )
        return near


class ControlResource(Resource):
    """Sets the mode."""

    isLeaf = True

    def __init__(self, state):
        super().__init__()
        self._state = state

    def render_POST(self, request):
        """Set what goes wrong from now on."""
        self._state.set(**msgspec.json.decode(request.content.read()))
        return b"{}"


def run(path: str):
    """Proxy until the process is ended."""
    document = settings.read(path, ["host", "port", "target_port", "control_port"])
    state, host = State(), document["host"]
    factory = ProxyFactory(state, host, document["target_port"])
    reactor.listenTCP(document["port"], factory, interface=host)
    control = Site(ControlResource(state))
    reactor.listenTCP(document["control_port"], control, interface=host)
    reactor.run()
