"""Links that receive something else than messages."""

import pytest
from eliot.testing import MemoryLogger, swap_logger
from twisted.internet.testing import StringTransport

from samphiredeal.wire import codec, link
from samphiredeal.wire.messages import SchedulerQuery


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):
        """Accept the option, as a TCP transport does."""


def receive(data):
    """Return a link that has received bytes, and the messages in them."""
    received = []
    tcp_link = link.TcpLink()
    tcp_link.on_message = lambda _link, message: received.append(message)
    tcp_link.makeConnection(Transport())
    tcp_link.dataReceived(data)
    return tcp_link, received


def frame(data):
    return len(data).to_bytes(4, "big") + data


@pytest.mark.parametrize(
    "data",
    [
        frame(b""),
        frame(b"[" * 50_000),
        frame(b"\xff" * 200),
        (codec.MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_link_with_a_malformed_frame_is_closed_and_logged(data):
    logger = MemoryLogger()
    before = swap_logger(logger)
    try:
        tcp_link, received = receive(frame(codec.encode(SchedulerQuery(1))) + data)
    finally:
        swap_logger(before)
    assert received == [SchedulerQuery(1)]
    assert tcp_link.transport.disconnecting
    assert [one["message_type"] for one in logger.messages] == ["frame_unreadable"]


@pytest.mark.parametrize("address", ["10.0.0.1:99999", "nowhere:80", "", "10.0.0.1"])
def test_connection_to_a_malformed_address_fails(address):
    failures = []
    link.connect(None, address).addErrback(failures.append)
    assert failures[0].check(ValueError)
