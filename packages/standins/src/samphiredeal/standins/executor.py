"""A stand-in for an executor: answers requests after a service time.

A body that is a JSON object may have the keys ``sleep_s`` (service time), ``fail``
(status of the answer) and ``size`` (minimum length of the answer, in bytes). ``GET /``
returns how often each body ran.
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
        """Return the number of runs of each body."""
        return msgspec.json.encode(self._runs)

    def render_POST(self, request):
        """Run one request."""
        body = request.content.read()
        self._runs[body.decode(errors="replace")] += 1
        options = _decode_options(body)
        self._clock.callLater(
            options.get("sleep_s", self._service_s),
            self._finish,
            request,
            body,
            options,
        )
        return NOT_DONE_YET

    def _finish(self, request, body, options):
        if request._disconnected:
            return
        request.setResponseCode(options.get("fail", 200))
        text = b"done by " + self._name.encode() + b": " + body
        if "size" in options:
            text = text.ljust(options["size"], b".")
        request.write(text)
        request.finish()


def _decode_options(body):
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return {}
    return document if isinstance(document, dict) else {}


def run(path: str):
    """Serve until the process is stopped."""
    document = settings.read(path, ["host", "port", "name"])
    resource = ExecutorResource(
        reactor, document["name"], document.get("service_s", 0.0)
    )
    reactor.listenTCP(document["port"], Site(resource), interface=document["host"])
    reactor.run()
