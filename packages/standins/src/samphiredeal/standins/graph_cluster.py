"""A small cluster on the stand-in platform, in separate processes.

Settings files have the platform's format and are named in the environment, so every
process starts as it does on the users' VMs.
"""

import base64
import json
import os
import urllib.error
import urllib.parse
import urllib.request
from typing import NamedTuple

from samphiredeal.platform.settings import SETTINGS_VARIABLE
from samphiredeal.standins.launch import (
    HOST,
    STARTUP_TIMEOUT_S,
    LocalCluster,
    free_port_pair,
    wait_for,
)

CALLERS_HOST = "desk.example"
KEY = "hall-key"
_CALL_TIMEOUT_S = 5.0
BOUNDS = {
    "config-apply-ms": 2000,
    "max-stretch-ms": 5000,
    "grace-s": 6,
    "max-hold-ms": 6000,
    "gang-timeout-ms": 3000,
    "status_s": 120,
    "remote-factor": 3,
}


class Reply(NamedTuple):
    """A status, 0 if there was no response, and the decoded body."""

    status: int
    document: dict


class GraphCluster(LocalCluster):
    """Entries and agents of the users' platform; see `LocalCluster`."""

    def __init__(self, folder, program=None):
        super().__init__(folder, program)
        self._caller_ports = {}
        self._readiness_ports = {}
        self._version = 0
        self._roles_and_settings = {}

    @property
    def entries(self):
        """The names of the entries."""
        return list(self._caller_ports)

    def start_graph_entry(self, name, zone):
        """Start an entry."""
        ports = [self.new_port() for _ in range(2)]
        self._caller_ports[name], self._readiness_ports[name] = ports
        listen = {"frontend": f"{HOST}:{ports[0]}", "readiness": f"{HOST}:{ports[1]}"}
        self._start_on_platform(name, "entry", zone, {"listen-addresses": listen})

    def start_graph_worker(self, name, zone, rack="r1", accelerators=8):
        """Start a worker and the agent beside it."""
        control_port = self.new_port()
        self.start_standin(
            "graph-worker",
            name,
            zone=zone,
            rack=rack,
            accelerators=accelerators,
            agent_address=f"{HOST}:{self._heartbeat_port(name, control_port)}",
        )
        extra = {
            "listen-addresses": {"control": f"{HOST}:{control_port}"},
            "app": f"{HOST}:{self._worker_port(name)}",
        }
        self._start_on_platform(f"agent-{name}", "agent", zone, extra)

    def start_again(self, name, settings_of=None):
        """Start a process with its own settings or those of another process."""
        role, document = self._roles_and_settings[settings_of or name]
        command = [*self._program, role]
        self._start(name, command, document, SETTINGS_VARIABLE)

    def configure(self, keys=(KEY,), guaranteed=0, max_attempts=2):
        """Write the next version of the configuration."""
        self._version += 1
        routes = [
            {
                "name": name,
                "host": CALLERS_HOST,
                "path-prefix": f"/{name}/",
                "service": "desk",
                "priority": priority,
                "max-attempts": max_attempts,
                "stretch": 3.0,
                "target-latency-ms": 1000,
            }
            for name, priority in (("urgent", 0), ("normal", 1))
        ]
        tenant = {"name": "hall", "api-keys": list(keys)}
        tenant["guaranteed"] = {"gpu": guaranteed}
        document = {"version": self._version, "routes": routes, "tenants": [tenant]}
        self.write_operator_row("config", document)

    def write_operator_row(self, key, document):
        """Write an operator's row."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        put = {"table": "op", "part": "", "key": key, "value": value}
        body = {"expected": [], "puts": [put], "remove": []}
        url = self.url_of("platform") + "/api/rows-tx"
        return _call(url, "POST", body)

    def row_keys(self, prefix):
        """Return the keys of the system's rows, up to 500, that have a prefix."""
        path = f"/api/rows-get?table=samphiredeal&from={urllib.parse.quote(prefix)}"
        reply = _call(self.url_of("platform") + path, "GET")
        keys = [row["key"] for row in reply.document.get("rows", ())]
        return [key for key in keys if key.startswith(prefix)]

    def call(self, entry, verb, path, document=None, key=KEY):
        """Make a caller's call; return the `Reply`."""
        url = f"http://{HOST}:{self._caller_ports[entry]}{path}"
        headers = {"Host": CALLERS_HOST, "Authorization": f"Token {key}"}
        return _call(url, verb, document, headers)

    def settings_of(self, name):
        """Return the settings document of an entry or agent."""
        return self._roles_and_settings[name][1]

    def is_ready(self, entry):
        """Return whether an entry reports that callers may be routed to it."""
        url = f"http://{HOST}:{self._readiness_ports[entry]}/api/readiness"
        return _call(url, "GET").status == 200

    def wait_until_ready(self):
        """Wait until all entries are ready."""
        for entry in self.entries:
            wait_for(
                lambda e=entry: self.is_ready(e), STARTUP_TIMEOUT_S, f"{entry} is ready"
            )

    def start_counts(self, worker):
        """Return the number of starts of each task on a worker."""
        return self._ask_worker(worker, "/runs")

    def history(self, worker):
        """Return the starts and ends of runs on a worker, in order."""
        return self._ask_worker(worker, "/history")

    def recorded_ends(self, worker):
        """Return the ends of runs on a worker that its agent has confirmed."""
        return self._ask_worker(worker, "/recorded")

    def disturb_worker(self, worker, fault, **arguments):
        """Inject a fault into a worker; see `graph_worker`."""
        url = self.url_of(worker) + "/control"
        return post(url, {"fault": fault, **arguments}).status == 200

    def scheduler(self):
        """Return the entry that logs the highest epoch as scheduler, or None."""
        newest = (0, None)
        for entry in self.entries:
            for line in self.log_of(entry).splitlines():
                if '"scheduler_took_over"' in line:
                    newest = max(newest, (json.loads(line)["epoch"], entry))
        return newest[1]

    def _store_port(self, _name):
        """Return the port at which a process reaches the store."""
        return self._ports["platform"]

    def _worker_port(self, name):
        """Return the port at which an agent reaches its worker."""
        return self._ports[name]

    def _heartbeat_port(self, _name, control_port):
        """Return the port at which a worker reaches its agent."""
        return control_port

    def _announce(self, name, port):
        """Called before a process starts that announces a port for links."""

    def _ask_worker(self, worker, path):
        """Return what a worker tells of itself, once its listener is open."""

        def answer():
            reply = _call(self.url_of(worker) + path, "GET")
            return reply if reply.status == 200 else None

        return wait_for(answer, _CALL_TIMEOUT_S, f"{worker} answers").document

    def _start_on_platform(self, name, role, zone, extra):
        base = free_port_pair()
        document = {
            "node": name,
            "zone": zone,
            "ip": HOST,
            "internal-ports": [base, base + 15],
            "bounds": BOUNDS,
            "platform": {"address": f"{HOST}:{self._store_port(name)}"},
            **extra,
        }
        self._roles_and_settings[name] = (role, document)
        self._announce(name, base)
        self.start_again(name)


def post(url, document):
    """Post a document to a stand-in; return the `Reply`."""
    return _call(url, "POST", document)


def _call(url, method, document=None, headers=None):
    body = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, body, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=_CALL_TIMEOUT_S) as response:
            return Reply(response.status, json.loads(response.read() or b"{}"))
    except urllib.error.HTTPError as error:
        return Reply(error.code, json.loads(error.read() or b"{}"))
    except OSError:
        return Reply(0, {})


def start_small(folder):
    """Return a ready cluster of two entries and three workers."""
    os.makedirs(folder, exist_ok=True)
    cluster = GraphCluster(folder)
    try:
        cluster.start_standin("platform", "platform")
        cluster.configure()
        for number, zone in enumerate(("zone-a", "zone-b")):
            cluster.start_graph_entry(f"entry-{number}", zone)
        for number in range(3):
            cluster.start_graph_worker(
                f"worker-{number}", ("zone-a", "zone-b")[number % 2]
            )
        cluster.wait_until_ready()
    except BaseException:
        cluster.close()
        raise
    return cluster
