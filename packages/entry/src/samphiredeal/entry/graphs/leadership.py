"""Election of the scheduler, by an epoch row and a heartbeat row in the store.

A takeover is a write conditional on the last known version of the epoch row, so
only one entry succeeds. A scheduler is replaced once `SchedulerMonitor` reports that
it has failed or, where the monitor can't decide, once its heartbeat has been missing
for `TAKEOVER_AFTER_S`. Each write of a scheduler is conditional on its own epoch row,
so the writes of a replaced scheduler fail even before it has seen the newer epoch.
"""

import msgspec
from eliot import log_message

from samphiredeal.entry.graphs import work
from samphiredeal.platform.table import (
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Unavailable,
    within,
)

HEARTBEAT_INTERVAL_S = 0.7
# Short enough for the next heartbeat to arrive in time, long enough for two writes at
# a store that is slowed 90 times.
_HEARTBEAT_TIMEOUT_S = 1.0
# Three heartbeats. Together with the time to start a task it has to stay below the
# 2.7 s within which urgent work must begin.
TAKEOVER_AFTER_S = 2.1
# The part of that time during which current rows must have shown no heartbeat.
_CONFIRMED_GAP_S = 1.4
# No takeover is considered on rows older than this: two long polls for changes plus
# the response time of a slow store.
_ROWS_MAX_AGE_S = 2.0
# Age by the store's clock at which a heartbeat found at startup counts as left over
# from a failed scheduler. Shorter store outages must not replace a healthy scheduler.
_STALE_HEARTBEAT_S = 2.5
# Keeps entries that see the same gap from attempting a takeover simultaneously.
_MAX_JITTER_S = 0.25
# A healthy store responds at least every 0.5 s.
_PROMPT_RESPONSE_S = 0.6
# How long the store must have been prompt here and have sent the scheduler no response
# before the scheduler counts as rejected by the store.
_REJECTED_AFTER_S = 0.7
# How long after its last stored heartbeat a scheduler may still extend leases.
SCHEDULER_AUTHORITY_S = 3.0


