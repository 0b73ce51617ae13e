"""The scheduler's sessions with agents: send orders, receive reports, detect failures.

Orders are sent only to agents that have reported recently, and name the report that
they answer. An agent's authority to extend leases counts from when it sent that report,
so that neither a stalled link nor a frozen process prolongs it.
"""

import msgspec
from eliot import log_message
from twisted.internet.defer import ensureDeferred

from samphiredeal.entry.graphs import work
from samphiredeal.entry.graphs.leadership import SCHEDULER_AUTHORITY_S
from samphiredeal.model.runs import Orders, RunId
from samphiredeal.platform.table import Committed, Condition, Conflict, Put
from samphiredeal.policy.graphs import records
from samphiredeal.wire import orders as coding
from samphiredeal.wire.messages import WorkOrders, WorkReport

# Twice the longest interval between an agent's reports, 0.8 s.
UNRESPONSIVE_AFTER_S = 1.6
# Time without a report after which the agent is evicted and its leases expire.
EVICT_AFTER_S = 2.5
# Longest interval between orders. They acknowledge reports, which renews the agent's
# authority to extend leases.
_ORDERS_INTERVAL_S = 0.4
# Short compared with the timeouts above.
_RECONNECT_DELAY_S = 0.3
_EVICT_RETRY_DELAY_S = 0.3
# The rows of a failed agent are deleted after this time without a report. If it comes
# back later, it announces itself again.
_REMOVE_AFTER_S = 300.0
# How far an estimate of the store's clock may be behind it: the clock is read from an
# answer, and calls that take longer are given up.
_STORE_CLOCK_ERROR_S = 1.5
# With a condition each, below the limit of a transaction's operations.
_MAX_PLACES_PER_WRITE = 45


class Session:
    """State of the scheduler's session with one agent."""

    def __init__(self, name, address, now):
        self.name = name
        self.address = address
        # Where the agent is by its row, if it is not at `address`; the row's version.
        self.announced_address = address
        self.announced_version = 0
        # Whether the store has `address`, for the next scheduler, and in which version
        # of the row.
        self.is_place_stored = False
        # Whether the row could not be read as the session began.
        self.is_place_unknown = False
        self.place_version = 0
        self.link = None
        self.link_opened_at = now
        self.connecting = False
        self.retry_at = now
        self.last_report_at = None
        self.no_report_since = now
        # Since when all reports of one link, without a gap, say that the agent knows no
        # worker.
        self.no_worker_since = None
        self.report = None
        # The last report that the scheduler has applied without an error.
        self.applied_report = None
        self.report_number = 0
        self.orders_sent_at = float("-inf")
        self.incarnation = ""
        self.completions_recorded = 0
        self.completions_sent = 0
        self.evicting = False
        self.evicted_at = None
        # The store's clock by which the leases have expired, as the scheduler before
        # this one stored it, or 0; and whether this one has begun to store it.
        self.expired_ms = 0
        self.is_expiry_sent = False
        self.failed = False


