"""Watching the scheduler over a link, to replace it soon after it is lost.

The connections of a killed process close, and its address refuses new ones; a
process that is frozen or cut off answers nothing. A cut near this entry looks the
same from here, so agents are asked whether they hear the scheduler before it counts
as lost. Taking over is safe at any time, since the epoch row admits one successor
and agents refuse older epochs; a needless one costs the scheduler's memory.
"""

import zlib

from eliot import log_message
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectionRefusedError

from samphiredeal.platform.table import Unavailable, within
from samphiredeal.wire.messages import (
    SchedulerQuery,
    SchedulerSighting,
    SchedulerSign,
)

# How often the scheduler is asked for a sign of life.
POLL_INTERVAL_S = 0.15
# Without one for this long it is missed: three questions unanswered.
_UNRESPONSIVE_AFTER_S = 0.45
# Connections between entries are made within milliseconds, or hang.
_CONNECT_TIMEOUT_S = 0.3
# So many entries watch; the others rely on the beat. A scheduler of a large system
# answers no more questions than that of a small one.
_MAX_MONITORS = 5
# Each watcher gives the one before it this long to take over.
_RANK_DELAY_S = 0.1
# So many agents are asked, in different places as chance will have it.
_AGENTS_QUERIED = 5
_AGENTS_TIMEOUT_S = 0.25
# Agents get orders every 0.4 to 0.6 s.
_AGENT_CONTACT_S = 0.65


def has_contact(sighting, epoch):
    """Return whether an agent hears the scheduler of an epoch, or a newer one."""
    if sighting.epoch != epoch:
        return sighting.epoch > epoch
    return sighting.linked and sighting.silent_s < _AGENT_CONTACT_S


def has_failed(contacts, queried, complete):
    """Return whether agents show a scheduler to be lost, or None if it is open.

    `heard` has a bool for each answer out of `asked`; `complete` says that no more
    will come. Without any answer the fault is near whoever asks.
    """
    missing = contacts.count(False)
    if 2 * missing > queried:
        return True
    if 2 * contacts.count(True) >= queried and not complete:
        return False
    return 2 * missing > len(contacts) if complete else None


