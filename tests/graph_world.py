"""Entries and agents on an in-memory platform, driven by a paused clock.

Entries and agents are the production code; the store, the links and the workers are
in-memory fakes. `EventLog` records what the workers run, for the tests to check.
"""

import random
from typing import NamedTuple

import msgspec
from graph_builders import make_facts
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock
from world import Network, NodeClock

from samphiredeal.agent.graphs.node import GraphAgent, Rows
from samphiredeal.entry.graphs import work
from samphiredeal.entry.graphs.node import GraphEntry
from samphiredeal.model import answers, runs
from samphiredeal.model.answers import Call
from samphiredeal.model.graph import parse_task_name
from samphiredeal.model.shape import Shape
from samphiredeal.platform.memory import Faults, MemoryTable
from samphiredeal.platform.memory_worker import Gangs, MemoryWorker, Work
from samphiredeal.platform.settings import Bounds
from samphiredeal.platform.table import Put
from samphiredeal.wire import codec
from samphiredeal.wire import orders as coding
from samphiredeal.wire.messages import WorkOrders

STEP_S = 0.05
HEARTBEAT_S = 1.5
LEASE_S = 6.0
BOUNDS = Bounds(2.0, 5.0, 6.0, LEASE_S, 3.0, 120.0, 3.0)
HOST = "desk.example"
KEY = "key-1"
PREFIXES = {"/urgent/": 0, "/normal/": 1}


class Event(NamedTuple):
    """The start or end of a run on a worker, at a time in seconds."""

    at: float
    kind: str
    worker: str
    task: str
    run: int
    how: str


class EventLog:
    """The starts and ends of all runs, and checks of their invariants."""

    def __init__(self, clock):
        self._clock = clock
        self.events = []
        # The ends that agents have confirmed to their workers.
        self.recorded = []
        # The moments at which workers' leases have expired.
        self.lapses = []

    def record(self, name, kind, task, run, how):
        """Record an event on the worker `name`, whose id may have changed."""
        event = Event(self._clock.seconds(), kind, name, task, run, how)
        lists = {"recorded": self.recorded, "lapsed": self.lapses}
        lists.get(kind, self.events).append(event)

    def recorded_in_time(self):
        """Return the ends that were recorded before the lease of their worker expired.

        By the platform's rules only these may be relied on.
        """
        return [end for end in self.recorded if not self._has_lapsed_before(end)]

    def _has_lapsed_before(self, recorded):
        ended_at = max(
            event.at
            for event in self.events
            if event.kind == "end"
            and event.worker == recorded.worker
            and (event.task, event.run) == (recorded.task, recorded.run)
        )
        return any(
            lapse.worker == recorded.worker and ended_at <= lapse.at < recorded.at
            for lapse in self.lapses
        )

    def starts(self, task=None):
        """Return the starts of a task, or of all tasks."""
        return [e for e in self.events if e.kind == "start" and task in (None, e.task)]

    def overlaps(self):
        """Return the starts of tasks that were already running."""
        running, violations = {}, []
        for event in self.events:
            if event.kind == "start":
                if running.get(event.task):
                    violations.append(event)
                running.setdefault(event.task, set()).add((event.worker, event.run))
            else:
                running.get(event.task, set()).discard((event.worker, event.run))
        return violations

    def over_capacity(self, shape_of, capacity):
        """Return the starts that exceeded the capacity of their worker."""
        used, violations = {}, []
        for event in self.events:
            shape = shape_of(event.task)
            before = used.get(event.worker, shape.minus(shape))
            if event.kind == "start":
                used[event.worker] = before.plus(shape)
                if not used[event.worker].fits(capacity):
                    violations.append(event)
            else:
                used[event.worker] = before.minus(shape)
        return violations


class Node:
    """A process with its clock, its faults of the store and its links."""

    def __init__(self, name, clock, faults=None):
        self.name = name
        self.clock = clock
        self.faults = faults or Faults()
        self.operator_table = None
        self.process = None
        self.links = []


class ProcessCalls:
    """The calls of one process to its worker.

    Answers reach the process by its clock: later if it is frozen, never if it is dead.
    """

    def __init__(self, clock, worker):
        self._clock = clock
        self._worker = worker

    def start(self, *args):
        """Start a run; see `ExecutorClient.start`."""
        return self._deliver(self._worker.start(*args))

    def stop(self, *args):
        """Stop a run; see `ExecutorClient.stop`."""
        return self._deliver(self._worker.stop(*args))

    def poll(self, *args):
        """List all runs; see `ExecutorClient.poll`."""
        return self._deliver(self._worker.poll(*args))

    def _deliver(self, answered):
        delivered = Deferred()
        answered.addCallback(lambda one: self._clock.run(delivered.callback, one))
        return delivered


