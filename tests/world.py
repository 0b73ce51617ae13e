"""Entries and agents joined in memory over a paused clock, with faults.

The nodes are the real ones; only links, the table, executors and worker
runtimes are fakes. A node may be frozen (nothing runs, input waits), killed or
restarted empty; links may be cut, delayed, or messages doubled.
"""

import random
from typing import NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred, fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock, LoopingCall

from samphiredeal.agent.members import MemberManager
from samphiredeal.agent.node import Agent, AgentIdentity, EntryAddress
from samphiredeal.agent.requests import RequestHandler, UpstreamUnreachable
from samphiredeal.entry.node import EntryIdentity, EntryNode
from samphiredeal.entry.requests import Request
from samphiredeal.model.shape import Shape
from samphiredeal.platform.memory import Faults, MemoryObjects, MemoryTable
from samphiredeal.standins.worker import Runtime
from samphiredeal.wire import codec

# Keeps rounding from leaving a call that is due undone.
TINY_S = 1e-9
LATENCY_S = 0.001
SERVICE_S = 0.1
TASK_LEASE_S = 4.0
POLL_S = 0.5


class NodeClock:
    """A node's clock: its calls wait while it is frozen and stop when it is dead."""

    def __init__(self, shared):
        self._shared = shared
        self._frozen = False
        self._dead = False
        self._held = []

    @property
    def dead(self):
        return self._dead

    @property
    def frozen(self):
        return self._frozen

    def seconds(self):
        return self._shared.seconds()

    def callLater(self, delay, function, *args, **kwargs):
        return self._shared.callLater(delay, self.run, function, *args, **kwargs)

    def run(self, function, *args, **kwargs):
        """Run now, later if frozen, never if dead."""
        if self._dead:
            return
        if self._frozen:
            self._held.append((function, args, kwargs))
        else:
            function(*args, **kwargs)

    def freeze(self):
        self._frozen = True

    def thaw(self):
        self._frozen = False
        held, self._held = self._held, []
        for function, args, kwargs in held:
            self.run(function, *args, **kwargs)

    def kill(self):
        self._dead = True


class MemoryLink:
    """One end of a link between two nodes."""

    def __init__(self, network, node, peer):
        self._network = network
        self.node = node
        self.peer_name = peer
        self.other = None
        self.open = True
        self.ready_at = 0.0
        self.on_message = lambda link, message: None
        self.on_lost = lambda link: None

    def send(self, message):
        if self.open:
            self._network.carry(self, codec.encode(message))

    def close(self):
        if self.open:
            self.open = False
            self._network.carry_close(self)


class Network:
    """Carries messages between nodes; `cut` drops them without a sign."""

    def __init__(self, clock, rng):
        self._clock = clock
        self._rng = rng
        self._listeners = {}
        self.cuts = set()
        self.delay_s = {}
        self.double = 0.0
        self.lose_next = []
        self.bytes_by_node = {}

    def listen(self, address, node, accept):
        self._listeners[address] = (node, accept)

    def connect(self, node, address):
        """Return a Deferred of a link from a node to an address."""
        listener = self._listeners.get(address)
        if listener is None or listener[0].clock.dead:
            return fail(ConnectionRefusedError(address))
        peer, accept = listener
        if self._is_cut(node.name, peer.name) or self._is_cut(peer.name, node.name):
            return Deferred().addTimeout(1.0, self._clock)
        # A frozen peer's kernel completes the connection all the same.
        near, far = MemoryLink(self, node, peer.name), MemoryLink(self, peer, node.name)
        near.other, far.other = far, near
        peer.clock.run(accept, far)
        return succeed(near)

    def cut(self, one, other, both=True):
        """Drop what goes from one node to another, in both directions or one."""
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def heal(self):
        self.cuts.clear()
        self.delay_s.clear()

    def carry(self, link, data):
        source, target = link.node.name, link.peer_name
        self.bytes_by_node[source] = self.bytes_by_node.get(source, 0) + len(data) + 4
        message = codec.decode(data)
        for lost in self.lose_next:
            if isinstance(message, lost):
                self.lose_next.remove(lost)
                return
        if self._is_cut(source, target):
            return
        copies = 2 if self._rng.random() < self.double else 1
        for _ in range(copies):
            at = self._clock.seconds() + LATENCY_S + self.delay_s.get(source, 0.0)
            link.ready_at = max(link.ready_at, at)
            wait = link.ready_at - self._clock.seconds()
            self._clock.callLater(wait, self._deliver, link.other, message)

    def carry_close(self, link):
        if not self._is_cut(link.node.name, link.peer_name):
            self._clock.callLater(LATENCY_S, self._deliver_close, link.other)

    def reset_links_of(self, node, links):
        """Tell the other ends that a node's process has ended."""
        for link in links:
            if link.open:
                link.close()

    def _is_cut(self, source, target):
        return (source, target) in self.cuts

    def _deliver(self, link, message):
        link.node.clock.run(self._hand_over, link, message)

    def _hand_over(self, link, message):
        if link.open:
            link.on_message(link, message)

    def _deliver_close(self, link):
        link.node.clock.run(self._hand_over_close, link)

    def _hand_over_close(self, link):
        if link.open:
            link.open = False
            link.on_lost(link)