class Sessions:
    """Sessions with all agents announced in the rows."""

    def __init__(self, host, leadership, dispatcher):
        self._host = host
        self._clock = host.clock
        self._leadership = leadership
        self._dispatcher = dispatcher
        self._sessions = {}
        self._closed = False
        self._storing_places = False
        self._order_number = 0
        self._evictions = 0
        self._term_started_at = self._clock.seconds()

    @property
    def all_reported(self):
        """Whether every announced agent has reported in this term."""
        return all(one.report is not None for one in self._sessions.values())

    def set_workers(self, workers):
        """Open sessions with these agents: {name: `Versioned` record with address}."""
        now = self._clock.seconds()
        for name, stored in workers.items():
            session = self._sessions.get(name)
            if session is None:
                place = self._host.view.places.get(name)
                session = Session(name, (place or stored).value.address, now)
                session.expired_ms = self._stored_expiry_ms(name)
                key = work.place_key(name)
                session.is_place_unknown = key in self._host.view.unreadable
                if place is not None and not session.is_place_unknown:
                    session.is_place_stored = True
                    session.place_version = place.version
                self._sessions[name] = session
                self._connect(session)
            elif stored.version != session.announced_version and session.link is None:
                # It listens now. An earlier attempt may have been refused, or hang.
                session.connecting = False
                self._connect(session)
            if session.is_place_unknown:
                session = self._look_for_place(session, now)
            session.announced_address = stored.value.address
            session.announced_version = stored.version
        self._store_places()

    def close(self):
        self._closed = True
        for session in self._sessions.values():
            self._close_link(session)

    def tick(self):
        """Reconnect broken links, and handle unresponsive agents."""
        now = self._clock.seconds()
        for session in list(self._sessions.values()):
            if session.link is None and now >= session.retry_at:
                self._connect(session)
            no_report_s = now - session.no_report_since
            if min(no_report_s, now - session.link_opened_at) > EVICT_AFTER_S:
                # The agent may not have heard the scheduler on this link.
                self._close_link(session)
            if no_report_s > UNRESPONSIVE_AFTER_S:
                self._dispatcher.scheduler.mark_worker_unreachable(session.name)
            if no_report_s > EVICT_AFTER_S:
                self._evict(session, now)
            self._store_expiry(session, now)
            self._fail_if_lease_lapsed(session, now)
            if session.announced_address != session.address:
                self._move_if_empty(session, now)
            is_old = session.failed and no_report_s > _REMOVE_AFTER_S
            if is_old and not self._dispatcher.scheduler.held_jobs:
                self._remove_worker(session)
        self._store_places()

    def last_completions(self):
        """Return {name: (incarnation, number)} of the last completions applied."""
        completions = {}
        for session in self._sessions.values():
            report = session.applied_report
            if report is not None and report.worker is not None and report.ended:
                last = self._last_completion(report)
                completions[session.name] = (report.worker.life, last)
        return completions

    def _last_completion(self, report):
        """Return the number of the last completion that a report's agent may drop.

        The first one of a held job and those after it are kept: it has not been applied
        to the job, and a worker forgets what is acknowledged.
        """
        last = max(ended.number for ended in report.ended)
        is_held = self._dispatcher.scheduler.is_held_task
        kept = [ended.number for ended in report.ended if is_held(ended.task)]
        return min(kept) - 1 if kept else last

    def apply_reports_again(self):
        """Apply the last reports to jobs that were held as they came.

        Workers that have failed since run nothing of these jobs any more.
        """
        now = self._clock.seconds()
        for session in self._sessions.values():
            if session.failed:
                self._dispatcher.scheduler.mark_worker_failed(
                    session.name, "no response until its lease had expired"
                )
                continue
            heard_at = session.last_report_at
            is_recent = heard_at is not None and now - heard_at < UNRESPONSIVE_AFTER_S
            if is_recent and session.applied_report is not None:
                self._dispatcher.report_received(session.name, session.applied_report)
            else:
                session.applied_report = None

    def completions_stored(self, completions):
        """Record that completions are stored, so that agents may discard them."""
        for name, (incarnation, number) in completions.items():
            session = self._sessions.get(name)
            if session is not None and session.incarnation == incarnation:
                session.completions_recorded = max(session.completions_recorded, number)

    def send_orders(self, may_start):
        """Send orders that are due to every agent that has reported recently.

        Starts are sent only with `may_start`.
        """
        if not self._leadership.may_extend_leases:
            return
        now = self._clock.seconds()
        for session in self._sessions.values():
            last_report_at = session.last_report_at
            if session.link is None or last_report_at is None:
                continue
            if session.name in self._host.view.evicted:
                # Its orders would authorize it to extend leases that the row says have
                # expired. The row is being deleted.
                continue
            if now - last_report_at < UNRESPONSIVE_AFTER_S:
                self._send(session, now, may_start)

    def _send(self, session, now, may_start):
        starts, stops = (), ()
        if session.is_place_stored:
            starts, stops = self._dispatcher.scheduler.orders_for(
                session.name, now, may_start
            )
        is_due = now - session.orders_sent_at >= _ORDERS_INTERVAL_S
        completions = session.completions_recorded
        if not (starts or stops or is_due or completions != session.completions_sent):
            return
        # Rising for every agent, also in its next session.
        self._order_number += 1
        session.orders_sent_at = now
        session.completions_sent = completions
        report = session.report
        orders = Orders(
            self._leadership.epoch,
            self._order_number,
            session.incarnation,
            completions,
            tuple(starts),
            tuple(RunId(*stop) for stop in stops),
            tuple(RunId(one.task, one.run) for one in report.refused),
        )
        session.link.send(
            WorkOrders(
                self._leadership.epoch,
                session.report_number,
                coding.encode(orders),
            )
        )

    # Places

    def _look_for_place(self, session, now):
        """Return the session to use once a place that could not be read can be."""
        view, name = self._host.view, session.name
        if work.place_key(name) in view.unreadable:
            return session
        session.is_place_unknown = False
        place = view.places.get(name)
        if place is None:
            return session
        if place.value.address != session.address:
            self._close_link(session)
            session = self._sessions[name] = Session(name, place.value.address, now)
            session.expired_ms = self._stored_expiry_ms(name)
            self._connect(session)
        session.is_place_stored = True
        session.place_version = place.version
        return session

    def _store_places(self):
        """Store the addresses to which starts are sent, unless the store has them.

        A new scheduler looks for what an agent runs at the address that the last one
        used, whatever has been announced under the name since. The conditions keep a
        write that the store applies late from replacing a newer address.
        """
        if self._storing_places or self._host.is_store_silent():
            return
        unstored = [
            session
            for session in self._sessions.values()
            if not session.is_place_stored and not session.is_place_unknown
        ]
        if unstored:
            self._storing_places = True
            written = self._write_places(unstored[:_MAX_PLACES_PER_WRITE])
            ensureDeferred(written).addErrback(self._write_places_failed)

    async def _write_places(self, sessions):
        puts = [
            Put(
                work.place_key(session.name),
                msgspec.json.encode(work.PlaceRecord(session.address)),
            )
            for session in sessions
        ]
        conditions = [
            Condition(put.key, session.place_version)
            for put, session in zip(puts, sessions, strict=True)
        ]
        answer = await self._host.table.write(
            [self._leadership.condition, *conditions], puts
        )
        self._storing_places = False
        if self._closed:
            return
        for put, session in zip(puts, sessions, strict=True):
            if isinstance(answer, Committed):
                session.is_place_stored = True
                session.place_version = answer.versions[put.key]
            elif isinstance(answer, Conflict) and answer.row.key == put.key:
                session.place_version = answer.row.version
        self._dispatcher.schedule_round()

    def _write_places_failed(self, failure):
        """Let the next tick store the places again."""
        self._storing_places = False
        log_message(message_type="places_failed", reason=failure.getTraceback())

    # Links

    def _connect(self, session):
        if session.connecting or self._closed:
            return
        session.connecting = True
        session.retry_at = self._clock.seconds() + _RECONNECT_DELAY_S

        def connected(link):
            session.connecting = False
            is_current = self._sessions.get(session.name) is session
            if self._closed or not is_current or session.link is not None:
                link.close()
                return
            session.link = link
            session.link_opened_at = self._clock.seconds()
            session.last_report_at = session.no_worker_since = None
            link.on_message = lambda _link, message: self._message_received(
                session, link, message
            )
            link.on_lost = lambda _link: self._link_lost(session, link)
            link.send(WorkOrders(self._leadership.epoch, 0, b""))

        def failed(failure):
            session.connecting = False
            session.retry_at = self._clock.seconds() + _RECONNECT_DELAY_S

        self._host.connect(session.address).addCallbacks(connected, failed)

    def _close_link(self, session):
        link, session.link = session.link, None
        session.last_report_at = None
        if link is not None:
            link.close()

    def _link_lost(self, session, link):
        if session.link is link:
            session.link = None
            session.last_report_at = None
            session.retry_at = self._clock.seconds()

    def _message_received(self, session, link, message):
        if session.link is not link or not isinstance(message, WorkReport):
            return
        if message.epoch > self._leadership.epoch:
            self._leadership.step_down(f"agent {session.name} reports a newer epoch")
            return
        try:
            report = coding.decode_report(message.body)
        except ValueError as error:
            log_message(
                message_type="report_unreadable",
                worker=session.name,
                reason=str(error)[:300],
            )
            return
        now = self._clock.seconds()
        if session.report is None or session.evicting:
            log_message(
                message_type="worker_heard",
                worker=session.name,
                silent_s=round(now - session.no_report_since, 3),
                evicted=session.evicting,
            )
        if session.name in self._host.view.evicted:
            self._revoke_eviction(session)
        self._check_worker_known(session, report, message.number, now)
        session.evicting, session.evicted_at, session.failed = False, None, False
        session.expired_ms, session.is_expiry_sent = 0, False
        session.last_report_at = session.no_report_since = now
        session.report = report
        session.report_number = message.number
        incarnation = report.worker.life if report.worker else ""
        if incarnation != session.incarnation:
            session.incarnation = incarnation
            session.completions_recorded = session.completions_sent = 0
        self._dispatcher.report_received(session.name, report)
        session.applied_report = report

    # Failures

    def _move_if_empty(self, session, now):
        """Go to the address that the agent has announced, once nothing runs at this.

        The agent at this address may live on, cut off from the entries, and extend its
        worker's lease. So a name keeps its address while its agent reports, and after
        that until its leases have expired, unless it has no runs.
        """
        is_silent = now - session.no_report_since > UNRESPONSIVE_AFTER_S
        has_runs = self._dispatcher.scheduler.has_placements_on(session.name)
        if not session.failed and (has_runs or not is_silent):
            return
        log_message(
            message_type="worker_moved",
            worker=session.name,
            before=session.address,
            address=session.announced_address,
        )
        self._close_link(session)
        moved = Session(session.name, session.announced_address, now)
        moved.place_version = session.place_version
        self._sessions[session.name] = moved
        self._connect(moved)

    def _evict(self, session, now):
        """Evict an unresponsive agent through the store, so its leases expire."""
        if session.evicting:
            return
        session.evicting = True
        self._close_link(session)
        log_message(
            message_type="worker_evicted",
            worker=session.name,
            silent_s=round(now - session.no_report_since, 3),
            epoch=self._leadership.epoch,
        )
        ensureDeferred(self._store_eviction(session)).addErrback(
            self._eviction_failed, session
        )

    def _eviction_failed(self, failure, session):
        """Let the next tick evict the agent again."""
        session.evicting = False
        log_message(
            message_type="eviction_failed",
            worker=session.name,
            reason=failure.getTraceback(),
        )

    async def _store_eviction(self, session):
        # Each value occurs once, so that only this write can have put the row.
        self._evictions += 1
        eviction = work.EvictionRecord(self._leadership.epoch, self._evictions)
        value = msgspec.json.encode(eviction)
        answer = await self._host.table.write(
            [self._leadership.condition],
            [Put(work.evicted_key(session.name), value)],
        )
        if not session.evicting or self._closed:
            return
        if isinstance(answer, Committed):
            session.evicted_at = self._clock.seconds()
        else:
            session.evicting = False
            session.no_report_since = min(
                session.no_report_since,
                self._clock.seconds() - EVICT_AFTER_S + _EVICT_RETRY_DELAY_S,
            )

    def _store_expiry(self, session, now):
        """Store for the next scheduler when an evicted agent's leases have expired.

        The row that evicts it has to be seen first: from then on the agent gets no
        orders before the row is deleted, which this write cannot outlast. The write
        that evicts the agent may be applied late, so it says nothing of leases.
        """
        stored = self._host.view.evicted.get(session.name)
        store_ms = self._host.store_ms()
        if session.evicted_at is None or session.is_expiry_sent:
            return
        if stored is None or not store_ms or self._host.is_store_silent():
            return
        session.is_expiry_sent = True
        self._evictions += 1
        left_s = self._authority_until(session) + self._host.lease_wait_s - now
        expired_ms = store_ms + round((left_s + _STORE_CLOCK_ERROR_S) * 1000)
        eviction = work.EvictionRecord(
            self._leadership.epoch, self._evictions, session.expired_ms or expired_ms
        )
        key = work.evicted_key(session.name)
        conditions = [self._leadership.condition, Condition(key, stored.version)]
        self._host.table.write(conditions, [Put(key, msgspec.json.encode(eviction))])

    def _stored_expiry_ms(self, name):
        """Return the expiry of an evicted agent's leases in its row, or 0.

        Only the scheduler just before this one has certainly sent it no orders since.
        """
        stored = self._host.view.evicted.get(name)
        if stored is None:
            return 0
        try:
            eviction = records.decode(stored.value, work.EvictionRecord)
        except ValueError as error:
            log_message(
                message_type="eviction_unreadable", worker=name, reason=str(error)
            )
            return 0
        is_previous = eviction.epoch == self._leadership.epoch - 1
        return eviction.expired_ms if is_previous else 0

    def _revoke_eviction(self, session):
        """Delete the eviction of a returned agent, so that it extends leases again.

        The deletion is conditional on the known version of the row: if the store
        applies it late, it must not delete a newer eviction.
        """
        key = work.evicted_key(session.name)
        version = self._host.view.evicted[session.name].version
        conditions = [self._leadership.condition, Condition(key, version)]
        self._host.table.write(conditions, [], [key])

    def _remove_worker(self, session):
        """End the session with a failed agent and delete its rows."""
        log_message(message_type="worker_forgotten", worker=session.name)
        self._close_link(session)
        del self._sessions[session.name]
        self._dispatcher.scheduler.remove_worker(session.name)
        key_functions = (
            work.worker_key,
            work.evicted_key,
            work.place_key,
            work.speed_key,
        )
        keys = [key_of(session.name) for key_of in key_functions]
        # The agent may come back while the deletion is on its way.
        place = Condition(work.place_key(session.name), session.place_version)
        self._host.table.write([self._leadership.condition, place], [], keys)

    def _fail_if_lease_lapsed(self, session, now):
        """Treat a worker's runs as failed once its lease has certainly expired."""
        if session.failed:
            return
        if self._has_lease_lapsed(session, now):
            session.failed = True
            self._dispatcher.scheduler.mark_worker_failed(
                session.name, "no response until its lease had expired"
            )

    def _has_lease_lapsed(self, session, now):
        if session.expired_ms and self._host.store_ms() >= session.expired_ms:
            return True
        if session.evicted_at is None:
            return False
        return now > self._authority_until(session) + self._host.lease_wait_s

    def _authority_until(self, session):
        """Return until when an evicted agent may have been authorized.

        A previous scheduler may have authorized extensions until
        `SCHEDULER_AUTHORITY_S` after its last heartbeat.
        """
        return max(session.evicted_at, self._term_started_at + SCHEDULER_AUTHORITY_S)

    def _check_worker_known(self, session, report, number, now):
        """Treat a worker's runs as failed if its agent has not known it for a lease.

        A worker that exits while its agent restarts is never reported as ended: the
        new agent has not heard from it, and so does not extend its lease either. Only
        successive reports of one process in close succession show that; between others
        the agent, or one before it, may have done both.
        """
        if report.worker is not None:
            session.no_worker_since = None
            return
        is_gap = now - session.no_report_since > UNRESPONSIVE_AFTER_S
        is_gap = is_gap or number != session.report_number + 1
        if session.no_worker_since is None or is_gap:
            session.no_worker_since = now
        elif now - session.no_worker_since > self._host.lease_wait_s:
            session.no_worker_since = now
            self._dispatcher.scheduler.mark_worker_failed(
                session.name, "its agent has known no worker until its lease expired"
            )
