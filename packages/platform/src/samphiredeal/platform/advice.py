"""Client for the advice service, which decides which workers may run a step."""

from typing import NamedTuple

import msgspec

from samphiredeal.model import untrusted
from samphiredeal.platform.table import Unavailable

# A ticket that is valid for longer is asked for again anyway.
_MAX_VALID_MS = 10**9


class Advice(NamedTuple):
    """Tickets by worker id, valid for `valid_s` seconds.

    A worker without a ticket may not run the step.
    """

    tickets: dict
    valid_s: float


class AdviceClient:
    """Client for the advice service, over an `HttpClient`."""

    def __init__(self, http):
        self._http = http

    async def query(self, step, worker_ids, timeout_s):
        """Return the `Advice` on a step and these workers, or an `Unavailable`."""
        body = msgspec.json.encode({"step": step, "workers": list(worker_ids)})
        answer = await self._http.call(
            b"POST", b"/api/advise", body, timeout_s=timeout_s
        )
        if isinstance(answer, Unavailable):
            return answer
        status, data = answer
        if status != 200:
            return Unavailable(f"status {status}", not_applied=True)
        try:
            fields = untrusted.decode_json(data)
            tickets = {
                untrusted.text("id", row[0]): untrusted.text("ticket", row[1])
                for row in fields["good"]
            }
            valid_ms = untrusted.number(
                "validity-ms", fields["validity-ms"], 0, _MAX_VALID_MS
            )
            return Advice(tickets, valid_ms / 1000)
        except (KeyError, TypeError, IndexError, ValueError) as error:
            reason = f"unreadable advice: {type(error).__name__}: {error}"
            return Unavailable(reason[:200])