class Run(NamedTuple):
    """One start of a request's body at an executor."""

    body: bytes
    agent: str
    zone: str
    at: float


class Answered(NamedTuple):
    """The outcome that a caller got, and when."""

    body: bytes
    key: str
    outcome: object
    at: float


class Node:
    """A process of the world: its clock and links."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.clock = NodeClock(world.clock)
        self.links = []
        self.process = None

    def connect(self, address):
        connected = self.world.network.connect(self, address)
        connected.addCallback(self._keep)
        return connected

    def accept(self, link):
        self.links.append(link)
        self.process.accept(link)

    def kill(self, silently=False):
        """End the process; silently if its whole VM vanishes."""
        if not silently:
            self.world.network.reset_links_of(self, self.links)
        self.clock.kill()

    def _keep(self, link):
        self.links.append(link)
        return link


class World:
    """A cluster in memory; time passes only in `run`."""

    def __init__(self, seed=0):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.network = Network(self.clock, self.rng)
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.faults = {}
        self.nodes = {}
        self.runs = []
        self.answered = []
        self.sent = []
        self.task_starts = []
        self.runtimes = {}
        self.service_s = SERVICE_S
        self.watchers = []
        self._incarnations = 0

    # Building

    def entry(self, name, zone="a", region="north"):
        """Add or restart an entry."""
        node = Node(self, name, zone)
        self.nodes[name] = node
        faults = self.faults.setdefault(name, Faults())
        table = self.table.view(node.clock, faults)
        objects = MemoryObjects(faults)
        objects._objects = self.objects._objects
        identity = EntryIdentity(name, zone, region, name, self._incarnation(name))
        node.process = EntryNode(
            node.clock,
            identity,
            table,
            objects,
            node.connect,
            lambda sessions: self.rng.choices(sessions, k=2),
        )
        self.network.listen(name, node, node.accept)
        node.process.start()
        return node.process

    def executor(self, name, zone="a", slots=8):
        """Add or restart an executor's agent."""
        node, agent, identity = self._agent(name, "executor", zone, slots=slots)
        side = RequestHandler(
            node.clock,
            agent.permits,
            identity.incarnation,
            slots,
            lambda body, budget_s: self._execute(node, body),
            agent.gate,
        )
        agent.attach(requests=side)
        agent.start()
        return agent

    def worker(self, name, zone="a", rack="r1", accelerators=8):
        """Add or restart a worker's agent; its runtime goes on by itself."""
        capacity = (128_000, 512_000, accelerators)
        node, agent, _identity = self._agent(name, "worker", zone, rack, capacity)
        runtime = self.runtimes.setdefault(name, Runtime(self.clock))
        runtime.reset()
        driver = _RuntimeDriver(self, node, runtime)
        side = MemberManager(
            node.clock,
            agent.permits,
            Shape(*capacity),
            driver,
            agent.notify,
            agent.gate,
        )
        driver.on_ended = side.on_task_ended
        agent.attach(members=side)
        agent.start()
        return agent

    def _agent(self, name, kind, zone, rack="", capacity=(0, 0, 0), slots=0):
        node = Node(self, name, zone)
        self.nodes[name] = node
        identity = AgentIdentity(
            name, kind, zone, rack, self._incarnation(name), capacity, slots
        )
        entries = [
            EntryAddress(other.name, other.name, other.zone)
            for other in self.nodes.values()
            if isinstance(other.process, EntryNode)
        ]
        agent = Agent(node.clock, identity, entries, node.connect)
        node.process = agent
        return node, agent, identity

    def _incarnation(self, name):
        self._incarnations += 1
        return f"{name}#{self._incarnations}"

    def _execute(self, node, body):
        """Run a body at an executor, which goes on even if the agent dies."""
        if body.startswith(b"unreachable"):
            return fail(UpstreamUnreachable("refused"))
        self.runs.append(Run(body, node.name, node.zone, self.clock.seconds()))
        ended = Deferred()

        def finish():
            node.clock.run(ended.callback, (200, b"answer to " + body))

        self.clock.callLater(self.service_s, finish)
        return ended

    # Driving

    def run(self, seconds):
        """Let time pass."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self._step(end)

    def _step(self, end):
        """Go to the next call that is due, or to the end."""
        calls = self.clock.getDelayedCalls()
        due = min(calls[0].getTime(), end) if calls else end
        self.clock.advance(max(0.0, due - self.clock.seconds()) + TINY_S)
        for watch in self.watchers:
            watch()

    def store_down(self, down=True, entries=None):
        """Make the table unreachable for some entries, or all."""
        for name in entries or self.faults:
            self.faults[name].down = down

    def start_request(self, entry, body, key="", klass="normal", deadline_s=5.0):
        """Start a request at an entry; returns a list that gets its outcome."""
        process = self.nodes[entry].process
        outcomes = []
        now = self.clock.seconds()
        request = Request("acct", klass, now + deadline_s, key, not key, body)
        served = ensureDeferred(process.requests.serve(request))
        served.addCallback(self._on_outcome, body, key, outcomes)
        return outcomes

    def _on_outcome(self, outcome, body, key, outcomes):
        outcomes.append(outcome)
        self.answered.append(Answered(body, key, outcome, self.clock.seconds()))

    def request(self, entry, body, key="", **options):
        """Serve a request and return its outcome; time passes meanwhile."""
        outcomes = self.start_request(entry, body, key, **options)
        self.run_until(lambda: outcomes, 30.0)
        return outcomes[0]

    def run_until(self, condition, seconds):
        """Let time pass until the condition holds; fail if it does not."""
        give_up_at = self.clock.seconds() + seconds
        while not condition():
            assert self.clock.seconds() < give_up_at, f"not within {seconds} s"
            self._step(give_up_at)

    def change(self, entry, kind, name, document, expected=None):
        """Write a configuration change; returns a list that gets the answer."""
        answers = []
        process = self.nodes[entry].process
        done = ensureDeferred(process.change(kind, name, document, expected))
        done.addCallback(answers.append)
        return answers

    def settle_change(self, entry, kind, name, document):
        """Write a change and return its answer."""
        answers = self.change(entry, kind, name, document)
        self.run_until(lambda: answers, 15.0)
        return answers[0]

    def runs_of(self, body):
        """Return the starts of a body."""
        return [run for run in self.runs if run.body == body]

    def entries(self):
        """Return the entries that are alive."""
        return [
            node.process
            for node in self.nodes.values()
            if isinstance(node.process, EntryNode) and not node.clock.dead
        ]

    def holder(self):
        """Return the entry that hosts the scheduler, or None."""
        hosts = [entry for entry in self.entries() if entry.host is not None]
        return max(hosts, key=lambda entry: entry.host.epoch, default=None)


class _RuntimeDriver:
    """Joins a member side to a worker runtime that lives in another process."""

    def __init__(self, world, node, runtime):
        self._world = world
        self._node = node
        self._runtime = runtime
        self._running = set()
        self.on_ended = None
        loop = LoopingCall(self._look)
        loop.clock = node.clock
        loop.start(POLL_S, now=False)

    def start(self, attempt_id, job, count):
        self._runtime.start(attempt_id, job, count, TASK_LEASE_S)
        self._running.add(attempt_id)
        self._world.task_starts.append(
            (attempt_id, self._node.name, self._node.zone, self._world.clock.seconds())
        )
        return succeed(None)

    def stop(self, attempt_id, checkpoint, grace_s):
        self._running.discard(attempt_id)
        return succeed(self._runtime.stop(attempt_id, checkpoint))

    def _look(self):
        self._runtime.renew(sorted(self._running))
        for attempt_id in sorted(self._running):
            task = self._runtime.tasks[attempt_id]
            if task.state != "running":
                self._running.discard(attempt_id)
                self.on_ended(attempt_id, task.state == "done", task.detail)
