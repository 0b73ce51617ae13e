"""Failure detection of the scheduler over a direct link.

If the scheduler's process is killed, its connections close and its address refuses
new ones; if it is frozen or partitioned, it does not reply. A partition of this entry
looks the same from here, so a sample of agents is queried for their contact with the
scheduler before it counts as failed. A takeover is always safe, since the epoch row
admits one successor and agents refuse older epochs, but a needless one discards the
scheduler's in-memory state.
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

POLL_INTERVAL_S = 0.15
# Three polls without a reply.
_UNRESPONSIVE_AFTER_S = 0.45
# Connections between entries either succeed within milliseconds or hang.
_CONNECT_TIMEOUT_S = 0.3
# Bounds the polls that the scheduler of a large system has to answer. The remaining
# entries rely on its heartbeat row.
_MAX_MONITORS = 5
# How long each monitoring entry leaves the one ranked before it to take over.
_RANK_DELAY_S = 0.1
# Size of the random sample of agents.
_AGENTS_QUERIED = 5
_AGENTS_TIMEOUT_S = 0.25
# Agents receive orders every 0.4 to 0.6 s.
_AGENT_CONTACT_S = 0.65


def has_contact(sighting, epoch):
    """Return whether an agent has contact with the scheduler of `epoch` or newer."""
    if sighting.epoch != epoch:
        return sighting.epoch > epoch
    return sighting.linked and sighting.silent_s < _AGENT_CONTACT_S


def has_failed(contacts, queried, complete):
    """Return whether most agents lack contact with the scheduler; None if undecided.

    `contacts` has the result of `has_contact` for each reply to `queried` queries;
    `complete` means that no more replies are awaited. Without any reply the result is
    False, since then the querying entry is the one that is partitioned.
    """
    missing = contacts.count(False)
    if 2 * missing > queried:
        return True
    if 2 * contacts.count(True) >= queried and not complete:
        return False
    return 2 * missing > len(contacts) if complete else None


class SchedulerMonitor:
    """Polls the scheduler of the newest epoch on behalf of one entry.

    `connect(address)` returns a Deferred of a link; `view` is a `WorkView`.
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
        self._stopped = True
        self._close_link()

    def tick(self):
        """Poll the scheduler; query agents if it has not replied for too long."""
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
            self._handle_no_reply("it does not reply")

    def should_replace(self, epoch):
        """Return whether the scheduler of `epoch` has failed and it is our turn."""
        if epoch != self._epoch or self._failed_at is None:
            return False
        return self._clock.seconds() - self._failed_at >= self._delay_s()

    def is_rejected_by_store(self, epoch, after_s):
        """Return whether the scheduler reports no response from the store.

        Like `should_replace`, this becomes true later on entries of a higher rank.
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
        """Return this entry's rank among the candidates to replace the scheduler.

        The order is pseudo-random for each epoch, so that entries with adjacent names,
        which often share a zone, don't always come one after another.
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

    # Link to the scheduler

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

    def _on_message(self, link, reply):
        if self._link is not link or not isinstance(reply, SchedulerSign):
            return
        # An entry without the epoch may have restarted, so its reply doesn't count. One
        # that still awaits the answer to its takeover soon replies with the epoch.
        if reply.epoch < self._epoch:
            return
        self._last_reply_at = self._clock.seconds()
        self._store_no_response_s = reply.store_unheard_s
        if self._failed_at is not None:
            self._failed_at = None
            log_message(message_type="scheduler_heard_again", epoch=self._epoch)

    # Agents

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
        """Query one agent; return a Deferred of the link, or of None on failure."""

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

        # The scheduler uses the address in its own row, whatever has been announced.
        stored = self._view.places.get(name, self._view.workers[name])
        address = stored.value.address
        opened = self._connect(address).addTimeout(_CONNECT_TIMEOUT_S, self._clock)
        return opened.addCallbacks(send_query, connect_failed)
