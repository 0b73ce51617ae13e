"""The cluster of the soak, whose processes reach each other through proxies."""

import base64
import collections
import contextlib
import json
import signal
import socket
import threading

from samphiredeal.standins.graph_cluster import KEY, GraphCluster, post
from samphiredeal.standins.launch import HOST
from samphiredeal.standins.soak_calls import CALL_TIMEOUT_S, OpenConnection

_CONNECT_TIMEOUT_S = 0.5


class SoakCluster(GraphCluster):
    """A cluster whose processes reach each other through proxies.

    Callers keep one connection to each entry open.
    """

    def __init__(self, folder, program=None):
        super().__init__(folder, program)
        self.proxies = {}
        self._connections = {}
        self._lock = threading.RLock()
        self._holds = collections.Counter()
        self._ended_by_faults = set()

    def start_proxy(self, name, target_port):
        """Start a proxy in front of a port; return its own port."""
        control = self.new_port()
        self.start_standin("proxy", name, target_port=target_port, control_port=control)
        self.proxies[name] = control
        return self._ports[name]

    def call(self, entry, verb, path, document=None, key=KEY):
        """Make a caller's call on the open connection; return the `Reply`."""
        if entry not in self._connections:
            port = self._caller_ports[entry]
            self._connections[entry] = OpenConnection(port, CALL_TIMEOUT_S)
        return self._connections[entry].call(verb, path, document, key)

    @property
    def caller_ports(self):
        """The ports at which entries accept calls, by name."""
        return dict(self._caller_ports)

    def set_silent(self, silent):
        """Have the store answer nobody, or all again."""
        post(self.url_of("platform") + "/faults", {"silent": silent})

    def hold(self, name, number):
        """Send a signal to a process that must not start again before `release`."""
        with self._lock:
            self._holds[name] += 1
            if number != signal.SIGSTOP:
                self._ended_by_faults.add(name)
            self.signal(name, number)

    def release(self, name):
        """Start a process that a fault has ended, unless another fault holds it."""
        with self._lock:
            self._holds[name] -= 1
            if not self._holds[name] and name in self._ended_by_faults:
                self._ended_by_faults.discard(name)
                self.start_again(name)

    def exited_standins(self):
        """Return the names of the stand-ins that have exited, which no fault ends."""
        return [
            name
            for name, process in list(self.processes.items())
            if not self._is_role(name) and process.poll() is not None
        ]

    def restart_exited(self):
        """Start roles again that exited without a fault; return their names."""
        with self._lock:
            exited = [
                name
                for name, process in list(self.processes.items())
                if self._is_role(name)
                and not self._holds[name]
                and process.poll() is not None
            ]
            for name in exited:
                self.start_again(name)
        return exited

    def _is_role(self, name):
        return name in self.entries or name.startswith("agent-")

    def put_row(self, key, value):
        """Write a row into the system's table, without an answer, as another writer."""
        location = {"table": "samphiredeal", "part": "", "key": key}
        put = {**location, "value": base64.b64encode(value).decode()}
        body = json.dumps({"expected": [], "puts": [put], "remove": []}).encode()
        head = "POST /api/rows-tx HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        _send(self._ports["platform"], head.encode() + body)

    def send_heartbeat(self, agent, worker_id, body):
        """Send the bytes of a heartbeat to an agent; its answer doesn't matter."""
        head = f"POST /api/Instances.Heartbeat/{worker_id} HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        address = self.settings_of(agent)["listen-addresses"]["control"]
        _send(int(address.rpartition(":")[2]), head.encode() + body)

    def send_bytes(self, name, data):
        """Send bytes to the address at which a process accepts links."""
        _send(self.settings_of(name)["internal-ports"][0], data)

    def set_fault(self, name, mode, delay_s=0.0):
        """Set the mode of a proxy; ``pass`` removes the fault."""
        url = f"http://{HOST}:{self.proxies[name]}/"
        post(url, {"mode": mode, "delay_s": delay_s})

    def _store_port(self, name):
        return self.start_proxy(f"store-{name}", self._ports["platform"])

    def _worker_port(self, name):
        return self.start_proxy(f"way-{name}", self._ports[name])

    def _heartbeat_port(self, name, control_port):
        return self.start_proxy(f"heartbeat-{name}", control_port)

    def _announce(self, name, port):
        if name in self._caller_ports:
            return
        alias = f"{HOST}:{self.start_proxy(f'link-{name}', port)}"
        post(self.url_of("platform") + "/aliases", {f"{HOST}:{port}": alias})


def _send(port, data):
    """Send bytes to a process, which may be down or paused."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection((HOST, port), _CONNECT_TIMEOUT_S) as connection,
    ):
        connection.sendall(data)
