"""A stand-in for the platform's table service and object store.

``POST /faults`` with ``{"down": bool, "delay_s": s, "lose_answers": n}`` makes
it unavailable or slow, or loses the answers to writes that have been applied.
"""

import msgspec
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from samphiredeal.platform.memory import Faults, MemoryObjects, MemoryTable
from samphiredeal.platform.service import add_store
from samphiredeal.standins import settings


class FaultResource(Resource):
    """Sets faults and reports the numbers of reads and writes."""

    isLeaf = True

    def __init__(self, faults):
        super().__init__()
        self._faults = faults

    def render_GET(self, request):
        """Return the numbers of reads and writes so far."""
        counts = {"reads": self._faults.reads, "writes": self._faults.writes}
        return msgspec.json.encode(counts)

    def render_POST(self, request):
        """Set the given faults; others stay as they are."""
        for name, value in msgspec.json.decode(request.content.read()).items():
            setattr(self._faults, name, value)
        return b"{}"


def make_platform(clock):
    """Return (root resource, faults) of an in-memory platform."""
    faults = Faults()
    root = Resource()
    tables = {
        "samphiredeal": MemoryTable(clock, faults),
        "op": MemoryTable(clock, faults),
    }
    add_store(root, tables, MemoryObjects(faults))
    root.putChild(b"faults", FaultResource(faults))
    return root, faults


def run(path: str):
    """Serve until the process is stopped."""
    document = settings.read(path, ["host", "port"])
    root, _faults = make_platform(reactor)
    site = Site(root)
    reactor.listenTCP(document["port"], site, interface=document["host"])
    reactor.run()