class Leadership:
    """Holds or contends for the scheduler role on behalf of one entry."""

    def __init__(self, clock, table, view, follower, name, random, monitor, on_change):
        self._clock = clock
        self._table = table
        self._view = view
        self._follower = follower
        self._name = name
        self._random = random
        self._monitor = monitor
        self._on_change = on_change
        self._epoch = 0
        self._condition = None
        self._heartbeat_count = 0
        self._heartbeat_sent_at = self._heartbeat_due_at = float("-inf")
        self._heartbeat_stored_at = float("-inf")
        self._no_heartbeat_since = self._store_prompt_since = clock.seconds()
        self._jitter_s = random.uniform(0, _MAX_JITTER_S)
        self._busy = False
        self._resigned = False

    @property
    def epoch(self):
        """The epoch that this entry holds, or 0."""
        return self._epoch

    @property
    def condition(self):
        """The condition on the epoch row for every write of this scheduler."""
        return self._condition

    @property
    def may_extend_leases(self):
        """Whether the last stored heartbeat is recent enough to extend leases."""
        return (
            self._epoch > 0
            and self._clock.seconds() - self._heartbeat_stored_at
            < SCHEDULER_AUTHORITY_S
        )

    async def tick(self):
        """Send a heartbeat, take over or step down, depending on the rows."""
        if self._busy or self._resigned:
            return
        self._busy = True
        try:
            if self._epoch:
                await self._lead()
            else:
                await self._follow()
        finally:
            self._busy = False

    def step_down(self, reason):
        """Give up the scheduler role, if held."""
        if self._epoch:
            log_message(
                message_type="scheduler_stepped_down",
                epoch=self._epoch,
                newest=self._view.epoch.value.number,
                reason=reason,
            )
            self._epoch = 0
            self._condition = None
            self._no_heartbeat_since = self._clock.seconds()
            self._on_change()

    async def resign(self):
        """Give up the scheduler role for good; announce it by a last heartbeat."""
        self._resigned = True
        if not self._epoch:
            return
        heartbeat = work.HeartbeatRecord(
            self._epoch, self._heartbeat_count + 1, resigned=True
        )
        condition = self._condition
        self.step_down("this entry is stopping")
        await self._write_heartbeat(_heartbeat_put(heartbeat), condition)

    async def _lead(self):
        if self._view.epoch.value.number > self._epoch:
            self.step_down("the store holds a newer epoch")
            return
        if work.EPOCH_KEY in self._view.unreadable:
            self.step_down("the store holds an epoch that cannot be read")
            return
        # A heartbeat sent to an unresponsive store would still be awaited after the
        # store has recovered.
        due = self._clock.seconds() >= self._heartbeat_due_at
        if due and not self._follower.is_unresponsive:
            await self._send_heartbeat()

    def next_heartbeat(self):
        """Return a `Put` that makes any write of this scheduler a heartbeat as well.

        Call `heartbeat_stored` once that write has been applied.
        """
        self._heartbeat_sent_at = self._clock.seconds()
        self._heartbeat_due_at = self._heartbeat_sent_at + _HEARTBEAT_TIMEOUT_S
        self._heartbeat_count += 1
        heartbeat = work.HeartbeatRecord(
            self._epoch, self._heartbeat_count, store_ms=self._follower.store_ms
        )
        return _heartbeat_put(heartbeat)

    def heartbeat_stored(self, sent_at):
        """Record that the heartbeat sent at `sent_at` has been stored."""
        self._heartbeat_stored_at = max(self._heartbeat_stored_at, sent_at)
        if sent_at >= self._heartbeat_sent_at:
            self._heartbeat_due_at = sent_at + HEARTBEAT_INTERVAL_S

    async def beat(self):
        """Store a heartbeat alone; return the store's answer."""
        sent_at = self._clock.seconds()
        answer = await self._write_heartbeat(self.next_heartbeat(), self._condition)
        if isinstance(answer, Committed):
            self.heartbeat_stored(sent_at)
        return answer

    async def _send_heartbeat(self):
        answer = await self.beat()
        if isinstance(answer, Conflict):
            self.step_down("the store rejected the heartbeat: epoch row changed")
        elif not isinstance(answer, Committed):
            log_message(
                message_type="beat_unanswered",
                epoch=self._epoch,
                beat=self._heartbeat_count,
                reason=answer.reason,
            )

    def _write_heartbeat(self, put, condition):
        return within(
            self._clock, _HEARTBEAT_TIMEOUT_S, self._table.write([condition], [put])
        )

    async def _follow(self):
        now = self._clock.seconds()
        rows_age_s = self._follower.age_s
        if self._follower.since_last_response_s > _PROMPT_RESPONSE_S:
            self._store_prompt_since = now
        if rows_age_s > _ROWS_MAX_AGE_S:
            self._no_heartbeat_since = now
            return
        self._no_heartbeat_since = max(
            self._no_heartbeat_since, self._view.heartbeat_seen_at
        )
        reason = self._takeover_reason(now, rows_age_s)
        if reason:
            await self._take_over(now, reason)

    def _takeover_reason(self, now, rows_age_s):
        """Return why to replace the scheduler now, or an empty string."""
        view, no_heartbeat_s = self._view, now - self._no_heartbeat_since
        if work.EPOCH_KEY in view.unreadable:
            # Its number is not known, and agents refuse the orders of lower ones.
            return ""
        if view.epoch.version and view.beat.value.resigned:
            return "it has resigned"
        if view.epoch.version == 0:
            return "there is no scheduler" if no_heartbeat_s >= self._jitter_s else ""
        if view.epoch.value.holder == self._name:
            return "this entry held the role before it restarted"
        if self._is_heartbeat_stale():
            return "its heartbeat is stale" if no_heartbeat_s >= self._jitter_s else ""
        epoch = view.epoch.value.number
        if self._monitor.should_replace(epoch):
            return "it does not respond to this entry or to most agents"
        is_prompt = now - self._store_prompt_since >= _REJECTED_AFTER_S
        if is_prompt and self._monitor.is_rejected_by_store(epoch, _REJECTED_AFTER_S):
            return "the store rejects it"
        long_enough = no_heartbeat_s >= TAKEOVER_AFTER_S + self._jitter_s
        if long_enough and no_heartbeat_s - rows_age_s >= _CONFIRMED_GAP_S:
            return "its heartbeat timed out"
        return ""

    def _is_heartbeat_stale(self):
        """Return whether the heartbeat found at startup is stale by the store's clock.

        False once a second heartbeat has been seen: a store outage interrupts the
        heartbeats of a healthy scheduler too.
        """
        stamped_ms = self._view.beat.value.store_ms
        if (
            self._view.heartbeats_seen > 1
            or not stamped_ms
            or not self._follower.store_ms
        ):
            return False
        return self._follower.store_ms - stamped_ms > _STALE_HEARTBEAT_S * 1000

    async def _take_over(self, now, reason):
        before = self._view.epoch
        heartbeat_age_s = now - self._view.heartbeat_seen_at
        nonce = f"{self._random.getrandbits(64):016x}"
        epoch = work.EpochRecord(before.value.number + 1, self._name, nonce)
        data = msgspec.json.encode(epoch)
        heartbeat = work.HeartbeatRecord(
            epoch.number, 0, store_ms=self._follower.store_ms
        )
        answer = await self._table.write(
            [Condition(work.EPOCH_KEY, before.version)],
            [Put(work.EPOCH_KEY, data), _heartbeat_put(heartbeat)],
        )
        if isinstance(answer, Unavailable) and not answer.not_applied:
            answer = await self._read_back(data)
        self._no_heartbeat_since = self._clock.seconds()
        self._jitter_s = self._random.uniform(0, _MAX_JITTER_S)
        if not isinstance(answer, Committed) or self._resigned:
            return
        self._epoch = epoch.number
        self._condition = Condition(work.EPOCH_KEY, answer.versions[work.EPOCH_KEY])
        self._heartbeat_count = 0
        self.heartbeat_stored(now)
        log_message(
            message_type="scheduler_took_over",
            epoch=epoch.number,
            before=before.value.holder,
            beat_age_s=round(heartbeat_age_s, 3),
            reason=reason,
        )
        self._on_change()

    async def _read_back(self, data):
        """Return `Committed` if an unanswered takeover write has been applied."""
        row = await self._table.read(work.EPOCH_KEY)
        if isinstance(row, Row) and row.value == data:
            return Committed({work.EPOCH_KEY: row.version})
        return row


def _heartbeat_put(heartbeat):
    return Put(work.HEARTBEAT_KEY, msgspec.json.encode(heartbeat))
