"""An executor, as PROTOCOL.md describes it, and the gangs of all executors."""

import asyncio
import time
from typing import NamedTuple

from . import web

HEARTBEAT_S = 1.5
STOP_S = 0.05
# A sick executor fails a task this long after its start.
FAIL_AFTER_S = 0.07
# What a message between two executors takes.
MESSAGE_S = 0.002


class Task(NamedTuple):
    """What a task is: its work in seconds, and its step's fields as submitted."""

    work_s: float
    step: dict


class Run:
    """A run on an executor; `began_at` is None while a gang is not complete."""

    def __init__(self, executor, name, run, task):
        self.executor = executor
        self.name = name
        self.run = run
        self.task = task
        self.began_at = None
        self.timers = []
        self.ending = False

    @property
    def gang(self):
        """The gang's name, or None."""
        if not self.task.step.get("gang"):
            return None
        return (self.name.rpartition(".")[0], self.run)

    def percent(self):
        """Return the share of the work that is done; 100 for a lasting task."""
        if self.began_at is None:
            return 0
        if self.task.step.get("long-running"):
            return 100
        worked_s = time.monotonic() - self.began_at
        return min(99, int(100 * worked_s / max(self.task.work_s, 0.001)))


class Gangs:
    """The members of gangs that are present, by gang."""

    def __init__(self):
        self._members = {}

    def join(self, run):
        """Add a member; return all members once the gang is complete, or None."""
        members = self._members.setdefault(run.gang, [])
        members.append(run)
        return members if len(members) == run.task.step["count"] else None

    def leave(self, run):
        """Remove all members of a gang of which one has ended; return the others."""
        members = self._members.pop(run.gang, [])
        return [one for one in members if one is not run]


