"""Starting and stopping of attempts on all their workers, all or nothing.

A reserve message is sent to every worker; start messages are sent only when all
have reserved the capacity. If a member is refused, fails or times out, every
member is stopped and the attempt ends. Messages are resent until they are
answered; agents handle repeated messages idempotently.
"""

from typing import NamedTuple

import msgspec

from samphiredeal.wire.messages import EndedAck, Reserve, Start, Stop

RESERVING = "reserving"
STARTING = "starting"
RUNNING = "running"
STOPPING = "stopping"

RESEND_INTERVAL_S = 0.5
# Shorter than the time after which reservations expire at the agents, so that a
# start message still arrives in time.
RESERVE_TIMEOUT_S = 1.5
START_TIMEOUT_S = 3.0

NEVER_STARTED = "never-started"


class GangEnded(NamedTuple):
    """An attempt has ended on all its workers.

    `state` is ``done``, ``failed``, ``stopped`` or ``cancelled``; `ran` is
    whether any member may have run; `blame` lists the workers whose members failed.
    """

    attempt_id: str
    state: str
    progress_s: float
    ran: bool
    blame: tuple


class Gang:
    """The state of one attempt on its workers."""

    def __init__(self, attempt_id, job, places, now):
        self.id = attempt_id
        self.job = job
        self.places = places
        self.state = RESERVING
        self.state_since = now
        self.sent_at = float("-inf")
        self.permits = {}
        self.started = set()
        self.ended = {}
        self.failed = []
        self.checkpoint = False
        self.grace_s = 0.0
        self.reason = ""
        self.start_sent = False

    @property
    def unfinished_workers(self):
        """The workers whose members have not ended."""
        return [name for name in self.places if name not in self.ended]


class GangDriver:
    """Drives attempts to completion; `send(worker, message)` sends to an agent.

    `on_event(event)` receives a `GangEnded`, or the id of an attempt of which all
    members now run. `stamp()` returns (epoch, revision, confirmation age in ms).
    """

    def __init__(self, clock, send, on_event, stamp):
        self._clock = clock
        self._send = send
        self._on_event = on_event
        self._stamp = stamp
        self._gangs = {}

    @property
    def gangs(self):
        """The attempts by id."""
        return self._gangs

    def start(self, attempt_id, job, places):
        """Start an attempt."""
        gang = Gang(attempt_id, job, places, self._clock.seconds())
        self._gangs[attempt_id] = gang
        self._send_pending(gang)

    def adopt(self, attempt_id, job, places):
        """Take over an attempt that agents report as running on all its workers."""
        gang = Gang(attempt_id, job, places, self._clock.seconds())
        gang.state = RUNNING
        gang.start_sent = True
        gang.started = set(places)
        self._gangs[attempt_id] = gang

    def stop(self, attempt_id, checkpoint, grace_s, reason):
        """Stop an attempt on all its workers."""
        gang = self._gangs.get(attempt_id)
        if gang is not None and gang.state != STOPPING:
            gang.state = STOPPING
            gang.checkpoint = checkpoint
            gang.grace_s = grace_s
            gang.reason = gang.reason or reason
            gang.state_since = self._clock.seconds()
            self._send_pending(gang)
            self._finish_if_ended(gang)

    def on_reserved(self, worker, message):
        """Record a worker's reservation; start the attempt when all have reserved."""
        gang = self._gangs.get(message.attempt)
        if gang is None:
            self._send(worker, self._stop_message(message.attempt, False, 0.0))
            return
        gang.permits[worker] = message.permit
        if gang.state == RESERVING and len(gang.permits) == len(gang.places):
            gang.state = STARTING
            gang.start_sent = True
            gang.state_since = self._clock.seconds()
            self._send_pending(gang)

    def on_started(self, worker, message):
        """Record that the members on a worker run."""
        gang = self._gangs.get(message.attempt)
        if gang is None:
            self._send(worker, self._stop_message(message.attempt, False, 0.0))
            return
        gang.started.add(worker)
        if gang.state == STARTING and len(gang.started) == len(gang.places):
            gang.state = RUNNING
            self._on_event(gang.id)

    def on_refused(self, worker, message):
        """Record that the members on a worker will never run; stop the others."""
        gang = self._gangs.get(message.attempt)
        if gang is not None:
            gang.ended[worker] = (NEVER_STARTED, 0.0)
            self.stop(gang.id, False, 0.0, message.code)
            self._finish_if_ended(gang)

    def on_ended(self, worker, message):
        """Record and acknowledge that the members on a worker ended."""
        self._send(worker, EndedAck(message.attempt))
        gang = self._gangs.get(message.attempt)
        if gang is None or worker not in gang.places:
            return
        gang.ended[worker] = (message.state, message.progress_s)
        if message.state == "failed":
            gang.failed.append(worker)
        if message.state != "done":
            self.stop(gang.id, False, 0.0, message.detail or message.state)
        self._finish_if_ended(gang)

    def on_worker_lost(self, worker):
        """Record that a worker failed; its expired lease has stopped its members."""
        for gang in list(self._gangs.values()):
            if worker in gang.places and worker not in gang.ended:
                state = "stopped" if gang.start_sent else NEVER_STARTED
                gang.ended[worker] = (state, 0.0)
                self.stop(gang.id, False, 0.0, f"worker {worker} failed")
                self._finish_if_ended(gang)

    def tick(self):
        """Resend unanswered messages; stop attempts that exceed a time limit."""
        now = self._clock.seconds()
        for gang in list(self._gangs.values()):
            if gang.state == RESERVING and now - gang.state_since > RESERVE_TIMEOUT_S:
                self.stop(gang.id, False, 0.0, "reservation timed out")
            elif gang.state == STARTING and now - gang.state_since > START_TIMEOUT_S:
                self.stop(gang.id, False, 0.0, "start timed out")
            elif gang.state != RUNNING and now - gang.sent_at >= RESEND_INTERVAL_S:
                self._send_pending(gang)

    def _send_pending(self, gang):
        gang.sent_at = self._clock.seconds()
        for worker in gang.unfinished_workers:
            message = self._message_for(gang, worker)
            if message is not None:
                self._send(worker, message)

    def _message_for(self, gang, worker):
        epoch, revision, confirmation_age_ms = self._stamp()
        if gang.state == RESERVING and worker not in gang.permits:
            return Reserve(
                gang.id,
                msgspec.json.encode(gang.job),
                gang.places[worker],
                epoch,
                revision,
                confirmation_age_ms,
            )
        if gang.state == STARTING and worker not in gang.started:
            return Start(
                gang.id, gang.permits[worker], epoch, revision, confirmation_age_ms
            )
        if gang.state == STOPPING:
            return self._stop_message(gang.id, gang.checkpoint, gang.grace_s)
        return None

    def _stop_message(self, attempt_id, checkpoint, grace_s):
        return Stop(attempt_id, self._stamp()[0], checkpoint, int(grace_s * 1000))

    def _finish_if_ended(self, gang):
        if gang.unfinished_workers or gang.id not in self._gangs:
            return
        del self._gangs[gang.id]
        states = {state for state, _ in gang.ended.values()}
        progress = [member_progress_s for _, member_progress_s in gang.ended.values()]
        ran = gang.start_sent and states != {NEVER_STARTED}
        if states == {"done"}:
            state = "done"
        elif gang.failed:
            state = "failed"
        else:
            state = "stopped"
        if gang.reason == "cancelled" and state == "stopped":
            state = "cancelled"
        progress_s = min(progress, default=0.0) if state == "stopped" else 0.0
        self._on_event(GangEnded(gang.id, state, progress_s, ran, tuple(gang.failed)))
