"""A simulated cluster of entries and agents on a manually advanced clock.

Entries and agents are the production classes; links, the table, executors and
worker runtimes are fakes. A node can be frozen (it runs nothing and its input
queues up), killed, or restarted without its state. Links can be cut or delayed,
and messages lost or duplicated.
"""

import random
from typing import NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred, fail, succeed
from twisted.internet.error import AlreadyCalled, ConnectionRefusedError
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

# Added to each advance so that rounding cannot leave a due call pending.
ROUNDING_MARGIN_S = 1e-9
LATENCY_S = 0.001
SERVICE_S = 0.1
TASK_LEASE_S = 4.0
POLL_S = 0.5


class _NodeTimer:
    """A delayed call of a node; it stays active while it waits for the node's thaw."""

    def __init__(self, node_clock, function, args, kwargs):
        self._node_clock = node_clock
        self._call = lambda: function(*args, **kwargs)
        self._is_active = True
        self.shared_call = None

    def fire(self):
        """Call the function by the node's clock, unless it is cancelled before."""
        self._node_clock.run(self._call_if_active)

    def active(self):
        """Return whether the function is still to be called."""
        return self._is_active

    def cancel(self):
        """Cancel the call; fail if the function has been called."""
        if not self._is_active:
            raise AlreadyCalled
        self._is_active = False
        if self.shared_call.active():
            self.shared_call.cancel()

    def getTime(self):
        """Return when the call is due, in seconds of the clock."""
        return self.shared_call.getTime()

    def reset(self, seconds):
        """Let the call be due in `seconds`."""
        self.shared_call.reset(seconds)

    def _call_if_active(self):
        if self._is_active:
            self._is_active = False
            self._call()


class NodeClock:
    """A node's clock, which defers calls while frozen and drops them once dead."""

    def __init__(self, shared):
        self._shared = shared
        self._frozen = False
        self._dead = False
        self._deferred = []

    @property
    def dead(self):
        return self._dead

    @property
    def frozen(self):
        return self._frozen

    def seconds(self):
        return self._shared.seconds()

    def callLater(self, delay, function, *args, **kwargs):
        timer = _NodeTimer(self, function, args, kwargs)
        timer.shared_call = self._shared.callLater(delay, timer.fire)
        return timer

    def run(self, function, *args, **kwargs):
        """Call the function now, on thaw if frozen, or never if dead."""
        if self._dead:
            return
        if self._frozen:
            self._deferred.append((function, args, kwargs))
        else:
            function(*args, **kwargs)

    def freeze(self):
        self._frozen = True

    def thaw(self):
        self._frozen = False
        deferred, self._deferred = self._deferred, []
        for function, args, kwargs in deferred:
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
            self._network.transmit(self, codec.encode(message))

    def close(self):
        if self.open:
            self.open = False
            self._network.transmit_close(self)


class Network:
    """Carries messages between nodes and injects network faults.

    Each message is delivered twice with `duplicate_probability`. `lose_next` lists
    message classes; each entry drops the next message of its class.
    """

    def __init__(self, clock, rng):
        self._clock = clock
        self._rng = rng
        self._listeners = {}
        self.cuts = set()
        self.delay_s = {}
        self.duplicate_probability = 0.0
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
        """Drop messages from one node to another, and back if `both`.

        Links stay open.
        """
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def heal(self):
        self.cuts.clear()
        self.delay_s.clear()

    def transmit(self, link, data):
        source, target = link.node.name, link.peer_name
        self.bytes_by_node[source] = self.bytes_by_node.get(source, 0) + len(data) + 4
        message = codec.decode(data)
        for message_class in self.lose_next:
            if isinstance(message, message_class):
                self.lose_next.remove(message_class)
                return
        if self._is_cut(source, target):
            return
        copies = 2 if self._rng.random() < self.duplicate_probability else 1
        for _ in range(copies):
            at = self._clock.seconds() + LATENCY_S + self.delay_s.get(source, 0.0)
            link.ready_at = max(link.ready_at, at)
            wait = link.ready_at - self._clock.seconds()
            self._clock.callLater(wait, self._deliver, link.other, message)

    def transmit_close(self, link):
        if not self._is_cut(link.node.name, link.peer_name):
            self._clock.callLater(LATENCY_S, self._deliver_close, link.other)

    def reset_links_of(self, node, links):
        """Close a node's links, as the kernel does when a process exits."""
        for link in links:
            if link.open:
                link.close()

    def _is_cut(self, source, target):
        return (source, target) in self.cuts

    def _deliver(self, link, message):
        link.node.clock.run(self._deliver_now, link, message)

    def _deliver_now(self, link, message):
        if link.open:
            link.on_message(link, message)

    def _deliver_close(self, link):
        link.node.clock.run(self._close_now, link)

    def _close_now(self, link):
        if link.open:
            link.open = False
            link.on_lost(link)


class Run(NamedTuple):
    """One execution of a request body at an executor."""

    body: bytes
    agent: str
    zone: str
    at: float


