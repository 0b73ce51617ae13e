"""An entry: creates and connects its components.

These are the readers of the store's tables (`Follower`), the election of the scheduler,
the handler of callers' calls and, on the scheduler, the dispatcher.
"""

from typing import NamedTuple

import msgspec
from eliot import log_message
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from samphiredeal.entry.graphs import relay, scheduler_monitor
from samphiredeal.entry.graphs.call_handler import CallHandler
from samphiredeal.entry.graphs.dispatcher import Dispatcher
from samphiredeal.entry.graphs.feed_confirmation import FeedConfirmedTable
from samphiredeal.entry.graphs.follower import Follower
from samphiredeal.entry.graphs.leadership import Leadership
from samphiredeal.entry.graphs.operations import OperationsView
from samphiredeal.entry.graphs.relay import Relay
from samphiredeal.entry.graphs.scheduler_monitor import SchedulerMonitor
from samphiredeal.entry.graphs.store_health import StoreHealth
from samphiredeal.entry.graphs.wall_clock import SAMPLE_INTERVAL_S, WallClock
from samphiredeal.entry.graphs.work import WorkView
from samphiredeal.entry.periodic import Periodic
from samphiredeal.model.timing import lease_wait_s
from samphiredeal.wire.messages import Ask, AskReply, SchedulerQuery, SchedulerSign

# Long-poll times of calls for changes; also how often the rows are confirmed current
# when nothing changes.
_OPERATIONS_POLL_S = 0.6
_WORK_POLL_S = 0.5
# Batch changes that come in quick succession; far below the 2 s within which a
# configuration must be in force.
_OPERATIONS_BATCH_DELAY_S = 0.1
_WORK_BATCH_DELAY_S = 0.01
# Heartbeats are late by at most this interval.
_LEADERSHIP_INTERVAL_S = 0.1
# Rows older than this mean that the store cannot be reached from here.
_READY_MAX_AGE_S = 2.2
# An entry refuses callers if its configuration has not been confirmed for this share of
# the time within which a change must be in force during a partial outage: 4 s of 7 s.
_CONFIG_MAX_AGE_SHARE = 0.57
# On a planned stop callers are still served for this long: the load balancer needs two
# failed checks, 1 s apart, before it sends new callers elsewhere.
_DRAIN_LINGER_S = 3.0
_DRAIN_POLL_INTERVAL_S = 0.05


class HostContext(NamedTuple):
    """Dependencies and settings of a `Dispatcher`."""

    clock: object
    table: object
    view: object
    operations: object
    operations_age_s: object
    is_store_silent: object
    store_ms: object
    rows_version: object
    connect: object
    wall_ms: object
    far_factor: float
    gang_start_s: float
    lease_wait_s: float
    state_kept_s: float
    advice: object = None


