"""Periodic work on a clock; each coroutine runs at most once at a time.

A step that fails is logged and called again after its interval, since one fault
must not end the heartbeats, leases and scheduling of the process.
"""

from eliot import write_traceback
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall


class Periodic:
    """Calls functions at fixed intervals until it is stopped."""

    def __init__(self, clock):
        self._clock = clock
        self._loops = []
        self._running = set()

    def every(self, seconds, step):
        """Call a function at once, and again after each interval."""
        loop = LoopingCall(_guarded(step))
        loop.clock = self._clock
        self._loops.append(loop)
        loop.start(seconds, now=True)

    def every_coroutine(self, seconds, name, work):
        """Run a coroutine function at intervals; skip a run while the last one runs."""
        self.every(seconds, lambda: self._spawn(name, work))

    def stop(self):
        """Stop all periodic work."""
        for loop in self._loops:
            if loop.running:
                loop.stop()

    def _spawn(self, name, work):
        if name in self._running:
            return
        self._running.add(name)

        async def run():
            try:
                await work()
            except Exception:
                write_traceback()
            finally:
                self._running.discard(name)

        ensureDeferred(run())


def _guarded(step):
    """Return a function that calls a step and logs the exception if it raises."""

    def call():
        try:
            step()
        except Exception:
            write_traceback()

    return call
