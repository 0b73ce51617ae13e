"""A stand-in for a worker's runtime: simulated tasks under leases.

A job's command is ``sleep SECONDS`` or ``fail``. A checkpoint keeps the whole seconds
of work done. The usage report is always empty.
"""

import msgspec
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import Site

from samphiredeal.standins import settings

CHECK_INTERVAL_S = 0.2


class Task:
    """One task: the members of an attempt on this worker."""

    def __init__(self, job, count, now, lease_s):
        self.state = "running"
        self.detail = ""
        self.job = job
        self.count = count
        self.started_at = now
        self.lease_s = lease_s
        self.renewed_at = now

    def work_s(self, now):
        """Return the seconds of work done, rounded down."""
        return float(int(now - self.started_at))


class Runtime:
    """The tasks of a worker, without I/O."""

    def __init__(self, clock):
        self._clock = clock
        self._tasks = {}
        self._loop = LoopingCall(self.check)
        self._loop.clock = clock
        self._loop.start(CHECK_INTERVAL_S, now=False)

    @property
    def tasks(self):
        """Tasks by attempt id."""
        return self._tasks

    def start(self, attempt_id, job, count, lease_s):
        """Start a task, unless the attempt has been started before."""
        if attempt_id not in self._tasks:
            self._tasks[attempt_id] = Task(job, count, self._clock.seconds(), lease_s)

    def renew(self, attempt_ids):
        """Renew the leases of attempts."""
        for attempt_id in attempt_ids:
            if attempt_id in self._tasks:
                self._tasks[attempt_id].renewed_at = self._clock.seconds()

    def stop(self, attempt_id, checkpoint):
        """Stop a task; return the seconds of work saved by its checkpoint."""
        task = self._tasks.get(attempt_id)
        if task is None or task.state != "running":
            return 0.0
        task.state = "stopped"
        return task.work_s(self._clock.seconds()) if checkpoint else 0.0

    def reset(self):
        """Stop all tasks."""
        for attempt_id in list(self._tasks):
            self.stop(attempt_id, False)

    def check(self):
        """Update tasks that are done, fail, or whose lease has lapsed."""
        now = self._clock.seconds()
        for task in self._tasks.values():
            if task.state != "running":
                continue
            command = (task.job.get("command") or "sleep 1").split()
            if now - task.renewed_at > task.lease_s:
                task.state, task.detail = "stopped", "the lease lapsed"
            elif command[0] == "fail":
                task.state, task.detail = "failed", "the command failed"
            elif task.work_s(now) + task.job.get("progress_s", 0) >= float(command[1]):
                task.state = "done"

    def describe(self):
        """Return tasks and usage as a JSON-serializable object."""
        return {
            "tasks": {
                attempt_id: {"state": task.state, "detail": task.detail}
                for attempt_id, task in self._tasks.items()
            },
            "usage": {},
        }


class RuntimeResource(Resource):
    """Serves a `Runtime` over HTTP."""

    isLeaf = True

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime

    def render_GET(self, request):
        """Return all tasks."""
        return msgspec.json.encode(self._runtime.describe())

    def render_PUT(self, request):
        """Start a task."""
        body = msgspec.json.decode(request.content.read())
        attempt_id = request.postpath[-1].decode()
        self._runtime.start(attempt_id, body["job"], body["count"], body["lease_s"])
        return b"{}"

    def render_POST(self, request):
        """Renew leases, stop a task or all tasks; accept and ignore ``throttle``."""
        body = msgspec.json.decode(request.content.read() or b"{}")
        if request.path == b"/tasks":
            self._runtime.renew(body["renew"])
            return msgspec.json.encode(self._runtime.describe())
        if request.path == b"/reset":
            self._runtime.reset()
            return b"{}"
        attempt_id, verb = [part.decode() for part in request.postpath[-2:]]
        kept_s = 0.0
        if verb == "stop":
            kept_s = self._runtime.stop(attempt_id, body["checkpoint"])
        return msgspec.json.encode({"kept_s": kept_s})


def run(path: str):
    """Serve until the process is stopped."""
    document = settings.read(path, ["host", "port"])
    site = Site(RuntimeResource(Runtime(reactor)))
    reactor.listenTCP(document["port"], site, interface=document["host"])
    reactor.run()