class GraphWorld:
    """Entries, agents and workers of one cluster; see `make_graph_world`."""

    def __init__(self, seed=0):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.network = Network(self.clock, self.random)
        self.table = MemoryTable(self.clock)
        self.operator_table = MemoryTable(self.clock)
        self.event_log = EventLog(self.clock)
        self.gangs = Gangs()
        self.nodes = {}
        self.workers = {}
        self.specs = {}
        self.work_of = {}
        self.version = 0
        self.queues = {}
        self._addresses = {}
        # The advice service of entries that are started from now on.
        self.advice = None

    # Setup

    def add_entry(self, name, silent=False, faults=None):
        """Start an entry; with `silent`, the store does not respond to it.

        `faults` are those of the store for this entry, by default none.
        """
        node = self._add_node(name, faults)
        node.faults.silent = silent or node.faults.silent
        node.operator_table = self.operator_table.view(node.clock, node.faults)
        address = self.address_of(name)
        node.process = GraphEntry(
            node.clock,
            name,
            address,
            self.table.view(node.clock, node.faults),
            node.operator_table,
            lambda target: self.network.connect(node, target),
            BOUNDS,
            self.clock.seconds,
            random.Random(self.random.random()),
            self.advice,
        )

        def accept(link):
            node.links.append(link)
            node.process.accept(link)

        self.network.listen(address, node, accept)
        node.process.start()
        return node.process

    def add_worker(self, name, zone="a", rack="r1", accelerators=8):
        self._add_vm(name, name, make_facts(name, zone, rack, accelerators))

    def replace_vm(self, name):
        """Start another VM that is known by this name; return its own name.

        The first one is left as it is.
        """
        other = f"{name}-b"
        facts = self.workers[name].facts._replace(id=f"i-{other}")
        self._add_vm(other, name, facts)
        return other

    def _add_vm(self, name, known_as, facts):
        self.workers[name] = MemoryWorker(
            self.clock,
            facts,
            self._describe,
            self.gangs,
            LEASE_S,
            lambda kind, _worker, *run: self.event_log.record(name, kind, *run),
        )
        self.add_agent(name, known_as)
        self.send_heartbeats(name, 0)

    def add_agent(self, name, known_as=None, faults=None):
        """Start an agent beside a worker, by default known by the worker's name.

        `faults` are those of the store for this agent, by default none.
        """
        known_as = known_as or name
        node = self._add_node(name, faults)
        worker = self.workers[name]
        record = work.WorkerRecord(self.address_of(name), worker.facts.zone)
        node.process = GraphAgent(
            node.clock,
            known_as,
            ProcessCalls(node.clock, worker),
            self.table.view(node.clock, node.faults),
            Rows(
                work.worker_key(known_as),
                msgspec.json.encode(record),
                work.evicted_key(known_as),
            ),
            LEASE_S,
        )

        def accept(link):
            node.links.append(link)
            node.process.accept(link)

        self.network.listen(self.address_of(name), node, accept)
        node.process.start()

    def address_of(self, name):
        """Return the address of a node's links."""
        number = len(self._addresses) + 1
        return self._addresses.setdefault(name, f"10.0.0.{number}:7000")

    def _add_node(self, name, faults=None):
        node = self.nodes[name] = Node(name, NodeClock(self.clock), faults)
        return node

    def send_heartbeats(self, name, sequence):
        worker, node = self.workers[name], self.nodes[name]
        if not worker.faults.down:
            node.clock.run(
                node.process.run_manager.record_heartbeat, worker.facts, sequence
            )
        self.clock.callLater(HEARTBEAT_S, self.send_heartbeats, name, sequence + 1)

    def _describe(self, task):
        name = parse_task_name(task)
        if task in self.work_of:
            return self.work_of[task]
        step = self.specs[name.job]["steps"][name.step]
        gang = f"{name.job}.{name.occurrence}.{name.step}" if step.get("gang") else ""
        return Work(
            step.get("estimated-ms", 1000) / 1000,
            gang=gang,
            members=step["count"],
            checkpoint_every_s=1.0 if step.get("checkpointing") else 0.0,
        )

    # Operator and caller actions

    def configure(self, guaranteed=0, keys=(KEY,), prefixes=PREFIXES, **fields):
        """Write the next version of the configuration; `fields` are of each queue."""
        self.version += 1
        routes = [
            {
                "name": prefix.strip("/"),
                "host": HOST,
                "path-prefix": prefix,
                "service": "desk",
                "priority": priority,
                "max-attempts": 2,
                "stretch": 3.0,
                "target-latency-ms": 1000,
                **fields,
            }
            for prefix, priority in prefixes.items()
        ]
        tenant = {"name": "acct", "api-keys": list(keys)}
        tenant["guaranteed"] = {"gpu": guaranteed}
        document = {"version": self.version, "routes": routes, "tenants": [tenant]}
        value = msgspec.json.encode(document)
        self.operator_table.write([], [Put("config", value)])

    def take_zone_out(self, zone):
        self.operator_table.write([], [Put(f"evacuate/{zone}", b"{}")])

    def call(self, entry, verb, path, body=b"", key=KEY, wait_s=3.0):
        """Begin a call; return a list to which its answer is appended."""
        answers_received = []
        call = Call(verb, HOST, path, key, wait_s, body)
        node = self.nodes[entry]
        deferred = ensureDeferred(node.process.call_handler.answer(call))
        deferred.addCallback(answers_received.append)
        return answers_received

    def submit(self, entry, job_id, steps, prefix="/normal/", **fields):
        """Submit a job and return the answer."""
        document = {"spec": "payload", "steps": steps, **fields}
        self.specs.setdefault(job_id, document)
        body = msgspec.json.encode(document)
        return self.wait_for_answer(
            self.call(entry, answers.SUBMIT, prefix + job_id, body)
        )

    def state(self, entry, job_id, prefix="/normal/"):
        answer = self.wait_for_answer(
            self.call(entry, answers.GET_STATE, prefix + job_id)
        )
        return answer.state or answer.kind

    def wait_for_answer(self, answers_received):
        self.run_until(lambda: answers_received, 5.0)
        return answers_received[0]

    # Time and faults

    def run(self, seconds):
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end - 1e-9:
            self.clock.advance(min(STEP_S, end - self.clock.seconds()))

    def run_until(self, condition, seconds):
        """Run until a condition holds; fail if it does not within `seconds`."""
        end = self.clock.seconds() + seconds
        while not condition():
            assert self.clock.seconds() < end, (
                f"condition does not hold after {seconds} s"
            )
            self.clock.advance(0.01)

    def scheduler(self):
        """Return the name of the entry that is the scheduler, or None."""
        for name, node in self.nodes.items():
            alive = not node.clock.dead and not node.clock.frozen
            if alive and getattr(node.process, "dispatcher", None) is not None:
                return name
        return None

    def kill(self, name):
        """End a process without a clean shutdown."""
        self.nodes[name].clock.kill()
        # The kernel closes the sockets of a killed process.
        self.close_links_of(name)

    def close_links_of(self, name):
        """Close the links of a process that has ended, as its kernel does."""
        node = self.nodes[name]
        for one in self.nodes.values():
            for link in getattr(one, "links", ()):
                if one is node:
                    link.close()
                elif link.peer_name == name:
                    link.other.close()

    def restart(self, name):
        """Start a killed entry or agent again; it hears the store as before."""
        faults = self.nodes[name].faults
        if name in self.workers:
            self.add_agent(name, faults=faults)
        else:
            self.add_entry(name, faults=faults)

    def lose_worker(self, name):
        """Let a worker crash, and answer nobody until `return_worker`.

        The other members of its gangs end as broken: none is done without it.
        """
        lost = [
            member
            for members in self.gangs.present.values()
            for member in members
            if member.worker is self.workers[name] and not member.ended
        ]
        self.workers[name].crash()
        for member in lost:
            self.gangs.end_others(member, runs.GANG_BROKEN)
        self.workers[name].faults.down = True

    def return_worker(self, name):
        """Let a lost worker answer again, in a new life that has nothing."""
        self.workers[name].faults.down = False

    def cut_store(self, name, down=True):
        self.nodes[name].faults.down = down


