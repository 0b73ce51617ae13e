"""Start-up of an entry or an agent from a settings file."""

import random

from eliot import log_message
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.cli import runtime, settings
from samphiredeal.wire import link

# Delay between drain and exit, in which the last answers are sent.
_FLUSH_S = 0.2


def run_entry(path):
    """Run an entry until it is stopped."""
    from samphiredeal.entry.api import make_api
    from samphiredeal.entry.http import make_site
    from samphiredeal.entry.metrics import Metrics
    from samphiredeal.entry.node import EntryIdentity, EntryNode
    from samphiredeal.platform.client import HttpClient, HttpObjects, HttpTable

    options = settings.load(path, settings.EntrySettings)
    runtime.log_to_stdout()
    clock = runtime.MonotonicClock()
    identity = EntryIdentity(
        options["name"],
        options["zone"],
        options["region"],
        options["address"] or f"{options['host']}:{options['port']}",
        runtime.new_incarnation(),
    )
    platform = HttpClient(reactor, options["platform_url"])
    rng = random.Random()
    node = EntryNode(
        clock,
        identity,
        HttpTable(platform),
        HttpObjects(platform),
        lambda address: link.connect(reactor, address),
        lambda sessions: rng.choices(sessions, k=2),
        reactor.seconds,
    )
    metrics = Metrics("entry", identity.name)
    site = make_site(make_api(node, metrics, clock))
    listening = []

    async def begin():
        port = await link.listen(reactor, options["host"], options["port"], node.accept)
        listening.append(port)
        http_host = options["http_host"] or options["host"]
        listening.append(
            reactor.listenTCP(options["http_port"], site, interface=http_host)
        )
        node.start()
        log_message(message_type="entry_started", name=identity.name)

    async def drain():
        await node.drain(options["drain_grace_s"])
        await deferLater(reactor, _FLUSH_S)

    runtime.stop_on_sigterm(drain)
    reactor.callWhenRunning(lambda: ensureDeferred(begin()).addErrback(_abort_start))
    reactor.run(installSignalHandlers=False)


def run_agent(path):
    """Run an agent until it is stopped."""
    from samphiredeal.agent.node import Agent, AgentIdentity, EntryAddress

    options = settings.load(path, settings.AgentSettings)
    runtime.log_to_stdout()
    clock = runtime.MonotonicClock()
    capacity = options["capacity"]
    identity = AgentIdentity(
        options["name"],
        options["kind"],
        options["zone"],
        options["rack"],
        runtime.new_incarnation(),
        (capacity["cpu_milli"], capacity["memory_mb"], capacity["accelerators"]),
        options["slots"],
        options["labels"],
    )
    entries = [EntryAddress(address, address, "") for address in options["entries"]]
    agent = Agent(
        clock, identity, entries, lambda address: link.connect(reactor, address)
    )

    async def begin():
        await _attach(agent, identity, options, clock)
        agent.start()
        log_message(message_type="agent_started", name=identity.name)

    async def drain():
        await agent.drain(options["drain_grace_s"])
        await deferLater(reactor, _FLUSH_S)

    runtime.stop_on_sigterm(drain)
    reactor.callWhenRunning(lambda: ensureDeferred(begin()).addErrback(_abort_start))
    reactor.run(installSignalHandlers=False)


async def _attach(agent, identity, options, clock):
    """Attach the handler for the agent's kind of upstream."""
    from samphiredeal.agent.drivers import HttpCaller, HttpRuntime, executor_driver
    from samphiredeal.agent.members import MemberManager
    from samphiredeal.agent.requests import RequestHandler
    from samphiredeal.model.shape import Shape

    caller = HttpCaller(reactor, options["upstream_url"], options["connections"])
    if identity.kind == "executor":
        run = executor_driver(caller)
        handler = RequestHandler(
            clock,
            agent.permits,
            identity.incarnation,
            options["slots"],
            run,
            agent.gate,
        )
        agent.attach(requests=handler)
        return
    driver = HttpRuntime(reactor, caller, lambda *ended: manager.on_task_ended(*ended))
    await driver.reset()
    manager = MemberManager(
        clock,
        agent.permits,
        Shape(*identity.capacity),
        driver,
        agent.notify,
        agent.gate,
    )
    agent.attach(members=manager)


def _abort_start(failure):
    """Log why start-up failed and stop the reactor."""
    log_message(message_type="start_failed", reason=failure.getTraceback())
    if reactor.running:
        reactor.stop()
