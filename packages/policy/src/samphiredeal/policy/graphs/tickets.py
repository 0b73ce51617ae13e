"""Tickets for steps that only some workers may run.

The set of workers that may run a step never changes. A ticket expires after its
validity or with its worker's incarnation and is then requested again.
"""

from typing import NamedTuple

# A ticket with less time left than this may expire on the way to the worker.
_VALIDITY_MIN_S = 0.8
# Advice takes time for each worker; this limits a request to a quarter of a minute.
MAX_WORKERS_PER_REQUEST = 30


class _Ticket(NamedTuple):
    text: str
    life: str
    expires_at: float


class AdviceRequest(NamedTuple):
    """Query which of some workers may run a step; `terms` are its `AdviceTerms`."""

    step: str
    worker_ids: tuple
    terms: object


class Tickets:
    """Granted and refused tickets by step and worker id."""

    def __init__(self):
        self._tickets = {}
        self._refused = set()
        self.now = 0.0

    def text_for(self, unit, worker):
        """Return the ticket for a unit on a worker, or ''."""
        ticket = self._tickets.get((step_name(unit), worker.id))
        if ticket is None or ticket.life != worker.life:
            return ""
        return ticket.text if ticket.expires_at > self.now else ""

    def is_permitted(self, unit, worker):
        """Return whether the unit needs no ticket there or has a valid one."""
        if unit.job.record.advice is None:
            return True
        ticket = self._tickets.get((step_name(unit), worker.id))
        if ticket is None or ticket.life != worker.life:
            return False
        return ticket.expires_at - self.now > _VALIDITY_MIN_S

    def is_refused(self, unit, worker):
        """Return whether the worker may never run the unit's step."""
        return (step_name(unit), worker.id) in self._refused

    def advice_request(self, unit, workers):
        """Return the `AdviceRequest` for a unit, or None if none is needed.

        `workers` are candidates for its placement, the best first.
        """
        candidate_ids = [
            worker.id
            for worker in workers
            if not self.is_refused(unit, worker) and not self.is_permitted(unit, worker)
        ]
        if not candidate_ids:
            return None
        worker_ids = tuple(candidate_ids[:MAX_WORKERS_PER_REQUEST])
        return AdviceRequest(step_name(unit), worker_ids, unit.job.record.advice)

    def apply_advice(self, request, incarnations, tickets, valid_s, requested_at):
        """Store the result of a request.

        `incarnations` maps worker ids to incarnations.
        """
        for worker_id in request.worker_ids:
            key = (request.step, worker_id)
            if worker_id in tickets:
                life = incarnations.get(worker_id, "")
                expires_at = requested_at + valid_s
                self._tickets[key] = _Ticket(tickets[worker_id], life, expires_at)
            else:
                self._refused.add(key)

    def drop(self, unit, worker):
        """Drop a ticket that the worker did not accept."""
        self._tickets.pop((step_name(unit), worker.id), None)

    def forget_job(self, job_id):
        """Drop all tickets and refusals of an ended job."""
        prefix = job_id + "."
        for key in [key for key in self._tickets if key[0].startswith(prefix)]:
            del self._tickets[key]
        self._refused = {k for k in self._refused if not k[0].startswith(prefix)}


def step_name(unit):
    """Return the name of a unit's step in its occurrence."""
    return f"{unit.job.id}.{unit.occurrence}.{unit.step}"
