"""Claims: durable records by which a request runs at most once.

Before a request that is not repeatable is dispatched, a row records the dispatch,
the agent and its incarnation. An entry that finds the row queries that agent for
the outcome. The claim may be replaced only once its dispatch can never run: the
agent refused it, or never received it and wrote a tombstone for it.
"""

import base64
from typing import NamedTuple

import msgspec

from samphiredeal.model import verdict
from samphiredeal.platform.table import (
    NO_OBJECT,
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Unavailable,
    write_until_resolved,
)

OPEN = "open"
DONE = "done"
VOID = "void"
UNKNOWN = "unknown"

CLAIM_TIMEOUT_S = 2.0
MAX_INLINE_BODY_BYTES = 16 * 1024


class Claim(NamedTuple):
    """The content of a claim row."""

    dispatch_id: str
    agent: str
    incarnation: str
    permit: int
    request_digest: str
    state: str = OPEN
    verdict: str = ""
    status: int = 0
    body: str = ""
    body_object: str = ""


class StoredClaim(NamedTuple):
    """A claim row as read or written, with its key and version."""

    key: str
    version: int
    claim: Claim


class Claims:
    """Claim rows of all accounts."""

    def __init__(self, clock, table, objects):
        self._clock = clock
        self._table = table
        self._objects = objects

    async def open(self, account, key, claim, version=0):
        """Write a claim over this version of its row (0: there must be none).

        Returns (True, `StoredClaim`) if the write succeeded, (False, `StoredClaim`)
        with the existing claim if another came first, or an `Unavailable`.
        """
        row_key = f"claim/{account}/{key}"
        return await self._replace(StoredClaim(row_key, version, claim))

    async def close(self, stored_claim, state, outcome):
        """Write the outcome of a claim; return the same as `open`."""
        claim = stored_claim.claim._replace(
            state=state, verdict=outcome.verdict, status=outcome.status
        )
        if len(outcome.body) <= MAX_INLINE_BODY_BYTES:
            claim = claim._replace(body=base64.b64encode(outcome.body).decode())
        else:
            name = f"answer/{stored_claim.key}/{stored_claim.claim.dispatch_id}"
            stored = await self._objects.put(name, outcome.body)
            if isinstance(stored, Unavailable):
                return stored
            claim = claim._replace(body_object=name)
        return await self._replace(stored_claim._replace(claim=claim))

    async def read(self, account, key):
        """Return the `StoredClaim` of a request key, None, or an `Unavailable`."""
        row = await self._table.read(f"claim/{account}/{key}")
        if isinstance(row, Unavailable):
            return row
        return _stored_claim(row) if row.version else None

    async def outcome_of(self, claim):
        """Return the outcome stored in a closed claim, or an `Unavailable`."""
        body = base64.b64decode(claim.body)
        if claim.body_object:
            body = await self._objects.get(claim.body_object)
            if isinstance(body, Unavailable):
                return body
            if body is NO_OBJECT:
                return verdict.Outcome(claim.verdict, claim.status)
        return verdict.Outcome(claim.verdict, claim.status, body)

    async def _replace(self, stored_claim):
        value = msgspec.json.encode(stored_claim.claim._asdict())
        answer = await write_until_resolved(
            self._clock,
            self._table,
            [Condition(stored_claim.key, stored_claim.version)],
            [Put(stored_claim.key, value)],
            give_up_at=self._clock.seconds() + CLAIM_TIMEOUT_S,
        )
        if isinstance(answer, Committed):
            return True, stored_claim._replace(
                version=answer.versions[stored_claim.key]
            )
        if isinstance(answer, Conflict):
            return await self._existing_claim(answer.row, stored_claim)
        return answer

    async def _existing_claim(self, row, stored_claim):
        if not row.version:
            row = await self._table.read(stored_claim.key)
            if not isinstance(row, Row):
                return row
        if not row.version:
            return Unavailable("the claim row was deleted concurrently")
        return False, _stored_claim(row)


def _stored_claim(row):
    return StoredClaim(row.key, row.version, Claim(**msgspec.json.decode(row.value)))
