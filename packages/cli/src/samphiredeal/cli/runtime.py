"""What both roles need at start-up: clocks, logging and graceful shutdown."""

import signal
import sys
import time
import uuid

from eliot import FileDestination, add_destinations, log_message
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred


class MonotonicClock:
    """A reactor clock on monotonic time.

    The reactor's own ``seconds`` follows the wall clock. When that is set, the age
    of permits and leases would jump.
    """

    def callLater(self, delay, callable, *args, **kwargs):
        """Call later; see `IReactorTime.callLater`."""
        return reactor.callLater(delay, callable, *args, **kwargs)

    def getDelayedCalls(self):
        """Return the pending calls; see `IReactorTime.getDelayedCalls`."""
        return reactor.getDelayedCalls()

    def seconds(self):
        """Return monotonic seconds."""
        return time.monotonic()


def use_boottime_clock(reactor):
    """Make a reactor use monotonic time that includes the time spent suspended.

    The reactor's own ``seconds`` is the wall clock. When that is set, timers would
    fire early or late.
    """
    reactor.seconds = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


def new_incarnation():
    """Return an id for this incarnation of the process."""
    return uuid.uuid4().hex[:12]


def log_to_stdout():
    """Write logs as JSON lines to standard output."""
    add_destinations(FileDestination(file=sys.stdout))


def stop_on_sigterm(drain):
    """Shut down gracefully on the first SIGTERM or SIGINT, at once on the second.

    `drain` is a coroutine function; the process exits with status 0 once it returns.
    """
    state = {"stopping": False}

    def on_signal(signum, _frame):
        if state["stopping"]:
            reactor.callFromThread(reactor.stop)
            return
        state["stopping"] = True
        reactor.callFromThread(begin_drain)

    def begin_drain():
        log_message(message_type="drain_begun")
        ensureDeferred(drain()).addBoth(end_drain)

    def end_drain(result):
        log_message(message_type="drain_ended", result=str(result))
        if reactor.running:
            reactor.stop()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
