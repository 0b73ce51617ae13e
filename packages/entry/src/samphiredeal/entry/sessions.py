"""The agents that are linked to this entry, with their last reported states."""

from typing import NamedTuple

import msgspec

from samphiredeal.model.job import WorkerInfo
from samphiredeal.model.shape import Shape
from samphiredeal.wire.messages import EXECUTOR

# An agent without contact for this long gets no dispatches.
AGENT_SUSPECT_S = 1.5
# An agent without contact for this long has failed. Longer than the lease of its
# members, so that they have stopped by then.
AGENT_TIMEOUT_S = 7.0


class AgentInfo(NamedTuple):
    """The content of an agent's hello."""

    name: str
    kind: str
    zone: str
    rack: str
    incarnation: str
    capacity: Shape
    slots: int
    labels: dict

    @property
    def worker(self):
        """The worker's description for the scheduler."""
        return WorkerInfo(
            self.name,
            self.zone,
            self.rack,
            self.capacity,
            tuple(sorted(self.labels.items())),
            self.incarnation,
        )


def agent_info(hello):
    """Return the content of an agent's hello, or None if it is malformed."""
    try:
        document = msgspec.json.decode(hello.document)
        return AgentInfo(
            hello.name,
            document["kind"],
            hello.zone,
            document["rack"],
            hello.incarnation,
            Shape(*document["capacity"]),
            document["slots"],
            document["labels"],
        )
    except (msgspec.DecodeError, KeyError, TypeError):
        return None


class Session:
    """One agent and its newest link."""

    def __init__(self, info, link, now):
        self.info = info
        self.link = link
        self.last_contact_at = now
        self.permit = 0
        self.free = 0
        self.unacknowledged = set()
        self.leaving = False
        self.revision = 0
        self.reachable_entries = []
        self.entries_sent = None

    @property
    def is_executor(self):
        """Whether the agent serves requests."""
        return self.info.kind == EXECUTOR

    def reserve_slot(self, dispatch_id):
        """Count a dispatch that the agent has not acknowledged yet."""
        if dispatch_id not in self.unacknowledged:
            self.unacknowledged.add(dispatch_id)
            self.free -= 1

    def release_slot(self, dispatch_id):
        """Release the slot of a dispatch that was never sent."""
        if dispatch_id in self.unacknowledged:
            self.unacknowledged.discard(dispatch_id)
            self.free += 1

    def on_heartbeat(self, heartbeat, now):
        """Apply a heartbeat; unacknowledged dispatches still occupy their slots."""
        self.last_contact_at = now
        self.permit = max(self.permit, heartbeat.sequence)
        self.free = heartbeat.free - len(self.unacknowledged)
        self.leaving = heartbeat.leaving
        self.revision = heartbeat.revision
        self.reachable_entries = heartbeat.heard


class Sessions:
    """Sessions by agent name."""

    def __init__(self, clock):
        self._clock = clock
        self._by_name = {}

    def __iter__(self):
        return iter(list(self._by_name.values()))

    def get(self, name):
        """Return the session of an agent, or None."""
        return self._by_name.get(name)

    def open(self, info, link):
        """Open a session; return (session, the session it replaces or None)."""
        old = self._by_name.get(info.name)
        session = Session(info, link, self._clock.seconds())
        if old is not None and old.info.incarnation == info.incarnation:
            session.permit = old.permit
            session.unacknowledged = old.unacknowledged
        self._by_name[info.name] = session
        return session, old

    def close(self, session):
        """Remove a session unless a newer one has replaced it."""
        if self._by_name.get(session.info.name) is session:
            del self._by_name[session.info.name]

    def is_live(self, session):
        """Return whether the agent had contact recently enough for dispatches."""
        return self._clock.seconds() - session.last_contact_at <= AGENT_SUSPECT_S

    def expired(self):
        """Return the sessions whose agents had no contact for too long."""
        limit = self._clock.seconds() - AGENT_TIMEOUT_S
        return [s for s in self._by_name.values() if s.last_contact_at < limit]