def make_graph_world(entries=3, workers=4, guaranteed=0, seed=0):
    """Return a world with entries e0.., workers w0.. and an elected scheduler.

    The workers alternate between the zones a and b, and each rack has two of them.
    """
    world = GraphWorld(seed)
    world.configure(guaranteed)
    for number in range(entries):
        world.add_entry(f"e{number}")
    for number in range(workers):
        world.add_worker(f"w{number}", "ab"[number % 2], f"r{number // 2}")
    world.run_until(world.scheduler, 3.0)
    world.run(2.0)
    return world


def set_store_silent(world, silent, names=None):
    """Make the store silent, or not, for some nodes or for all."""
    for name in names or world.nodes:
        world.nodes[name].faults.silent = silent


def lose_starts(world):
    """Lose all messages with orders to start something; return the former function."""
    transmit = world.network.transmit

    def transmit_others(link, data):
        message = codec.decode(data)
        is_orders = isinstance(message, WorkOrders) and message.body
        if not (is_orders and coding.decode_orders(message.body).starts):
            transmit(link, data)

    world.network.transmit = transmit_others
    return transmit


def check_invariants(world):
    """Check that no task overlapped itself and no worker exceeded its capacity."""
    assert world.event_log.overlaps() == []

    def shape_of(task):
        step = world.specs[task.split(".")[0]]["steps"][int(task.split(".")[2])]
        return Shape(step["cpu"], step["mem-mb"], step["gpu"])

    assert world.event_log.over_capacity(shape_of, Shape(8000, 8000, 8)) == []
