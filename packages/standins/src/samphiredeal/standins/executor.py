"""A stand-in for an executor: answers requests after a service time.

A body that is a JSON object may ask for ``sleep_s``, ``fail`` (a status) or
``size`` (bytes of answer). ``GET /`` tells how often each body ran.
"""

import collections

import msgspec
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from samphiredeal.standins import settings


class ExecutorResource(Resource):
    """Runs requests and counts how often each body ran."""

    isLeaf = True

    def __init__(self, clock, name, service_s):
        super().__init__()
        self._clock = clock
        self._name = name
        self._service_s = service_s
        self._runs = collections.Counter()

    def render_GET(self, request):
        """Answer with the number of runs of each body."""
        return msgspec.json.encode(self._runs)

    def render_POST(self, request):
        """Run one request."""
        body = request.content.read()
        self._runs[body.decode(errors="replace")] += 1
        wanted = _wanted(body)
        self._clock.callLater(
            wanted.get("sleep_s", self._service_s), self._finish, request, body, wanted
        )
        return NOT_DONE_YET

    def _finish(self, request, body, wanted):
        if request._disconnected:
            return
        request.setResponseCode(wanted.get("fail", 200))
        text = b"done by " + self._name.encode() + b": " + body
        if "size" in wanted:
            text = text.ljust(wanted["size"], b".")
        request.write(text)
        request.finish()


def _wanted(body):
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return {}
    return document if isinstance(document, dict) else {}


def run(path: str):
    """Serve until the process is ended."""
    document = settings.read(path, ["host", "port", "name"])
    resource = ExecutorResource(
        reactor, document["name"], document.get("service_s", 0.0)
    )
    reactor.listenTCP(document["port"], Site(resource), interface=document["host"])
    reactor.run()
