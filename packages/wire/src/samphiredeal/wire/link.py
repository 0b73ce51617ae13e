"""Links: ordered two-way streams of messages between two processes.

A link has ``send(message)`` and ``close()``; its owner sets the callbacks
``on_message(link, message)`` and ``on_lost(link)``. A link does not detect a peer
that has stopped responding: owners need timeouts of their own. `TcpLink` is a link
over TCP with length-prefixed frames; tests use links in memory.
"""

from eliot import log_message
from twisted.internet.defer import fail
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from samphiredeal.model.untrusted import parse_address
from samphiredeal.wire import codec

CONNECT_TIMEOUT_S = 1.0


def _ignore(*_args):
    """Do nothing; the default until the owner sets a callback."""


class TcpLink(Int32StringReceiver):
    """A link over one TCP connection."""

    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self):
        self.on_message = _ignore
        self.on_lost = _ignore

    def send(self, message):
        """Send one message; does nothing once the connection is lost."""
        if self.transport is not None and self.connected:
            self.sendString(codec.encode(message))

    def close(self):
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionMade(self):
        """Disable Nagle's algorithm, which would delay each request."""
        self.transport.setTcpNoDelay(True)

    def stringReceived(self, string):
        """Decode a frame and pass on the message; close the link if malformed."""
        try:
            message = codec.decode(string)
        except codec.DecodeError as error:
            self._refuse_frame(str(error))
            return
        self.on_message(self, message)

    def _refuse_frame(self, reason):
        peer = getattr(self.transport.getPeer(), "host", "")
        log_message(message_type="frame_unreadable", peer=peer, reason=reason)
        self.close()

    def lengthLimitExceeded(self, length):
        """Close the link: the frame announces more than `MAX_LENGTH` bytes."""
        self._refuse_frame(f"{length} bytes exceed the limit of {self.MAX_LENGTH}")

    def connectionLost(self, reason):
        """Notify the owner that the connection is closed."""
        self.on_lost(self)


def listen(reactor, host, port, on_link):
    """Accept links, and pass each to `on_link(link)`, which sets its callbacks.

    Return a Deferred of the listening port.
    """
    factory = Factory()

    def build(address):
        link = TcpLink()
        on_link(link)
        return link

    factory.buildProtocol = build
    return TCP4ServerEndpoint(reactor, port, interface=host).listen(factory)


def connect(reactor, address):
    """Return a Deferred of a link to ``address:port``; it fails without connection.

    The address is an IP address; there is no name resolution. A malformed one fails
    like one that cannot be reached.
    """
    try:
        host, port = parse_address(address)
    except ValueError:
        return fail()
    endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_TIMEOUT_S)
    factory = Factory()
    factory.buildProtocol = lambda _address: TcpLink()
    return endpoint.connect(factory)
