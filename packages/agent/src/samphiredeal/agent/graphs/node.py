"""The agent: its links to entries, its reports and its rows in the store."""

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

# Maximum interval between reports, so that the scheduler detects a failed agent.
REPORT_EVERY_S = 0.8
# Changes within this time are batched into one report.
_REPORT_DELAY_S = 0.005
# The agent queries the store for its eviction after no response from the scheduler
# for this long.
_QUERY_STORE_AFTER_S = 1.5
# Interval of these queries: about that of reports, and well below the 3 s for which a
# confirmation authorizes the agent to extend leases.
_QUERY_STORE_EVERY_S = 0.8
_REGISTER_RETRY_S = 0.3
_DRAIN_POLL_INTERVAL_S = 0.05
# What is left of the time of a planned stop to exit in.
_DRAIN_RESERVE_S = 1.0
# Without a scheduler, the agent renews its announcement at this interval.
_REGISTER_AGAIN_S = 10.0


class Rows(NamedTuple):
    """The keys of an agent's own rows and the value of its announcement."""

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
        # Epoch and number of the newest orders.
        self._newest_orders = (0, 0)
        self._report_number = 0
        self._reported_at = float("-inf")
        self._report_timer = None
        self._queried_at = float("-inf")
        self._registered_at = None
        self._running = False

    @property
    def run_manager(self):
        """The manager of the worker's runs."""
        return self._run_manager

    @property
    def lease_authority(self):
        """The authority of this agent to extend leases."""
        return self._authority

    def start(self):
        """Start polling the worker, announcing the agent and sending reports."""
        self._running = True
        for work in (self._run_manager.poll_worker(), self._register(), self._tick()):
            ensureDeferred(work).addErrback(_log_failure)

    async def drain(self, grace_s):
        """Stop as planned, within `grace_s`; wait for the end of a worker that is gone.

        Only this process knows how long the lease of an absent worker may last. If it
        stops before, its runs are held until it is evicted, and for the longest lease.
        """
        give_up_at = self._clock.seconds() + grace_s - _DRAIN_RESERVE_S
        while self._run_manager.is_end_awaited and self._clock.seconds() < give_up_at:
            await deferLater(self._clock, _DRAIN_POLL_INTERVAL_S)
        # The last report has to be sent.
        await deferLater(self._clock, _DRAIN_POLL_INTERVAL_S)
        self.stop()

    def stop(self):
        """Stop; runs on the worker continue until their lease expires."""
        self._running = False
        self._run_manager.stop()
        for link in list(self._links):
            link.close()

    # The scheduler

    def accept(self, link):
        """Accept a link that an entry has opened."""
        self._links.add(link)
        link.on_message = self._on_message
        link.on_lost = self._on_lost

    def _on_lost(self, link):
        self._links.discard(link)
        if self._scheduler is link:
            self._scheduler = None

    def _on_message(self, link, message):
        if isinstance(message, SchedulerQuery):
            self._send_sighting(link)
        elif isinstance(message, WorkOrders):
            self._receive_orders(link, message)

    def _send_sighting(self, link):
        """Send an entry the state of this agent's contact with the scheduler."""
        sighting = SchedulerSighting(
            self._authority.epoch,
            self._scheduler is not None,
            self._authority.scheduler_contact_age_s,
        )
        link.send(sighting)

    def _receive_orders(self, link, message):
        before = self._authority.epoch
        if not self._authority.observe_epoch(message.epoch):
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
        orders = self._read_orders(message.body) if message.body else None
        if orders is not None and self._is_overtaken(message, orders):
            return
        if self._scheduler is not link:
            self._scheduler = link
            self._send_report(link)
        self._authority.record_report_answered(message.report_seen)
        if orders is not None:
            self._run_manager.apply_orders(self._without_late_starts(message, orders))

    def _read_orders(self, body):
        """Return the `Orders` in the body of a message, or None if it is malformed."""
        try:
            return coding.decode_orders(body)
        except ValueError as error:
            log_message(message_type="orders_unreadable", reason=str(error)[:300])
            return None

    def _is_overtaken(self, message, orders):
        """Return whether newer orders have been applied; if not, these are the newest.

        A link may hold orders back until the scheduler has concluded from later reports
        that their runs never began.
        """
        number = (message.epoch, orders.number)
        if number > self._newest_orders:
            self._newest_orders = number
            return False
        self._log_late_orders(message, orders)
        return True

    def _without_late_starts(self, message, orders):
        """Return the orders, without starts if they answer a report of too long ago.

        An agent that hears no newer orders may have lost its name to another one.
        """
        if not orders.starts or self._authority.is_recent(message.report_seen):
            return orders
        self._log_late_orders(message, orders)
        return orders._replace(starts=())

    def _log_late_orders(self, message, orders):
        log_message(
            message_type="orders_late",
            epoch=message.epoch,
            number=orders.number,
            newest=self._newest_orders[1],
            starts=len(orders.starts),
        )

    def _report_soon(self):
        if self._report_timer is None or not self._report_timer.active():
            self._report_timer = self._clock.callLater(
                _REPORT_DELAY_S, self._report_now
            )

    def _report_now(self):
        if self._scheduler is not None:
            self._send_report(self._scheduler)

    def _send_report(self, link):
        self._report_number += 1
        self._reported_at = self._clock.seconds()
        self._authority.record_report_sent(self._report_number)
        body = coding.encode(self._run_manager.report())
        link.send(WorkReport(self._authority.epoch, self._report_number, body))

    # The store

    async def _register(self):
        """Write the announcement, retrying until it is committed."""
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
            if self._authority.scheduler_contact_age_s > _QUERY_STORE_AFTER_S:
                await self._query_store(now)
            await deferLater(self._clock, REPORT_EVERY_S / 4)

    async def _query_store(self, now):
        """Check the store for an eviction while the scheduler is unresponsive."""
        if now - self._queried_at < _QUERY_STORE_EVERY_S:
            return
        self._queried_at = now
        row = await self._table.read(self._rows.evicted_key)
        if not isinstance(row, Row):
            return
        if row.version:
            log_message(message_type="agent_evicted", row_version=row.version)
        else:
            self._authority.record_not_evicted(now)
        registered_at = self._registered_at
        if registered_at is not None and now - registered_at > _REGISTER_AGAIN_S:
            self._registered_at = None
            await self._register()


def _log_failure(failure):
    log_message(message_type="agent_failed", reason=failure.getTraceback())
