"""A stand-in for a worker of the users' platform, with its HTTP interface.

Settings: ``host``, ``port``, ``name``, ``zone``, ``rack``, ``accelerators`` and
``agent_address``, to which heartbeats are sent. A task's payload is its run time in
seconds. Members of a gang don't wait for members on other workers.
``GET /runs`` returns how often each task has started, ``GET /history`` every start
and end as (time, kind, task, run, how), and ``GET /recorded`` every end that the agent
has confirmed as (time, task, run, how).

``POST /control`` injects the fault that ``fault`` names, with its arguments, after
``in_s``:

- ``restart``: begin a new life under ``id``, ``born_offset_ms`` after the start time
  of the last one, which may be negative; nobody listens for ``down_s``.
- ``rename``: go on under ``id``, with all that runs.
- ``close``: nobody listens for ``seconds``; with ``reset``, open connections end.
- ``heartbeats``: for ``seconds``, send each heartbeat ``copies`` times, the first
  after ``delay_s``.
- ``foreign_heartbeat``: another writer sends a heartbeat with ``id``,
  ``born_offset_ms`` and ``sequence``.
- ``omit_born``: the lists of runs have no start time for ``seconds``.
- ``fail_starts``: the next ``count`` runs fail, each ``after_s`` after its start; with
  ``job``, those of its tasks.
- ``fail_runs``: from now on, all runs numbered up to ``last`` fail, each ``after_s``
  after its start or up to ``spread_s`` later, which depends on the name of its task.
"""

import collections
import random
import zlib

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.protocols.policies import WrappingFactory
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from samphiredeal.model.runs import Refused, RunId, StartOrder, WorkerFacts
from samphiredeal.model.shape import Shape
from samphiredeal.platform import executor
from samphiredeal.platform.client import HttpClient
from samphiredeal.platform.memory_worker import MemoryWorker, Work
from samphiredeal.platform.table import Unavailable
from samphiredeal.standins import settings

_HEARTBEAT_INTERVAL_S = 1.5
_FIRST_HEARTBEAT_WITHIN_S = 0.25
# The time between two copies of a heartbeat.
_COPY_DELAY_S = 0.3
_CALL_TIMEOUT_S = 1.0
_CPU_MILLI_PER_ACCELERATOR = 4000
_MEMORY_MB_PER_ACCELERATOR = 16_000


class LifeClock:
    """The reactor's clock, counted from the start of one life of a worker."""

    def __init__(self):
        self._zero = reactor.seconds()
        self.callLater = reactor.callLater

    def seconds(self):
        """Return the seconds since the start of this life."""
        return reactor.seconds() - self._zero


class Heartbeats:
    """Sends the heartbeats of one life after another to the agent."""

    def __init__(self, agent):
        self._agent = agent
        self._timer = None
        self._facts = None
        self._sequence = 0
        self._disturbed_until = 0.0
        self._delay_s = 0.0
        self._copies = 1

    def begin_life(self, facts):
        """Send the heartbeats of a new life; those in flight still arrive."""
        if self._timer is not None:
            self._timer.cancel()
        self._facts, self._sequence = facts, 0
        first_s = random.uniform(0, _FIRST_HEARTBEAT_WITHIN_S)
        self._timer = reactor.callLater(first_s, self._send_next)

    def rename(self, facts):
        """Go on with other facts."""
        self._facts = facts

    def disturb(self, seconds, delay_s, copies):
        """Delay each heartbeat for a while, and send it several times."""
        self._disturbed_until = reactor.seconds() + seconds
        self._delay_s, self._copies = delay_s, copies

    def send(self, facts, sequence):
        """Send one heartbeat."""
        body = executor.encode_heartbeat(facts, sequence)
        path = f"/api/Instances.Heartbeat/{facts.id}".encode()
        ensureDeferred(self._agent.call(b"POST", path, body))

    def _send_next(self):
        self._timer = reactor.callLater(_HEARTBEAT_INTERVAL_S, self._send_next)
        self._sequence += 1
        if reactor.seconds() >= self._disturbed_until:
            self.send(self._facts, self._sequence)
            return
        for copy in range(self._copies):
            delay_s = self._delay_s + copy * _COPY_DELAY_S
            reactor.callLater(delay_s, self.send, self._facts, self._sequence)


