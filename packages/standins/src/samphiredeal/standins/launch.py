"""A small cluster of separate processes, for demos and tests.

All processes listen on loopback. Only processes started here are signalled, by id.
"""

import collections
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

HOST = "127.0.0.1"
STARTUP_TIMEOUT_S = 20.0
_EXIT_TIMEOUT_S = 15.0
_PORT_RANGE = (12_000, 32_000)
# Limits the open files; those of the oldest ports are closed first.
_MAX_RESERVATIONS = 400
_returned_ports = set()
_reservations = collections.deque()
_ports_lock = threading.Lock()


def free_port():
    """Return a TCP port that is free now and was not returned before.

    It is below the range of ephemeral ports. Otherwise an outgoing connection could
    take it while the process that listens there is down.
    """
    return _find_free_ports(1)


def free_port_pair():
    """Return the first of two adjacent TCP ports; see `free_port`."""
    return _find_free_ports(2)


def _find_free_ports(count):
    """Return the first of `count` adjacent ports.

    Each stays bound, so that clusters of other processes do not take it before a
    process listens there, or while that process is down.
    """
    while True:
        first = random.randrange(*_PORT_RANGE)
        ports = range(first, first + count)
        with _ports_lock, contextlib.ExitStack() as stack:
            if _returned_ports.intersection(ports):
                continue
            try:
                reservations = [stack.enter_context(_reserve(port)) for port in ports]
            except OSError:
                continue
            stack.pop_all()
            _returned_ports.update(ports)
            _reservations.extend(reservations)
            while len(_reservations) > _MAX_RESERVATIONS:
                _reservations.popleft().close()
            return first


def _reserve(port):
    """Return a socket bound to a free port, on which others may listen by choice."""
    reservation = socket.socket()
    try:
        reservation.bind((HOST, port))
    except OSError:
        reservation.close()
        raise
    # Set only now: a port that another process has bound is not free.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation


def wait_for(condition, seconds, description):
    """Poll until the condition is true and return its value; raise `TimeoutError`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise TimeoutError(f"{description}: not within {seconds} s")


class LocalCluster:
    """Processes by name, with their settings and logs in a folder.

    `program` is the command that runs the roles, by default the module of this Python.
    """

    def __init__(self, folder, program=None):
        self._folder = folder
        self._program = program or [sys.executable, "-m", "samphiredeal.cli.main"]
        self._processes = {}
        self._entries = {}
        self._ports = {}
        self._settings = {}

    @property
    def entry_urls(self):
        """The HTTP addresses of the entries by name."""
        return self._entries

    @property
    def processes(self):
        """The started processes by name."""
        return self._processes

    def url_of(self, name):
        """Return the HTTP address of a stand-in or an entry."""
        return f"http://{HOST}:{self._ports[name]}"

    def new_port(self):
        """Return a free port that no cluster of this process uses yet."""
        return free_port()

    def start_standin(self, kind, name, **options):
        """Start a stand-in and wait until it listens."""
        self.begin_standin(kind, name, **options)
        port = self._ports[name]
        wait_for(lambda: _listens(port), STARTUP_TIMEOUT_S, f"{name} listens")

    def begin_standin(self, kind, name, **options):
        """Start a stand-in that listens some time later."""
        port = self.new_port()
        self._ports[name] = port
        document = {"host": HOST, "port": port, "name": name, **options}
        code = "import sys; from samphiredeal.standins.main import main; main()"
        self._start(name, [sys.executable, "-c", code, kind], document)

    def start_entry(self, name, zone, region="north"):
        """Start an entry."""
        port, http_port = free_port(), free_port()
        self._ports[name] = http_port
        self._entries[name] = f"http://{HOST}:{http_port}"
        document = {
            "name": name,
            "zone": zone,
            "region": region,
            "host": HOST,
            "port": port,
            "http_port": http_port,
            "platform_url": self.url_of("platform"),
        }
        self._settings[name] = document
        self._start(name, [*self._program, "entry"], document)

    def start_agent(self, name, kind, zone, upstream, **options):
        """Start an agent beside an upstream, as process ``agent:NAME``."""
        entries = [
            f"{HOST}:{document['port']}"
            for document in self._settings.values()
            if "http_port" in document
        ]
        document = {
            "name": name,
            "kind": kind,
            "zone": zone,
            "entries": entries,
            "upstream_url": self.url_of(upstream),
            **options,
        }
        self._settings[name] = document
        self._start(f"agent:{name}", [*self._program, "agent"], document)

    def link_port(self, entry):
        """Return the port on which an entry accepts links."""
        return self._settings[entry]["port"]

    def restart(self, name):
        """Restart an entry with unchanged settings."""
        self._start(name, [*self._program, "entry"], self._settings[name])

    def signal(self, name, number):
        """Send a signal to a process that was started here."""
        # Popen sends nothing to the id of a process that is known to have exited.
        self._processes[name].send_signal(number)

    def wait(self, name, seconds=_EXIT_TIMEOUT_S):
        """Wait for a process to exit; return its exit status."""
        return self._processes[name].wait(seconds)

    def log_of(self, name):
        """Return the output of a process."""
        with open(self._log_path(name), encoding="utf-8") as log:
            return log.read()

    def _log_path(self, name):
        return os.path.join(self._folder, f"{name.replace(':', '-')}.log")

    def close(self):
        """Kill every process."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()

    def _start(self, name, command, document, environment=None):
        path = os.path.join(self._folder, f"{name.replace(':', '-')}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        log_path = self._log_path(name)
        if environment is not None:
            environment = {**os.environ, environment: path}
        arguments = command if environment else [*command, path]
        with open(log_path, "ab") as log:
            self._processes[name] = subprocess.Popen(
                arguments, stdout=log, stderr=subprocess.STDOUT, env=environment
            )


def _listens(port):
    with socket.socket() as probe:
        probe.settimeout(0.5)
        return probe.connect_ex((HOST, port)) == 0