class Answered(NamedTuple):
    """The outcome returned to a caller, and when."""

    body: bytes
    key: str
    outcome: object
    at: float


class Node:
    """A simulated process, its clock and its links."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.clock = NodeClock(world.clock)
        self.links = []
        self.process = None

    def connect(self, address):
        connected = self.world.network.connect(self, address)
        connected.addCallback(self._record_link)
        return connected

    def accept(self, link):
        self.links.append(link)
        self.process.accept(link)

    def kill(self, silently=False):
        """End the process; if `silently`, peers see no close, as when the VM fails."""
        if not silently:
            self.world.network.reset_links_of(self, self.links)
        self.clock.kill()

    def _record_link(self, link):
        self.links.append(link)
        return link


class World:
    """A simulated cluster; time advances only in the `run` and request methods.

    Each function in `watchers` is called after every step of the clock.
    """

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

    # Nodes

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
        handler = RequestHandler(
            node.clock,
            agent.permits,
            identity.incarnation,
            slots,
            lambda body, budget_s: self._execute(node, body),
            agent.gate,
        )
        agent.attach(requests=handler)
        agent.start()
        return agent

    def worker(self, name, zone="a", rack="r1", accelerators=8):
        """Add or restart a worker's agent.

        The runtime outlives a killed agent; a restarted agent resets it.
        """
        capacity = (128_000, 512_000, accelerators)
        node, agent, _identity = self._agent(name, "worker", zone, rack, capacity)
        runtime = self.runtimes.setdefault(name, Runtime(self.clock))
        runtime.reset()
        driver = _RuntimeDriver(self, node, runtime)
        manager = MemberManager(
            node.clock,
            agent.permits,
            Shape(*capacity),
            driver,
            agent.notify,
            agent.gate,
        )
        driver.on_ended = manager.on_task_ended
        agent.attach(members=manager)
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
        """Execute a body; the executor continues even if the agent is killed."""
        if body.startswith(b"unreachable"):
            return fail(UpstreamUnreachable("refused"))
        self.runs.append(Run(body, node.name, node.zone, self.clock.seconds()))
        ended = Deferred()

        def finish():
            node.clock.run(ended.callback, (200, b"answer to " + body))

        self.clock.callLater(self.service_s, finish)
        return ended

    # Time, faults and requests

    def run(self, seconds):
        """Advance the clock."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self._step(end)

    def _step(self, end):
        """Advance to the next scheduled call, or to the end if it is sooner."""
        calls = self.clock.getDelayedCalls()
        due = min(calls[0].getTime(), end) if calls else end
        self.clock.advance(max(0.0, due - self.clock.seconds()) + ROUNDING_MARGIN_S)
        for watcher in self.watchers:
            watcher()

    def store_down(self, down=True, entries=None):
        """Make the table unreachable for the named entries, or all; or undo it."""
        for name in entries or self.faults:
            self.faults[name].down = down

    def start_request(self, entry, body, key="", klass="normal", deadline_s=5.0):
        """Send a request to an entry; return a list that receives its outcome."""
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
        """Send a request and advance the clock until its outcome; return that."""
        outcomes = self.start_request(entry, body, key, **options)
        self.run_until(lambda: outcomes, 30.0)
        return outcomes[0]

    def run_until(self, condition, seconds):
        """Advance the clock until the condition holds; fail if it takes longer."""
        give_up_at = self.clock.seconds() + seconds
        while not condition():
            assert self.clock.seconds() < give_up_at, f"not within {seconds} s"
            self._step(give_up_at)

    def change(self, entry, kind, name, document, expected=None):
        """Write a configuration change; return a list that receives the answer."""
        answers = []
        process = self.nodes[entry].process
        done = ensureDeferred(process.change(kind, name, document, expected))
        done.addCallback(answers.append)
        return answers

    def change_and_wait(self, entry, kind, name, document):
        """Write a configuration change and return its answer."""
        answers = self.change(entry, kind, name, document)
        self.run_until(lambda: answers, 15.0)
        return answers[0]

    def runs_of(self, body):
        """Return the executions of a body."""
        return [run for run in self.runs if run.body == body]

    def entries(self):
        """Return the entries that are alive."""
        return [
            node.process
            for node in self.nodes.values()
            if isinstance(node.process, EntryNode) and not node.clock.dead
        ]

    def holder(self):
        """Return the live entry that hosts the newest scheduler, or None."""
        hosts = [entry for entry in self.entries() if entry.host is not None]
        return max(hosts, key=lambda entry: entry.host.epoch, default=None)


class _RuntimeDriver:
    """Connects a member manager to a worker runtime outside the agent's process."""

    def __init__(self, world, node, runtime):
        self._world = world
        self._node = node
        self._runtime = runtime
        self._running = set()
        self.on_ended = None
        loop = LoopingCall(self._poll)
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

    def _poll(self):
        self._runtime.renew(sorted(self._running))
        for attempt_id in sorted(self._running):
            task = self._runtime.tasks[attempt_id]
            if task.state != "running":
                self._running.discard(attempt_id)
                self.on_ended(attempt_id, task.state == "done", task.detail)
