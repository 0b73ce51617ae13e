"""What each role starts with: a monotonic clock, logs and planned stops."""

import signal
import sys
import time
import uuid

from eliot import FileDestination, add_destinations, log_message
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred


class MonotonicClock:
    """The reactor's delayed calls with a clock that never steps.

    The reactor's own ``seconds`` follows the wall clock, on which the age of a
    permit or lease would jump.
    """

    def callLater(self, delay, callable, *args, **kwargs):
        """Call later; see `IReactorTime.callLater`."""
        return reactor.callLater(delay, callable, *args, **kwargs)

    def getDelayedCalls(self):
        """Return the calls that are due; see `IReactorTime.getDelayedCalls`."""
        return reactor.getDelayedCalls()

    def seconds(self):
        """Return monotonic seconds."""
        return time.monotonic()


def use_steady_clock(reactor):
    """Make a reactor count time that never steps and includes suspended time.

    The reactor's own ``seconds`` is the time of day, whose jumps would fire
    timers early or hold them back.
    """
    reactor.seconds = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


def new_incarnation():
    """Return an id for this run of the process."""
    return uuid.uuid4().hex[:12]


def log_to_stdout():
    """Write logs as JSON lines to standard output."""
    add_destinations(FileDestination(file=sys.stdout))


def stop_on_sigterm(drain):
    """Run a planned stop on the first SIGTERM or SIGINT, end at once on the second.

    `drain()` returns a coroutine; the process ends with status 0 after it.
    """
    state = {"stopping": False}

    def on_signal(signum, _frame):
        if state["stopping"]:
            reactor.callFromThread(reactor.stop)
            return
        state["stopping"] = True
        reactor.callFromThread(begin)

    def begin():
        log_message(message_type="drain_begun")
        ensureDeferred(drain()).addBoth(end)

    def end(result):
        log_message(message_type="drain_ended", result=str(result))
        if reactor.running:
            reactor.stop()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