class Executor:
    """One life of an executor, and its heartbeats to its machine's agent.

    `describe(task)` returns the `Task` of a name, and `record(kind, **fields)` notes
    what happens here.
    """

    def __init__(self, name, zone, rack, agent, describe, record, gangs, bounds):
        self.name = name
        self.id = f"i-{name}"
        self.zone = zone
        self.rack = rack
        self.agent = agent
        self.capacity = {"cpu": 32000, "mem-mb": 131072, "gpu": 8}
        self.service = "desk"
        self._describe = describe
        self._record = record
        self._gangs = gangs
        self._bounds = bounds
        self._server = None
        self._beats = None
        self._lease_watch = None
        self._new_life()
        # Disruptions.
        self.is_sick = False
        self.is_mute = False
        self.remaining_ms = None

    def _new_life(self):
        self._zero = time.monotonic()
        self.born = int(time.time() * 1000)
        self.running = {}
        self.ended = []
        self._end_count = 0
        self._highest = {}
        self._token = 0
        self._deadline_ms = 0
        self._sequence = 0
        self._end_listed = asyncio.Event()

    def clock_ms(self):
        """Return the time on this executor's own steady clock."""
        return int((time.monotonic() - self._zero) * 1000)

    async def listen(self, host, port):
        """Begin to serve and to send heartbeats; return the address."""
        self._server = web.Server(self._handle)
        self._port = await self._server.listen(host, port)
        self._host = host
        self._beats = asyncio.create_task(self._send_heartbeats())
        self._lease_watch = asyncio.create_task(self._watch_lease())
        return f"{host}:{self._port}"

    async def close(self):
        """End this executor and all that it runs; it says nothing."""
        for task in (self._beats, self._lease_watch):
            if task is not None:
                task.cancel()
        for run in list(self.running.values()):
            self._cancel(run)
            self._record("lost", executor=self.name, task=run.name, run=run.run)
            self._break_others(run)
        self.running = {}
        if self._server is not None:
            await self._server.close()
            self._server = None

    async def leave(self, announced_s):
        """Drain for a time, deregister and end."""
        self.remaining_ms = int(announced_s * 1000)
        self._leaves_at = time.monotonic() + announced_s
        await self._heartbeat()
        await asyncio.sleep(announced_s + 0.2)
        await web.call(self.agent, "POST", f"/api/Instances.Deregister/{self.id}", {})
        await self.close()

    # Heartbeats

    async def _send_heartbeats(self):
        while True:
            await self._heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _heartbeat(self):
        self._sequence += 1
        document = {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "sequence": self._sequence,
        }
        if self.remaining_ms is not None:
            document["state"] = "draining"
            left_s = self._leaves_at - time.monotonic()
            document["remaining-ms"] = max(0, int(left_s * 1000))
        path = f"/api/Instances.Heartbeat/{self.id}"
        await web.call(self.agent, "POST", path, document, timeout_s=1.0)

    # Calls

    async def _handle(self, request):
        if self.is_mute:
            return web.NO_ANSWER
        if request.headers.get("x-expected-instance", self.id) != self.id:
            return 421, {}
        body = request.document
        call = request.path.removeprefix("/api/")
        handler = {
            "run-start": self._start,
            "run-stop": self._stop,
            "hold": self._hold,
        }.get(call)
        if handler is None:
            return 404, {}
        token = body.get("fencing-token", 0)
        if token < self._token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self._token = token
        status, fields = await handler(body)
        return status, {"clock-ms": self.clock_ms(), **fields}

    def _extend(self, deadline_ms):
        latest_ms = self.clock_ms() + self._bounds["max-hold-ms"]
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest_ms))

    async def _start(self, body):
        name, run = body["task"], body["run"]
        present = self.running.get(name)
        if present is not None and present.run == run:
            self._extend(body["deadline-ms"])
            return 200, {}
        if run <= self._highest.get(name, 0):
            self._extend(body["deadline-ms"])
            return 409, {"reason": "old"}
        if body["deadline-ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["deadline-ms"])
        self._highest[name] = run
        one = Run(self, name, run, self._describe(name))
        self.running[name] = one
        self._record("start", executor=self.name, task=name, run=run)
        self._begin(one)
        return 200, {}

    def _begin(self, run):
        if self.is_sick:
            self._later(run, FAIL_AFTER_S, self._fail_gang_here, run)
        if run.gang is None:
            self._work(run)
            return
        whole = self._gangs.join(run)
        if whole is None:
            timeout_s = self._bounds["gang-timeout-ms"] / 1000
            self._later(run, timeout_s, self._end_alone, run)
            return
        for member in whole:
            member.executor._work(member)

    def _work(self, run):
        run.began_at = time.monotonic()
        if not self.is_sick and not run.task.step.get("long-running"):
            self._later(run, run.task.work_s, self._end, run, "done")

    def sicken(self):
        """Fail all that has been started here, and all that will be."""
        self.is_sick = True
        self._record("sick", executor=self.name)
        for run in list(self.running.values()):
            self._fail_gang_here(run)

    def recover(self):
        """Fail nothing any more."""
        self.is_sick = False
        self._record("well", executor=self.name)

    def _end_alone(self, run):
        if run.began_at is None:
            self._end(run, "alone")

    def _fail_gang_here(self, run):
        """Fail a run, and those of its gang that this executor has started as well."""
        mates = [
            one
            for one in self.running.values()
            if run.gang is not None and one.gang == run.gang
        ]
        for one in {id(each): each for each in (run, *mates)}.values():
            self._end(one, "failed")

    async def _stop(self, body):
        name, run = body["task"], body["run"]
        self._highest[name] = max(self._highest.get(name, 0), run)
        present = self.running.get(name)
        if present is not None and present.run <= run:
            self._later(present, STOP_S, self._end, present, "stopped")
        return 200, {}

    async def _hold(self, body):
        seen = body.get("last-seen", 0)
        for end in self.ended:
            if end[0] <= seen:
                fields = {"task": end[1], "run": end[2], "how": end[3]}
                self._record("noted", executor=self.name, **fields)
        self.ended = [end for end in self.ended if end[0] > seen]
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        wait_s = body.get("wait-ms", 0) / 1000
        if wait_s and not self.ended:
            listed = self._end_listed
            try:
                async with asyncio.timeout(wait_s):
                    await listed.wait()
            except TimeoutError:
                pass
        running = [
            [one.name, one.run, "", one.percent(), 0] for one in self.running.values()
        ]
        lists = {"born": self.born, "running": running, "ended": self.ended[:500]}
        return 200, lists

    # Ends

    def _later(self, run, seconds, function, *arguments):
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(seconds, function, *arguments))

    def _cancel(self, run):
        run.ending = True
        for timer in run.timers:
            timer.cancel()

    def _end(self, run, how):
        if run.ending:
            return
        self._cancel(run)
        self.running.pop(run.name, None)
        self._end_count += 1
        self.ended.append([self._end_count, run.name, run.run, how, ""])
        self._record("end", executor=self.name, task=run.name, run=run.run, how=how)
        self._end_listed.set()
        self._end_listed = asyncio.Event()
        self._break_others(run, "done" if how == "done" else "broken")

    def _break_others(self, run, how="broken"):
        if run.gang is None:
            return
        loop = asyncio.get_running_loop()
        for other in self._gangs.leave(run):
            loop.call_later(MESSAGE_S, other.executor._end, other, how)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() >= self._deadline_ms:
                self._record("lapsed", executor=self.name)
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
