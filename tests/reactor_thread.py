"""Runs the real reactor in a thread, for tests that need sockets."""

import threading

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import blockingCallFromThread

_started = []


def call_in_reactor(function, *arguments):
    """Call in the reactor's thread; return the result, awaited if asynchronous."""
    if not _started:
        _started.append(True)
        thread = threading.Thread(
            target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
        )
        thread.start()

    def run():
        result = function(*arguments)
        return ensureDeferred(result) if hasattr(result, "send") else result

    return blockingCallFromThread(reactor, run)
