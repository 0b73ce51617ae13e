"""A minimal client of the HTTP API, used by the command line."""

import json
import urllib.error
import urllib.request
from typing import NamedTuple

TIMEOUT_S = 30.0


class Reply(NamedTuple):
    """The status, JSON document (or text) and headers of a response."""

    status: int
    document: object
    headers: dict

    @property
    def accepted(self):
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300


def call(base_url, method, path, document=None, headers=None, body=None):
    """Send a request and return the `Reply`; raise `OSError` without a response."""
    if document is not None:
        body = json.dumps(document).encode()
    request = urllib.request.Request(
        base_url.rstrip("/") + path, body, headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return _reply(response.status, response.read(), response.headers)
    except urllib.error.HTTPError as error:
        return _reply(error.code, error.read(), error.headers)


def _reply(status, data, headers):
    try:
        document = json.loads(data)
    except ValueError:
        document = data.decode(errors="replace")
    return Reply(status, document, dict(headers))
