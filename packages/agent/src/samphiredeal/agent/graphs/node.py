"""The agent: its worker's heartbeats, the scheduler's links, its own rows."""

from typing import NamedTuple

from eliot import log_message
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.agent.graphs.lease_authority import LeaseAuthority
from samphiredeal.agent.graphs.run_manager import RunManager
from samphiredeal.platform.table import Committed, Row
from samphiredeal.wire import orders as coding
from samphiredeal.wire.messages import (
    SchedulerQuery,
    SchedulerSighting,
    WorkOrders,
    WorkReport,
)

# A report leaves at least this often, so that silence shows.
REPORT_EVERY_S = 0.8
# Reports of changes that come together leave together.
_REPORT_DELAY_S = 0.005
# A scheduler silent for this long makes the agent ask the store.
_ASK_STORE_AFTER_S = 1.5
# Then it asks about as often as it would report, well within its trust of 3 s.
_ASK_STORE_EVERY_S = 0.8
_REGISTER_RETRY_S = 0.3
# How often an agent without a scheduler makes sure that it can be found.
_REGISTER_AGAIN_S = 10.0


class Rows(NamedTuple):
    """The keys of an agent's own rows and the row that announces it."""

    announce_key: str
    announce_value: bytes
    evicted_key: str


class GraphAgent:
    """One agent. `rows` names its rows in `table`."""

    def __init__(self, clock, name, calls, table, rows, lease_max_s):
        self._clock = clock
        self._name = name
        self._table = table
        self._rows = rows
        self._authority = LeaseAuthority(clock)
        self._run_manager = RunManager(
            clock, calls, self._authority, lease_max_s, self._report_soon
        )
        self._links = set()
        self._scheduler = None
        self._number = 0
        self._reported_at = float("-inf")
        self._report_timer = None
        self._asked_at = float("-inf")
        self._registered_at = None
        self._running = False

    @property
    def run_manager(self):
        """The keeper of the worker's runs."""
        return self._run_manager

    @property
    def lease_authority(self):
        """What lets this agent extend leases."""
        return self._authority

    def start(self):
        """Begin to watch the worker and to be found."""
        self._running = True
        for work in (self._run_manager.watch(), self._register(), self._tick()):
            ensureDeferred(work).addErrback(_log_failure)

    def stop(self):
        """Stop; what runs on the worker goes on under its lease."""
        self._running = False
        self._run_manager.stop()
        for link in list(self._links):
            link.close()

    # The scheduler

    def accept(self, link):
        """Take a link that an entry has opened."""
        self._links.add(link)
        link.on_message = self._on_message
        link.on_lost = self._on_lost

    def _on_lost(self, link):
        self._links.discard(link)
        if self._scheduler is link:
            self._scheduler = None

    def _on_message(self, link, message):
        if isinstance(message, SchedulerQuery):
            self._tell_of_scheduler(link)
        elif isinstance(message, WorkOrders):
            self._take_orders(link, message)

    def _tell_of_scheduler(self, link):
        """Tell an entry whether the scheduler is heard here."""
        sighting = SchedulerSighting(
            self._authority.epoch,
            self._scheduler is not None,
            self._authority.scheduler_silent_s,
        )
        link.send(sighting)

    def _take_orders(self, link, message):
        before = self._authority.epoch
        if not self._authority.saw_epoch(message.epoch):
            self._send_report(link)
            log_message(
                message_type="orders_of_old_epoch",
                epoch=message.epoch,
                newest=self._authority.epoch,
            )
            return
        if message.epoch != before:
            log_message(
                message_type="scheduler_heard", epoch=message.epoch, before=before
            )
        if self._scheduler is not link:
            self._scheduler = link
            self._send_report(link)
        self._authority.report_answered(message.report_seen)
        if message.body:
            self._obey(message.body)

    def _obey(self, body):
        try:
            orders = coding.decode_orders(body)
        except ValueError as error:
            log_message(message_type="orders_unreadable", reason=str(error)[:300])
            return
        self._run_manager.obey(orders)

    def _report_soon(self):
        if self._report_timer is None or not self._report_timer.active():
            self._report_timer = self._clock.callLater(
                _REPORT_DELAY_S, self._report_now
            )

    def _report_now(self):
        if self._scheduler is not None:
            self._send_report(self._scheduler)

    def _send_report(self, link):
        self._number += 1
        self._reported_at = self._clock.seconds()
        self._authority.report_sent(self._number)
        body = coding.encode(self._run_manager.report())
        link.send(WorkReport(self._authority.epoch, self._number, body))

    # The store

    async def _register(self):
        """Announce this agent, until the store has taken it in."""
        while self._running:
            answer = await self._table.write(
                [], [(self._rows.announce_key, self._rows.announce_value)]
            )
            if isinstance(answer, Committed):
                self._registered_at = self._clock.seconds()
                log_message(message_type="agent_announced", name=self._name)
                return
            await deferLater(self._clock, _REGISTER_RETRY_S)

    async def _tick(self):
        while self._running:
            now = self._clock.seconds()
            if now - self._reported_at >= REPORT_EVERY_S:
                self._report_now()
            if self._authority.scheduler_silent_s > _ASK_STORE_AFTER_S:
                await self._ask_store(now)
            await deferLater(self._clock, REPORT_EVERY_S / 4)

    async def _ask_store(self, now):
        """Look for an eviction while no scheduler is heard."""
        if now - self._asked_at < _ASK_STORE_EVERY_S:
            return
        self._asked_at = now
        row = await self._table.read(self._rows.evicted_key)
        if not isinstance(row, Row):
            return
        if row.version:
            log_message(message_type="agent_evicted", row_version=row.version)
        else:
            self._authority.not_evicted(now)
        registered_at = self._registered_at
        if registered_at is not None and now - registered_at > _REGISTER_AGAIN_S:
            self._registered_at = None
            await self._register()


def _log_failure(failure):
    log_message(message_type="agent_failed", reason=failure.getTraceback())