class WorkerResource(Resource):
    """Serves the calls of one worker, and injects faults."""

    isLeaf = True

    def __init__(self, facts, heartbeats):
        super().__init__()
        self._payloads = {}
        self._starts = collections.Counter()
        self._history = []
        self._recorded = []
        self._omits_born_until = 0.0
        self._last_failing_run = 0
        self._fail_after_s = self._fail_spread_s = 0.0
        self._heartbeats = heartbeats
        self._factory = WrappingFactory(Site(self))
        self._listener = None
        self._address = None
        self._begin_life(facts)

    def listen(self, host, port):
        """Accept calls."""
        self._address = (port, self._factory, 50, host)
        self._listener = reactor.listenTCP(*self._address)

    def render_GET(self, request):
        """Return the number of starts of each task, or what has happened."""
        content = {b"/history": self._history, b"/recorded": self._recorded}
        return msgspec.json.encode(content.get(request.path, self._starts))

    def render_POST(self, request):
        """Process one call of the agent, or inject a fault."""
        if request.path == b"/control":
            arguments = msgspec.json.decode(request.content.read())
            inject = getattr(self, "_fault_" + arguments.pop("fault"))
            # By default, the caller gets its answer before connections are reset.
            in_s = arguments.pop("in_s", 0.01)
            reactor.callLater(in_s, lambda: inject(**arguments))
            return b"{}"
        ensureDeferred(self._answer(request))
        return NOT_DONE_YET

    # Faults

    def _begin_life(self, facts):
        self.worker = MemoryWorker(
            LifeClock(), facts, self._describe, watch=self._record_event
        )
        self._heartbeats.begin_life(facts)

    def _fault_restart(self, id, born_offset_ms, down_s=0.05):
        facts = self.worker.facts
        facts = facts._replace(id=id, born_ms=facts.born_ms + born_offset_ms)
        self._fault_close(down_s, reset=True)
        self.worker.crash()
        self._begin_life(facts)

    def _fault_rename(self, id):
        self.worker.facts = self.worker.facts._replace(id=id)
        self._heartbeats.rename(self.worker.facts)

    def _fault_close(self, seconds, reset=False):
        if self._listener is not None:
            self._listener.stopListening()
            self._listener = None
            reactor.callLater(seconds, self._listen_again)
        if reset:
            for connection in list(self._factory.protocols):
                connection.transport.abortConnection()

    def _listen_again(self):
        self._listener = reactor.listenTCP(*self._address)

    def _fault_heartbeats(self, seconds, delay_s=0.0, copies=1):
        self._heartbeats.disturb(seconds, delay_s, copies)

    def _fault_foreign_heartbeat(self, id, born_offset_ms, sequence):
        facts = self.worker.facts
        facts = facts._replace(id=id, born_ms=facts.born_ms + born_offset_ms)
        self._heartbeats.send(facts, sequence)

    def _fault_omit_born(self, seconds):
        self._omits_born_until = reactor.seconds() + seconds

    def _fault_fail_starts(self, count, after_s, job=""):
        self.worker.faults.fail_starts = count
        self.worker.faults.fail_job = job
        self.worker.faults.fail_after_s = after_s

    def _fault_fail_runs(self, last, after_s, spread_s=0.0):
        self._last_failing_run = last
        self._fail_after_s, self._fail_spread_s = after_s, spread_s

    # Calls of the agent

    async def _answer(self, request):
        worker = self.worker
        body = msgspec.json.decode(request.content.read())
        handle = {
            b"/api/run-start": self._start,
            b"/api/run-stop": self._stop,
            b"/api/hold": self._poll,
        }[request.path]
        expected = request.getHeader("x-expected-instance")
        if expected in (None, worker.facts.id):
            status, fields = await handle(body)
        else:
            status, fields = 421, {}
        if request._disconnected or self.worker is not worker:
            return
        clock_ms = int(worker.clock.seconds() * 1000)
        request.setResponseCode(status)
        request.write(msgspec.json.encode({"clock-ms": clock_ms, **fields}))
        request.finish()

    async def _start(self, body):
        self._payloads[body["task"]] = body["spec"]
        if self._last_failing_run:
            self._set_outcome(body["task"], body["run"])
        order = StartOrder(
            body["task"], body["run"], body["spec"], body.get("checkpoint", "")
        )
        answer = await self.worker.start(
            order,
            body["fencing-token"],
            body["deadline-ms"],
            _CALL_TIMEOUT_S,
            self.worker.facts.id,
        )
        if isinstance(answer, Refused):
            return 409, {"reason": executor.REFUSAL_REASON_NAMES[answer.reason]}
        return 200, {}

    def _set_outcome(self, task, run):
        faults = self.worker.faults
        # A refused start leaves it set; the next start sets it again.
        faults.fail_starts = int(run <= self._last_failing_run)
        share = zlib.crc32(task.encode()) % 1000 / 1000
        faults.fail_after_s = self._fail_after_s + share * self._fail_spread_s

    async def _stop(self, body):
        run = RunId(body["task"], body["run"])
        answer = await self.worker.stop(
            run, body["fencing-token"], _CALL_TIMEOUT_S, self.worker.facts.id
        )
        return (409, {}) if isinstance(answer, Unavailable) else (200, {})

    async def _poll(self, body):
        result = await self.worker.poll(
            body["fencing-token"],
            body["last-seen"],
            body.get("deadline-ms"),
            body.get("wait-ms", 0) / 1000,
            self.worker.facts.id,
        )
        if isinstance(result, Unavailable):
            return 503, {}
        fields = {
            "born": result.born_ms,
            "running": [list(run) for run in result.running],
            "ended": [list(run) for run in result.ended],
        }
        if reactor.seconds() < self._omits_born_until:
            del fields["born"]
        return 200, fields

    def _describe(self, task):
        return Work(float(self._payloads.get(task) or 1.0))

    def _record_event(self, event, worker, task, run, how):
        if event == "recorded":
            self._recorded.append((reactor.seconds(), task, run, how))
            return
        if event == "lapsed":
            return
        self._history.append((reactor.seconds(), event, task, run, how))
        if event == "start":
            self._starts[task] += 1


def run(path: str):
    """Serve until the process is stopped."""
    document = settings.read(path, ["host", "port", "name", "zone", "agent_address"])
    accelerators = document.get("accelerators", 8)
    facts = WorkerFacts(
        id=f"i-{document['name']}",
        born_ms=int(reactor.seconds() * 1000),
        service="desk",
        zone=document["zone"],
        capacity=Shape(
            _CPU_MILLI_PER_ACCELERATOR * accelerators,
            _MEMORY_MB_PER_ACCELERATOR * accelerators,
            accelerators,
        ),
        labels=("a", document.get("rack", "r1")),
    )
    agent = HttpClient(reactor, f"http://{document['agent_address']}")
    resource = WorkerResource(facts, Heartbeats(agent))
    resource.listen(document["host"], document["port"])
    reactor.run()
