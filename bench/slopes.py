"""Cost by size, the data behind docs/CAPACITY.md: ``make slopes``.

In-process costs are per message or object. Process costs come from the operating
system while a small cluster of real processes is idle.
"""

import os
import sys
import tempfile
import time
import tracemalloc

import msgspec
from twisted.internet.task import Clock

from bench import load
from bench.main import full_cluster
from samphiredeal.cli.client import call
from samphiredeal.entry.node import EntryIdentity, EntryNode
from samphiredeal.platform.memory import MemoryObjects, MemoryTable
from samphiredeal.standins.launch import LocalCluster, wait_for
from samphiredeal.wire import codec
from samphiredeal.wire.messages import (
    PROTOCOL_VERSION,
    ConfigSlice,
    Heartbeat,
    Hello,
    PeerBeat,
)

FRAME_BYTES = 4
# Headers of IPv4 and TCP with timestamps; the acknowledgement has the same size.
TCP_IP_BYTES = 52
HEARTBEAT_REPEATS = 3000
IDLE_S = 8.0
AGENT_COUNTS = (4, 24)
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class _CountingLink:
    """A link that counts sent messages and their bytes."""

    def __init__(self):
        self.bytes = 0
        self.messages = 0

    def send(self, message):
        self.bytes += len(codec.encode(message)) + FRAME_BYTES
        self.messages += 1

    def close(self):
        """Do nothing."""


def make_entry():
    """Return (entry, clock) of an entry with an in-memory store."""
    clock = Clock()
    identity = EntryIdentity("entry-1", "z1", "north", "10.0.0.1:7000", "i1")
    table = MemoryTable()
    node = EntryNode(
        clock, identity, table, MemoryObjects(), lambda _: None, lambda s: s[:2]
    )
    return node, clock


def connect_agent(node, number):
    """Connect a worker's agent to an entry and return its link."""
    link = _CountingLink()
    document = {
        "kind": "worker",
        "rack": f"rack-{number // 20}",
        "capacity": [64000, 256000, 8],
        "slots": 0,
        "labels": {"gpu": "h100"},
    }
    hello = Hello(
        PROTOCOL_VERSION,
        "agent",
        f"worker-{number:05d}",
        "z1",
        "abcdef012345",
        msgspec.json.encode(document),
    )
    node.accept(link)
    link.on_message(link, hello)
    return link


def heartbeat_slopes():
    """Print the CPU time and bytes of a heartbeat, and an agent session's memory."""
    node, _clock = make_entry()
    connect_agent(node, 99_999)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    links = [connect_agent(node, number) for number in range(500)]
    session = (tracemalloc.get_traced_memory()[0] - before) / len(links)
    tracemalloc.stop()
    data = codec.encode(Heartbeat(123456, 0, False, 900, 3, []))
    link = links[0]
    link.on_message(link, codec.decode(data))
    link.bytes = 0
    started = time.process_time()
    for _ in range(HEARTBEAT_REPEATS):
        link.on_message(link, codec.decode(data))
    took_us = (time.process_time() - started) / HEARTBEAT_REPEATS * 1e6
    reply = link.bytes / HEARTBEAT_REPEATS
    show("heartbeat, entry's cost", took_us, "us")
    show("heartbeat, bytes in a frame", len(data) + FRAME_BYTES, "B")
    show("heartbeat reply, bytes in a frame", reply, "B")
    wire = len(data) + FRAME_BYTES + reply + 2 * TCP_IP_BYTES
    show("heartbeat and reply with IP headers", wire, "B")
    show("entry's memory for an agent", session, "B")


def push_slopes():
    """Print the bytes of configuration messages and peer heartbeats."""
    labels = msgspec.json.encode({"zone": "z1", "rack": "rack-1", "worker": "w1"})
    slice_bytes = len(codec.encode(ConfigSlice(900, False, labels))) + FRAME_BYTES
    beat = PeerBeat(123456, 900, 400, False, 3, "entry-1", [])
    show("configuration slice, bytes in a frame", slice_bytes, "B")
    show("peer beat, bytes in a frame", len(codec.encode(beat)) + FRAME_BYTES, "B")


def scheduler_slopes():
    """Print the scheduler's memory by the number of workers and tasks."""
    sizes = {}
    for count in (300, 1100):
        tracemalloc.start()
        simulation, _workers = full_cluster(count)
        sizes[count] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert len(simulation._running) >= 7 * count
    per_worker = (sizes[1100] - sizes[300]) / 800
    show("scheduler's and bench's memory, 1,100 workers", sizes[1100] / 1e6, "MB")
    show("the same for a worker with its seven tasks", per_worker, "B")


def check_slopes():
    """Print the CPU time of checking the guarantees of 92 accounts."""
    simulation, workers = full_cluster(1100)
    accounts = load.target_accounts(workers)
    configuration = simulation._configuration._replace(accounts=accounts)
    started = time.process_time()
    simulation.scheduler.check(configuration)
    show("check of guarantees", (time.process_time() - started) * 1000, "ms")


def process_slopes():
    """Print memory and idle CPU share of real processes by the number of agents."""
    for count in AGENT_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            cluster = LocalCluster(folder)
            try:
                _measure_idle(cluster, count)
            finally:
                cluster.close()


def _measure_idle(cluster, count):
    cluster.start_standin("platform", "platform")
    cluster.start_standin("worker", "runtime")
    for name in ("entry-1", "entry-2"):
        cluster.start_entry(name, "a")
    capacity = {"cpu_milli": 64000, "memory_mb": 256000, "accelerators": 8}
    for number in range(count):
        cluster.start_agent(f"w{number}", "worker", "a", "runtime", capacity=capacity)
    url = cluster.entry_urls["entry-1"]

    def all_registered():
        try:
            return len(call(url, "GET", "/v1/workers").document["workers"]) == count
        except OSError:
            return False

    wait_for(all_registered, 60, "all workers are registered")
    before_cpu_s = {name: cpu_s(p.pid) for name, p in cluster.processes.items()}
    before_counts = call(cluster.url_of("platform"), "GET", "/faults").document
    time.sleep(IDLE_S)
    after_counts = call(cluster.url_of("platform"), "GET", "/faults").document
    groups = {"entry": [], "agent": []}
    memory = {"entry": [], "agent": []}
    for name, process in cluster.processes.items():
        role = name.split("-")[0].split(":")[0]
        if role in groups:
            groups[role].append((cpu_s(process.pid) - before_cpu_s[name]) / IDLE_S)
            memory[role].append(resident_mb(process.pid))
    for role in groups:
        show(f"{count} agents: idle {role}, share of a core", max(groups[role]), "")
        show(f"{count} agents: {role}, resident memory", max(memory[role]), "MB")
    for kind in ("reads", "writes"):
        rate = (after_counts[kind] - before_counts[kind]) / IDLE_S
        show(f"{count} agents: store {kind} of two entries", rate, "/s")


def cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def show(name, value, unit):
    """Print a figure."""
    print(f"{name:55} {value:10.4g} {unit}", flush=True)


def main():
    """Measure and print all figures."""
    heartbeat_slopes()
    push_slopes()
    scheduler_slopes()
    check_slopes()
    process_slopes()


if __name__ == "__main__":
    sys.exit(main())
