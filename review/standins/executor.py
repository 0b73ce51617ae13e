"""A stand-in for an executor: runs tasks, keeps their lease and sends heartbeats.

A task's `spec` is JSON: ``ms`` is its run time, ``lasts`` makes it run until it is
stopped, and ``saves`` makes it write checkpoints. Gangs and
tickets are not simulated.
"""

import asyncio
import contextlib
import json
import random
import time

from standins.http import LOST, Server, call

_HEARTBEAT_S = 1.5
_FIRST_HEARTBEAT_WITHIN_S = 0.25
_LEASE_CHECK_S = 0.02
_MAX_LISTED_ENDS = 500
_STARTUP_S = 0.2
_START_ANSWER_S = 0.01


class _Run:
    """A run on an executor."""

    def __init__(self, task, run, spec, checkpoint, save_every_s):
        self.task = task
        self.run = run
        self.spec = json.loads(spec)
        self.base_s = int(checkpoint, 16) / 1000 if checkpoint else 0.0
        self._save_every_s = save_every_s
        self.began_at = time.monotonic()

    @property
    def worked_s(self):
        return self.base_s + time.monotonic() - self.began_at

    @property
    def saved(self):
        if not self.spec.get("saves"):
            return ""
        saved_s = self.worked_s // self._save_every_s * self._save_every_s
        return f"{int(saved_s * 1000):016x}" if saved_s else ""

    @property
    def percent(self):
        if self.spec.get("lasts"):
            return 100 if self.worked_s > _STARTUP_S else 0
        return min(100, int(100_000 * self.worked_s / self.spec["ms"]))

    @property
    def is_over(self):
        return not self.spec.get("lasts") and self.worked_s * 1000 >= self.spec["ms"]


class Executor:
    """One executor on the machine of one agent.

    `record(event, **fields)` is called for each start and end. `loses_answer()`
    returns whether the answer to a call that was carried out is lost.
    """

    def __init__(self, name, ports, place, site, record):
        self.name = name
        self.id = f"i-{name}"
        self.port, self._agent_port = ports
        self._zone, self._rack = place
        self._service = "desk"
        self._capacity = site.capacity
        self._save_every_s = site.bounds["checkpoint-interval-s"]
        self._max_hold_ms = site.bounds["max-hold-ms"]
        self._record = record
        self.loses_answer = lambda: False
        self._server = Server(self.port, self._handle)
        self._tasks = []
        self._begin_life()

    async def start(self):
        """Begin a life: listen, and send heartbeats."""
        self._begin_life()
        await self._server.start()
        self._tasks = [
            asyncio.ensure_future(self._send_heartbeats()),
            asyncio.ensure_future(self._watch_runs()),
        ]

    async def crash(self):
        """End this life at once, with all that runs."""
        await self._server.stop()
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        for run in list(self._running.values()):
            self._record(
                "end", executor=self.id, task=run.task, run=run.run, how="crashed"
            )
        self._running.clear()

    @property
    def running(self):
        """The tasks at work."""
        return list(self._running)

    def _begin_life(self):
        self.born_ms = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        self._sequence = 0
        self._running = {}
        self._ends = []
        self._end_count = 0
        self._highest = {}
        self._fence = 0
        self._deadline_ms = 0
        self._ended = asyncio.Event()

    def _clock_ms(self):
        return int((time.monotonic() - self._clock_zero) * 1000)

    # Calls of the agent

    async def _handle(self, request):
        expected = request.headers.get("x-expected-instance")
        if expected and expected != self.id:
            return 421, {"clock-ms": self._clock_ms()}
        body = json.loads(request.body)
        handle = {
            "/api/run-start": self._start,
            "/api/run-stop": self._stop,
            "/api/hold": self._hold,
        }.get(request.path)
        if handle is None:
            return 404, {}
        fence = body.get("fencing-token", 0)
        if fence < self._fence:
            return 409, {"clock-ms": self._clock_ms(), "reason": "fence"}
        self._fence = fence
        status, fields = await handle(body)
        if request.path == "/api/run-start":
            await asyncio.sleep(_START_ANSWER_S)
        if self.loses_answer():
            self._record("answer lost", executor=self.id, call=request.path)
            return LOST
        return status, {"clock-ms": self._clock_ms(), **fields}

    async def _start(self, body):
        task, number = body["task"], body["run"]
        present = self._running.get(task)
        if present is not None and present.run == number:
            self._extend(body)
            return 200, {}
        if number <= self._highest.get(task, 0):
            self._extend(body)
            return 409, {"reason": "old"}
        if body["deadline-ms"] <= self._clock_ms():
            return 409, {"reason": "late"}
        self._extend(body)
        self._highest[task] = number
        self._running[task] = _Run(
            task,
            number,
            body["spec"],
            body.get("checkpoint", ""),
            self._save_every_s,
        )
        self._record("start", executor=self.id, task=task, run=number)
        return 200, {}

    async def _stop(self, body):
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        present = self._running.get(task)
        if present is not None and present.run == number:
            self._end(present, "stopped")
        return 200, {}

    async def _hold(self, body):
        if "deadline-ms" in body:
            self._extend(body)
        self._ends = [end for end in self._ends if end[0] > body["last-seen"]]
        wait_s = min(2000, body.get("wait-ms", 0)) / 1000
        if not self._ends and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        running = [
            [run.task, run.run, run.saved, run.percent, 0]
            for run in self._running.values()
        ]
        ended = self._ends[:_MAX_LISTED_ENDS]
        return 200, {"born": self.born_ms, "running": running, "ended": ended}

    def _extend(self, body):
        latest = self._clock_ms() + self._max_hold_ms
        self._deadline_ms = max(self._deadline_ms, min(body["deadline-ms"], latest))

    def _end(self, run, how):
        self._running.pop(run.task, None)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.run, how, run.saved])
        self._record("end", executor=self.id, task=run.task, run=run.run, how=how)
        self._ended.set()
        self._ended = asyncio.Event()

    async def _watch_runs(self):
        while True:
            for run in list(self._running.values()):
                if run.is_over:
                    self._end(run, "done")
            if self._running and self._clock_ms() > self._deadline_ms:
                for run in list(self._running.values()):
                    self._end(run, "lapsed")
            await asyncio.sleep(_LEASE_CHECK_S)

    async def _send_heartbeats(self):
        await asyncio.sleep(random.uniform(0, _FIRST_HEARTBEAT_WITHIN_S))
        while True:
            self._sequence += 1
            document = {
                "service": self._service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "capacity": self._capacity,
                "labels": ["a", self._rack],
                "clock-ms": self._clock_ms(),
                "sequence": self._sequence,
                "born": self.born_ms,
            }
            path = f"/api/Instances.Heartbeat/{self.id}"
            await call(self._agent_port, "POST", path, document, timeout_s=1.0)
            await asyncio.sleep(_HEARTBEAT_S)
