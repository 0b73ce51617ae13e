"""Links: ordered two-way streams of messages between two processes.

A link has ``send(message)`` and ``close()``; its owner sets ``on_message`` and
``on_lost``, which are called with the link first. A link may fall silent
without being lost: owners bound the silence themselves. `TcpLink` is the link
over TCP with length-prefixed frames; tests join links in memory.
"""

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from samphiredeal.wire import codec

CONNECT_TIMEOUT_S = 1.0


def _ignore(*_args):
    """Stand in for a callback that the owner has not set yet."""


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
        """Turn off Nagle's delay, which would add to each request."""
        self.transport.setTcpNoDelay(True)

    def stringReceived(self, string):
        """Hand on a decoded frame; close the link on one that is malformed."""
        try:
            message = codec.decode(string)
        except codec.DecodeError:
            self.close()
            return
        self.on_message(self, message)

    def lengthLimitExceeded(self, length):
        """Close the link: the frame announces more than `MAX_LENGTH` bytes."""
        self.close()

    def connectionLost(self, reason):
        """Tell the owner that the link is gone."""
        self.on_lost(self)


def listen(reactor, host, port, on_link):
    """Accept links; `on_link(link)` sets the callbacks. Returns a Deferred."""
    factory = Factory()

    def build(address):
        link = TcpLink()
        on_link(link)
        return link

    factory.buildProtocol = build
    return TCP4ServerEndpoint(reactor, port, interface=host).listen(factory)


def connect(reactor, address):
    """Return a Deferred of a link to ``address:port``; it fails if none is made.

    The address is an IP address: nothing is looked up.
    """
    host, port = address.rsplit(":", 1)
    endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout=CONNECT_TIMEOUT_S)
    factory = Factory()
    factory.buildProtocol = lambda _address: TcpLink()
    return endpoint.connect(factory)
