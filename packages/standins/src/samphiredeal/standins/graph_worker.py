"""A stand-in for a worker of the users' platform, with its HTTP interface.

Settings: ``host``, ``port``, ``name``, ``zone``, ``rack``, ``accelerators`` and
``agent_address``, to which heartbeats are sent. A task's payload is its run time in
seconds. Members of a gang don't wait for members on other workers.
``GET /runs`` returns how often each task has started, ``GET /history`` every start
and end as (time, kind, task, run, how).
"""

import collections

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from samphiredeal.model.runs import Refused, RunId, StartOrder, WorkerFacts
from samphiredeal.model.shape import Shape
from samphiredeal.platform import executor
from samphiredeal.platform.client import HttpClient
from samphiredeal.platform.memory_worker import MemoryWorker, Work
from samphiredeal.platform.table import Unavailable
from samphiredeal.standins import settings

_HEARTBEAT_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 1.0
_CPU_MILLI_PER_ACCELERATOR = 4000
_MEMORY_MB_PER_ACCELERATOR = 16_000


class WorkerResource(Resource):
    """Serves the calls of one `MemoryWorker`."""

    isLeaf = True

    def __init__(self, facts):
        super().__init__()
        self._payloads = {}
        self._starts = collections.Counter()
        self._history = []
        self.worker = MemoryWorker(
            reactor, facts, self._describe, watch=self._record_event
        )

    def render_GET(self, request):
        """Return the number of starts of each task, or the history."""
        content = self._history if request.path == b"/history" else self._starts
        return msgspec.json.encode(content)

    def render_POST(self, request):
        """Process one call of the agent."""
        ensureDeferred(self._answer(request))
        return NOT_DONE_YET

    async def _answer(self, request):
        body = msgspec.json.decode(request.content.read())
        handle = {
            b"/api/run-start": self._start,
            b"/api/run-stop": self._stop,
            b"/api/hold": self._poll,
        }[request.path]
        expected = request.getHeader("x-expected-instance")
        if expected in (None, self.worker.facts.id):
            status, fields = await handle(body)
        else:
            status, fields = 421, {}
        if request._disconnected:
            return
        clock_ms = int(reactor.seconds() * 1000)
        request.setResponseCode(status)
        request.write(msgspec.json.encode({"clock-ms": clock_ms, **fields}))
        request.finish()

    async def _start(self, body):
        self._payloads[body["task"]] = body["spec"]
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
        return 200, {
            "born": result.born_ms,
            "running": [list(run) for run in result.running],
            "ended": [list(run) for run in result.ended],
        }

    def _describe(self, task):
        return Work(float(self._payloads.get(task) or 1.0))

    def _record_event(self, event, _worker, task, run, how):
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
    resource = WorkerResource(facts)
    reactor.listenTCP(document["port"], Site(resource), interface=document["host"])
    agent = HttpClient(reactor, f"http://{document['agent_address']}")
    sequence = iter(range(1, 1 << 62))

    def send_heartbeat():
        body = executor.encode_heartbeat(facts, next(sequence))
        path = f"/api/Instances.Heartbeat/{facts.id}".encode()
        ensureDeferred(agent.call(b"POST", path, body))

    LoopingCall(send_heartbeat).start(_HEARTBEAT_INTERVAL_S)
    reactor.run()
