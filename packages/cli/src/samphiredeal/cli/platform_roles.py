"""Start-up of an entry or an agent on the users' platform."""

import random
import signal
import sys
import time

import msgspec
from eliot import add_destinations, log_message, write_traceback
from twisted.internet import reactor
from twisted.internet.task import deferLater

from samphiredeal.cli import early, runtime
from samphiredeal.entry.metrics import ProcessMetrics
from samphiredeal.platform import service_http
from samphiredeal.platform.advice import AdviceClient
from samphiredeal.platform.client import HttpClient, HttpTable
from samphiredeal.platform.operator import OPERATOR_TABLE
from samphiredeal.platform.settings import read_settings
from samphiredeal.platform.table import Limits
from samphiredeal.wire import link

# Delay before the process exits, in which the last answers are sent.
_FLUSH_S = 0.2
_METRICS_PATH = b"metrics"


def run_entry(settings, callers):
    """Run an entry until it is stopped; `callers` is the listening socket."""
    from samphiredeal.entry.graphs.node import GraphEntry

    clock = _set_up_process()
    store = HttpClient(reactor, f"http://{settings.store_address}", clock=clock)
    entry = GraphEntry(
        clock,
        settings.node,
        f"{settings.ip}:{settings.link_port}",
        HttpTable(store, limits=Limits(row_bytes=settings.store_row_bytes)),
        HttpTable(store, OPERATOR_TABLE),
        lambda address: link.connect(reactor, address),
        settings.bounds,
        time.time,
        random.Random(),
        _make_advice_client(settings, clock),
    )
    metrics = _make_metrics("entry", settings)

    def begin():
        _listen_for_links(settings, entry.accept)
        resource = service_http.CallerResource(
            entry.call_handler.answer, lambda: entry.stopping
        )
        early.adopt(reactor, callers, service_http.make_site(resource))
        _listen(
            settings.readiness_address,
            service_http.ReadinessResource(lambda: entry.is_ready),
        )
        _listen_for_metrics(settings, metrics)
        entry.start()
        log_message(message_type="entry_started", node=settings.node)

    async def drain():
        await entry.drain()
        await deferLater(reactor, _FLUSH_S)

    _run(begin, drain)


def run_agent(settings):
    """Run an agent until it is stopped."""
    from samphiredeal.agent.graphs.node import GraphAgent, Rows
    from samphiredeal.entry.graphs import work
    from samphiredeal.platform.executor import ExecutorClient

    clock = _set_up_process()
    store = HttpClient(reactor, f"http://{settings.store_address}", clock=clock)
    worker = HttpClient(reactor, f"http://{settings.worker_address}", clock=clock)
    address = f"{settings.ip}:{settings.link_port}"
    announcement = msgspec.json.encode(work.WorkerRecord(address, settings.zone))
    agent = GraphAgent(
        clock,
        settings.node,
        ExecutorClient(worker),
        HttpTable(store),
        Rows(
            work.worker_key(settings.node),
            announcement,
            work.evicted_key(settings.node),
        ),
        settings.bounds.lease_max_s,
    )
    metrics = _make_metrics("agent", settings)

    def on_heartbeat(fields):
        agent.run_manager.record_heartbeat(fields.facts, fields.sequence)

    def on_deregister(worker_id):
        log_message(message_type="worker_farewell", worker=worker_id)
        agent.run_manager.record_farewell(worker_id)

    def on_malformed(worker_id, reason):
        log_message(
            message_type="heartbeat_unreadable", worker=worker_id, reason=reason
        )

    def begin():
        _listen_for_links(settings, agent.accept)
        _listen(
            settings.worker_calls_address,
            service_http.HeartbeatResource(on_heartbeat, on_deregister, on_malformed),
        )
        _listen_for_metrics(settings, metrics)
        agent.start()
        log_message(message_type="agent_started", node=settings.node)

    async def drain():
        await agent.drain(settings.bounds.stop_grace_s)
        await deferLater(reactor, _FLUSH_S)

    _run(begin, drain)


def _set_up_process():
    """Set up logging to standard output and the clock; return the clock."""
    runtime.log_to_stdout()
    runtime.use_boottime_clock(reactor)
    return reactor


def _make_advice_client(settings, clock):
    """Return the client of the advice service, or None if none is configured."""
    if not settings.advice_address:
        return None
    address = f"http://{settings.advice_address}"
    return AdviceClient(HttpClient(reactor, address, clock=clock))


def _make_metrics(role, settings):
    """Return metrics that count this process's log messages."""
    metrics = ProcessMetrics(role, settings.node)
    add_destinations(metrics.count)
    return metrics


def _listen(address, resource):
    host, _, port = address.rpartition(":")
    site = service_http.make_site(resource)
    reactor.listenTCP(int(port), site, interface=host)


def _listen_for_links(settings, accept):
    listening = link.listen(reactor, settings.ip, settings.link_port, accept)
    listening.addErrback(_abort_start)


def _listen_for_metrics(settings, metrics):
    resource = service_http.TextResource(metrics.render)
    _listen(f"{settings.ip}:{settings.metrics_port}", resource)


def _run(begin, drain):
    """Run the reactor until it is stopped; exit with status 1 if start-up fails."""
    failures = []

    def start():
        try:
            begin()
        except Exception:
            write_traceback()
            failures.append("start failed")
            reactor.stop()

    runtime.stop_on_sigterm(drain)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(_reload))
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    if failures:
        sys.exit(1)


def _reload():
    """Validate the settings file again; changes need a restart to take effect."""
    try:
        settings = read_settings()
    except ValueError as error:
        log_message(message_type="reload_failed", reason=str(error))
        return
    log_message(message_type="reloaded", node=settings.node)


def _abort_start(failure):
    log_message(message_type="start_failed", reason=failure.getTraceback())
    if reactor.running:
        reactor.stop()
