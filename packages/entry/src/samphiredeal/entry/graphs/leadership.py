"""Choosing the scheduler: a row with a rising epoch, and a beat beside it.

Taking over needs the epoch row at the version that was known, so only one
entry wins. A scheduler is replaced once the watch over its process shows it to be
lost, or, where nobody can tell, once its beat has been missing. Every write of a
scheduler depends on the epoch row being its own: one that has been replaced without
knowing changes nothing any more.
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
# A beat without an answer is given up then, and the next one is still in time; a
# store that is slowed ninetyfold makes two writes in this time.
_HEARTBEAT_TIMEOUT_S = 1.0
# A scheduler without a beat for this long is replaced. Three beats, and below
# the 2.7 s in which urgent work must begin together with a start.
TAKEOVER_AFTER_S = 2.1
# Of that time the rows must be known to have had no beat for this long.
_CONFIRMED_GAP_S = 1.4
# Rows that were not confirmed for this long are not followed at all: twice the
# wait of a call for changes, and the time of a slow store.
_ROWS_MAX_AGE_S = 2.0
# A beat this old by the store's clock is of a scheduler that is gone: longer
# than an outage of the store for which a sound one would be replaced needlessly.
_STALE_HEARTBEAT_S = 2.5
# Entries that see the same gap try at different moments.
_MAX_JITTER_S = 0.25
# A sound store is heard every 0.5 s; a scheduler that it turns away hears less.
_PROMPT_RESPONSE_S = 0.6
_REJECTED_AFTER_S = 0.7
# For how long after its last beat a scheduler may still vouch for workers.
LEASE_AUTHORITY_S = 3.0


class Leadership:
    """This entry's part in the choice of the scheduler."""

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
        """The condition that every write of this scheduler depends on."""
        return self._condition

    @property
    def may_extend_leases(self):
        """Whether the beat is recent enough to extend workers' leases."""
        return (
            self._epoch > 0
            and self._clock.seconds() - self._heartbeat_stored_at < LEASE_AUTHORITY_S
        )

    async def tick(self):
        """Beat, take over or step down, as the rows demand."""
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
        """Step down because another entry has taken over."""
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
        """Hand the role on at once, if held, and never take it again."""
        self._resigned = True
        if not self._epoch:
            return
        heartbeat = work.HeartbeatRecord(
            self._epoch, self._heartbeat_count + 1, resigned=True
        )
        condition = self._condition
        self.step_down("this entry stops")
        await self._write_heartbeat(_heartbeat_put(heartbeat), condition)

    async def _lead(self):
        if self._view.epoch.value.number > self._epoch:
            self.step_down("a newer epoch is stored")
            return
        # A beat that is sent to a silent store would be waited for beyond its return.
        due = self._clock.seconds() >= self._heartbeat_due_at
        if due and not self._follower.is_unresponsive:
            await self._send_heartbeat()

    def next_heartbeat(self):
        """Return the put that makes a write of this scheduler a beat as well.

        Whoever writes it tells `renewed` when that write has been applied.
        """
        self._heartbeat_sent_at = self._clock.seconds()
        self._heartbeat_due_at = self._heartbeat_sent_at + _HEARTBEAT_TIMEOUT_S
        self._heartbeat_count += 1
        heartbeat = work.HeartbeatRecord(
            self._epoch, self._heartbeat_count, store_ms=self._follower.store_ms
        )
        return _heartbeat_put(heartbeat)

    def heartbeat_stored(self, sent_at):
        """Note that a beat which was sent at this time has been stored."""
        self._heartbeat_stored_at = max(self._heartbeat_stored_at, sent_at)
        if sent_at >= self._heartbeat_sent_at:
            self._heartbeat_due_at = sent_at + HEARTBEAT_INTERVAL_S

    async def _send_heartbeat(self):
        sent_at = self._clock.seconds()
        answer = await self._write_heartbeat(self.next_heartbeat(), self._condition)
        if isinstance(answer, Conflict):
            self.step_down("its beat was refused by the store")
        elif isinstance(answer, Committed):
            self.heartbeat_stored(sent_at)
        else:
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
        """Return why the scheduler is to be replaced now, or an empty text."""
        view, no_heartbeat_s = self._view, now - self._no_heartbeat_since
        if view.epoch.version and view.beat.value.resigned:
            return "it has handed over"
        if view.epoch.version == 0:
            return "there was none" if no_heartbeat_s >= self._jitter_s else ""
        if view.epoch.value.holder == self._name:
            return "it was this entry before a new start"
        if self._is_heartbeat_stale():
            return "its last beat is old" if no_heartbeat_s >= self._jitter_s else ""
        epoch = view.epoch.value.number
        if self._monitor.should_replace(epoch):
            return "agents do not hear it either"
        is_prompt = now - self._store_prompt_since >= _REJECTED_AFTER_S
        if is_prompt and self._monitor.is_rejected_by_store(epoch, _REJECTED_AFTER_S):
            return "the store turns it away"
        long_enough = no_heartbeat_s >= TAKEOVER_AFTER_S + self._jitter_s
        if long_enough and no_heartbeat_s - rows_age_s >= _CONFIRMED_GAP_S:
            return "no beat of it came"
        return ""

    def _is_heartbeat_stale(self):
        """Return whether the store's clock shows the beat to be long past.

        Only for an entry that has seen no beat arrive: the store may have been
        down for all, which stops the beats of a sound scheduler too.
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
        """Return `Committed` if a write without an answer has been applied."""
        row = await self._table.read(work.EPOCH_KEY)
        if isinstance(row, Row) and row.value == data:
            return Committed({work.EPOCH_KEY: row.version})
        return row


def _heartbeat_put(heartbeat):
    return Put(work.HEARTBEAT_KEY, msgspec.json.encode(heartbeat))
