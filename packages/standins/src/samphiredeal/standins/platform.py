"""A stand-in for the platform's table service and object store.

``POST /faults`` with ``{"down": bool, "silent": bool, "delay_s": s,
"lose_answers": n}`` makes it unavailable, silent or slow, or loses the answers to
writes that have been applied. Both tables are silent for all callers.
``POST /aliases`` with a map of addresses has the first replaced by the second in each
row that is written from then on, so that a proxy can stand before a process that
announces its own address.
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


class AliasResource(Resource):
    """Keeps the aliases of addresses, as JSON strings in bytes."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self._aliases = {}

    def render_POST(self, request):
        """Add aliases."""
        for address, alias in msgspec.json.decode(request.content.read()).items():
            self._aliases[msgspec.json.encode(address)] = msgspec.json.encode(alias)
        return b"{}"

    def replace(self, value):
        """Return the value of a row with its aliases."""
        for address, alias in self._aliases.items():
            value = value.replace(address, alias)
        return value


class _AliasedTable(MemoryTable):
    """A table whose rows are written with the aliases of addresses."""

    def __init__(self, clock, faults, replace):
        super().__init__(clock, faults)
        self._replace = replace

    def write(self, conditions, puts, deletes=()):
        """Write rows; see `MemoryTable.write`."""
        puts = [(key, self._replace(value)) for key, value in puts]
        return super().write(conditions, puts, deletes)


def make_platform(clock):
    """Return (root resource, faults) of an in-memory platform."""
    faults = Faults()
    root = Resource()
    aliases = AliasResource()
    tables = {
        "samphiredeal": _AliasedTable(clock, faults, aliases.replace),
        "op": MemoryTable(clock, faults),
    }
    add_store(root, tables, MemoryObjects(faults))
    root.putChild(b"faults", FaultResource(faults))
    root.putChild(b"aliases", aliases)
    return root, faults


def run(path: str):
    """Serve until the process is stopped."""
    document = settings.read(path, ["host", "port"])
    root, _faults = make_platform(reactor)
    site = Site(root)
    reactor.listenTCP(document["port"], site, interface=document["host"])
    reactor.run()
