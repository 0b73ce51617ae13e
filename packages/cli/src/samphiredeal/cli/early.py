"""Listening before the rest of the program has been imported.

Importing takes most of the time of a start. Callers that connect meanwhile wait in
the queue of the socket instead of being refused.
"""

import socket

# Connections that may wait; callers of one entry come a few at a time.
_QUEUE_LENGTH = 50


def listen_early(address):
    """Return a socket that listens at ``host:port``.

    Raises `twisted.internet.error.CannotListenError` if the address is taken.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        from twisted.internet.error import CannotListenError

        raise CannotListenError(host, port, error) from error
    listener.listen(_QUEUE_LENGTH)
    return listener


def adopt(reactor, listener, factory):
    """Serve what connects to a socket of `listen_early` with a reactor."""
    reactor.adoptStreamPort(listener.fileno(), listener.family, factory)
    listener.close()