class GraphEntry:
    """One entry.

    `table` has the system's rows, `operator_table` the operator's. `connect(address)`
    returns a Deferred of a link; other entries reach this one at `address`. `advice`
    queries which workers may run a step, for queues that require it.
    """

    def __init__(
        self,
        clock,
        name,
        address,
        table,
        operator_table,
        connect,
        bounds,
        wall,
        random,
        advice=None,
    ):
        self._clock = clock
        table = self._table = FeedConfirmedTable(table)
        self._operator_view = OperationsView(self._rows_changed)
        self._view = WorkView(clock, self._rows_changed)
        self._wall_clock = WallClock(clock, wall)
        self._operator_follower = Follower(
            clock,
            operator_table,
            "operator",
            _OPERATIONS_POLL_S,
            _OPERATIONS_BATCH_DELAY_S,
            self._operator_view.on_rows,
        )
        self._work_follower = Follower(
            clock,
            table,
            "work",
            _WORK_POLL_S,
            _WORK_BATCH_DELAY_S,
            self._work_rows_changed,
        )
        # Callers are served once both have heard the store.
        self._work_follower.call_on_recovery(self._operator_follower.probe_now)
        self._operator_follower.call_on_recovery(self._work_follower.probe_now)
        self._scheduler_monitor = SchedulerMonitor(
            clock, name, connect, self._view, random
        )
        self._leadership = Leadership(
            clock,
            table,
            self._view,
            self._work_follower,
            name,
            random,
            self._scheduler_monitor,
            self._leadership_changed,
        )
        self._relay = Relay(
            clock,
            name,
            address,
            connect,
            table,
            self._view,
            lambda call: self._call_handler.answer_for_entry(call),
        )
        self._call_handler = CallHandler(
            clock,
            self._wall_clock.unix_ms,
            table,
            self._operator_view,
            self._view,
            StoreHealth(self._work_follower, self._operator_follower),
            _CONFIG_MAX_AGE_SHARE * (bounds.config_apply_s + bounds.config_stretch_s),
            self._relay.forward,
        )
        self._context = HostContext(
            clock,
            table,
            self._view,
            self._operator_view,
            lambda: self._operator_follower.age_s,
            lambda: self._work_follower.is_unresponsive,
            lambda: self._work_follower.store_ms,
            lambda: self._work_follower.version,
            connect,
            self._wall_clock.unix_ms,
            bounds.far_factor,
            bounds.gang_start_s,
            lease_wait_s(bounds.lease_max_s),
            bounds.state_kept_s + 30.0,
            advice,
        )
        self._grace_s = bounds.stop_grace_s
        self._dispatcher = None
        self._stopping = False
        self._periodic = Periodic(clock)

    @property
    def call_handler(self):
        """The handler of callers' calls."""
        return self._call_handler

    @property
    def stopping(self):
        """Whether a planned stop has begun."""
        return self._stopping

    @property
    def dispatcher(self):
        """The dispatcher while this entry is the scheduler, else None."""
        return self._dispatcher

    @property
    def leadership(self):
        """This entry's part in the election of the scheduler."""
        return self._leadership

    @property
    def view(self):
        """The system's rows."""
        return self._view

    @property
    def operations(self):
        """The operator's rows."""
        return self._operator_view

    @property
    def is_ready(self):
        """Whether callers should be sent here."""
        ages = (self._operator_follower.age_s, self._work_follower.age_s)
        known = self._operator_view.directory is not None
        return not self._stopping and known and max(ages) < _READY_MAX_AGE_S

    def start(self):
        """Start to follow the rows and to take part in the election."""
        for follower in (self._operator_follower, self._work_follower):
            ensureDeferred(follower.run()).addErrback(_log_failure)
        ensureDeferred(self._relay.announce()).addErrback(_log_failure)
        self._periodic.every(SAMPLE_INTERVAL_S, self._wall_clock.sample)
        self._periodic.every(
            scheduler_monitor.POLL_INTERVAL_S, self._scheduler_monitor.tick
        )
        self._periodic.every_coroutine(
            _LEADERSHIP_INTERVAL_S, "leadership", self._leadership.tick
        )

    def accept(self, link):
        """Accept a link that another entry has opened."""
        link.on_message = self._on_message

    def _on_message(self, link, message):
        if isinstance(message, Ask):
            if message.topic == relay.TOPIC:
                self._relay.answer(link, message)
            else:
                self._refuse_ask(link, message)
        elif isinstance(message, SchedulerQuery):
            no_response_s = self._work_follower.since_last_response_s
            link.send(SchedulerSign(self._leadership.epoch, no_response_s))

    def _refuse_ask(self, link, message):
        """Refuse a question on a topic of another build.

        A scheduler of a build that shows unstored ends shows none if an entry refuses
        them, and takes one that does not reply for lost.
        """
        reason = f"unknown topic {message.topic[:40]!r}"
        log_message(message_type="ask_refused", entry=message.query_id, reason=reason)
        is_accepted = False
        document = msgspec.msgpack.encode((is_accepted, reason))
        link.send(AskReply(message.query_id, document))

    async def drain(self):
        """Stop as planned: resign, drain callers, finish the calls in flight."""
        self._stopping = True
        began_at = self._clock.seconds()
        await self._leadership.resign()
        linger_until = began_at + min(_DRAIN_LINGER_S, self._grace_s / 2)
        give_up_at = began_at + self._grace_s - 1.0
        while self._clock.seconds() < linger_until:
            await deferLater(self._clock, _DRAIN_POLL_INTERVAL_S)
        while self._call_handler.in_flight and self._clock.seconds() < give_up_at:
            await deferLater(self._clock, _DRAIN_POLL_INTERVAL_S)
        self.stop()

    def stop(self):
        self._periodic.stop()
        self._relay.stop()
        self._scheduler_monitor.stop()
        self._operator_follower.stop()
        self._work_follower.stop()
        if self._dispatcher is not None:
            self._dispatcher.stop()
            self._dispatcher = None

    def _work_rows_changed(self, rows, is_snapshot):
        self._view.on_rows(rows, is_snapshot)
        self._table.confirm(rows)

    def _rows_changed(self):
        if self._dispatcher is not None:
            self._dispatcher.view_changed()

    def _leadership_changed(self):
        if self._dispatcher is not None:
            self._dispatcher.stop()
            self._dispatcher = None
        if self._leadership.epoch and not self._stopping:
            ensureDeferred(self._begin_term(self._leadership.epoch)).addErrback(
                _log_failure
            )

    async def _begin_term(self, epoch):
        """Start the dispatcher once all rows up to the takeover are received."""
        condition = self._leadership.condition
        while (self._work_follower.version or 0) < condition.version:
            await deferLater(self._clock, _DRAIN_POLL_INTERVAL_S / 2)
            if self._leadership.epoch != epoch or self._stopping:
                return
        if self._leadership.epoch == epoch and self._dispatcher is None:
            self._dispatcher = Dispatcher(self._context, self._leadership)
            self._dispatcher.start()


def _log_failure(failure):
    log_message(message_type="entry_failed", reason=failure.getTraceback())
