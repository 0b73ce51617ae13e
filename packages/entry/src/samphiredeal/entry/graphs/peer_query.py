"""One question to another entry, over a link of its own."""

from typing import NamedTuple

from twisted.internet.defer import Deferred

from samphiredeal.platform.table import within
from samphiredeal.wire.messages import AskReply

# Connections between entries either succeed within milliseconds or hang.
_CONNECT_TIMEOUT_S = 0.2


class NoLink(NamedTuple):
    """Nothing has been sent, for this reason."""

    reason: str


class NoReply(NamedTuple):
    """The question was sent, and no reply came in time."""


async def query(clock, connect, address, ask, timeout_s):
    """Return the document of the reply to an `Ask`, a `NoLink` or a `NoReply`.

    `connect(address)` returns a Deferred of a link. `timeout_s` limits the time to
    connect and to wait for the reply together.
    """
    give_up_at = clock.seconds() + timeout_s
    try:
        link = await connect(address).addTimeout(
            min(_CONNECT_TIMEOUT_S, timeout_s), clock
        )
    except Exception as error:
        # Whatever the cause, nothing has been sent.
        return NoLink(type(error).__name__)
    replied = Deferred()
    link.on_message = lambda _link, message: _deliver(replied, message)
    link.on_lost = lambda _link: _deliver(replied, None)
    link.send(ask)
    reply = await within(clock, give_up_at - clock.seconds(), replied)
    link.close()
    return reply.document if isinstance(reply, AskReply) else NoReply()


def _deliver(replied, message):
    if not replied.called:
        replied.callback(message)
