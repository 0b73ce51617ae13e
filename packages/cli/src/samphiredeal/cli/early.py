"""Listening before the rest of the program is imported.

Imports take most of the start-up time. Connections made meanwhile wait in the backlog
of the socket instead of being refused.
"""

import socket

# Pending connections; an entry gets few new connections at a time.
_BACKLOG = 50


def listen_early(address):
    """Return a socket that listens at ``host:port``.

    Raise `twisted.internet.error.CannotListenError` if the address is in use.
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
    listener.listen(_BACKLOG)
    return listener


def adopt(reactor, listener, factory):
    """Serve the connections to a socket of `listen_early` with a reactor."""
    reactor.adoptStreamPort(listener.fileno(), listener.family, factory)
    listener.close()