class SchedulerMonitor:
    """One entry's watch over the scheduler of the newest epoch.

    `connect(address)` returns a Deferred of a link, `view` has the system's rows.
    """

    def __init__(self, clock, name, connect, view, random):
        self._clock = clock
        self._name = name
        self._connect = connect
        self._view = view
        self._random = random
        self._epoch = 0
        self._link = None
        self._connecting = False
        self._querying_agents = False
        self._stopped = False
        self._reset(0)

    def stop(self):
        """End the watch."""
        self._stopped = True
        self._close_link()

    def tick(self):
        """Ask the scheduler for a sign of life, and agents if it is missed."""
        epoch = self._view.epoch.value.number
        if epoch != self._epoch:
            self._reset(epoch)
        if not self._is_monitoring():
            self._close_link()
            return
        if self._link is not None:
            self._link.send(SchedulerQuery(self._epoch))
        else:
            self._open_link()
        if self._clock.seconds() - self._last_reply_at > _UNRESPONSIVE_AFTER_S:
            self._handle_no_reply("no sign of life")

    def should_replace(self, epoch):
        """Return whether this entry should replace the scheduler of an epoch."""
        if epoch != self._epoch or self._failed_at is None:
            return False
        return self._clock.seconds() - self._failed_at >= self._delay_s()

    def is_rejected_by_store(self, epoch, after_s):
        """Return whether the scheduler says that the store is silent to it.

        Like `is_lost`, this comes later to entries of a higher rank.
        """
        if epoch != self._epoch or self._link is None:
            return False
        return self._store_no_response_s >= after_s + self._delay_s()

    # Ranks

    def _reset(self, epoch):
        self._close_link()
        self._epoch = epoch
        self._last_reply_at = self._clock.seconds()
        self._store_no_response_s = 0.0
        self._failed_at = None

    def _rank(self):
        """Return this entry's place among those that may replace the scheduler.

        It is drawn anew for each epoch, so that neighbours in the list of names,
        which often share a zone, do not always come one after another.
        """
        holder = self._view.epoch.value.holder
        others = {*self._view.entries, self._name} - {holder}
        ranked = sorted(others, key=lambda one: (zlib.crc32(self._rank_key(one)), one))
        return ranked.index(self._name)

    def _rank_key(self, name):
        return f"{name} {self._epoch}".encode()

    def _delay_s(self):
        return self._rank() * _RANK_DELAY_S

    def _is_monitoring(self):
        holder = self._view.epoch.value.holder
        if self._stopped or holder == self._name:
            return False
        return holder in self._view.entries and self._rank() < _MAX_MONITORS

    # The link to the scheduler

    def _close_link(self):
        link, self._link = self._link, None
        if link is not None:
            link.close()

    def _open_link(self):
        if self._connecting or self._stopped:
            return
        self._connecting = True
        holder = self._view.epoch.value.holder
        address = self._view.entries[holder].value.address
        opened = self._connect(address).addTimeout(_CONNECT_TIMEOUT_S, self._clock)
        opened.addCallbacks(self._link_opened, self._link_failed, (self._epoch,))

    def _link_opened(self, link, epoch):
        self._connecting = False
        if epoch != self._epoch or not self._is_monitoring():
            link.close()
            return
        self._link = link
        link.on_message = self._on_message
        link.on_lost = self._on_link_lost
        link.send(SchedulerQuery(epoch))

    def _link_failed(self, failure):
        self._connecting = False
        if failure.check(ConnectionRefusedError):
            self._handle_no_reply("its address refuses connections")

    def _on_link_lost(self, link):
        if self._link is link:
            self._link = None
            if self._is_monitoring():
                self._open_link()

    def _on_message(self, link, symptom):
        if self._link is not link or not isinstance(symptom, SchedulerSign):
            return
        # An entry that holds no epoch may have started anew, or may not know yet
        # that its takeover has been stored: that shows in a moment.
        if symptom.epoch < self._epoch:
            return
        self._last_reply_at = self._clock.seconds()
        self._store_no_response_s = symptom.store_unheard_s
        if self._failed_at is not None:
            self._failed_at = None
            log_message(message_type="scheduler_heard_again", epoch=self._epoch)

    # Agents as witnesses

    def _handle_no_reply(self, symptom):
        if (
            not self._querying_agents
            and self._failed_at is None
            and self._is_monitoring()
        ):
            self._querying_agents = True
            ensureDeferred(self._query_agents(self._epoch, symptom)).addErrback(
                self._on_failure
            )

    def _on_failure(self, failure):
        self._querying_agents = False
        log_message(message_type="watch_failed", reason=failure.getTraceback())

    async def _query_agents(self, epoch, symptom):
        workers = sorted(self._view.workers)
        names = self._random.sample(workers, min(len(workers), _AGENTS_QUERIED))
        queried_at, contacts, decided = self._clock.seconds(), [], Deferred()

        def on_sighting(sighting):
            contacts.append(has_contact(sighting, epoch))
            verdict = has_failed(contacts, len(names), complete=False)
            if verdict is not None and not decided.called:
                decided.callback(verdict)

        links = [self._query_agent(name, on_sighting) for name in names]
        failed = await within(self._clock, _AGENTS_TIMEOUT_S, decided)
        if isinstance(failed, Unavailable):
            failed = has_failed(contacts, len(names), complete=True)
        for opened in links:
            opened.addCallback(lambda link: link and link.close())
        self._querying_agents = False
        log_message(
            message_type="scheduler_missed",
            epoch=epoch,
            sign=symptom,
            unheard_s=round(queried_at - self._last_reply_at, 3),
            agents_asked=len(names),
            agents_hear=contacts.count(True),
            agents_miss=contacts.count(False),
            lost=failed,
        )
        if failed and epoch == self._epoch and self._last_reply_at < queried_at:
            self._failed_at = self._clock.seconds()

    def _query_agent(self, name, on_sighting):
        """Ask one agent; return a Deferred of the link, or of None."""

        def on_message(_link, message):
            if isinstance(message, SchedulerSighting):
                on_sighting(message)

        def send_query(link):
            link.on_message = on_message
            link.send(SchedulerQuery(self._epoch))
            return link

        def connect_failed(failure):
            log_message(
                message_type="agent_not_asked",
                worker=name,
                reason=failure.getErrorMessage()[:200],
            )

        address = self._view.workers[name].value.address
        opened = self._connect(address).addTimeout(_CONNECT_TIMEOUT_S, self._clock)
        return opened.addCallbacks(send_query, connect_failed)
