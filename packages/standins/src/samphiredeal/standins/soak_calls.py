"""Calls of the soak on connections that are kept open, and the states they return.

Times are those of the reactor's clock, which the workers' histories have as well.
"""

import concurrent.futures
import http.client
import json
import random
import threading
from typing import NamedTuple

from twisted.python.runtime import seconds as clock

from samphiredeal.standins.graph_cluster import CALLERS_HOST, KEY, Reply
from samphiredeal.standins.launch import HOST

CALL_TIMEOUT_S = 5.0
# A call outlasts the pause of an entry, or ends in it while others are made.
_TIMEOUTS_S = (CALL_TIMEOUT_S, 1.0)
_ASK_INTERVAL_S = 0.02
_NEWEST_JOBS = 8


class OpenConnection:
    """A caller's connection to a port, opened again only after it has failed."""

    def __init__(self, port, timeout_s):
        self._connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)

    def call(self, verb, path, document=None, key=KEY):
        """Make one call; return the `Reply`."""
        headers = {"Host": CALLERS_HOST, "Authorization": f"Token {key}"}
        body = None if document is None else json.dumps(document)
        try:
            self._connection.request(verb, path, body, headers)
            response = self._connection.getresponse()
            return Reply(response.status, json.loads(response.read() or b"{}"))
        except (OSError, http.client.HTTPException):
            # The next call opens it again.
            self._connection.close()
            return Reply(0, {})


class StateAnswer(NamedTuple):
    """What an entry answered to a question for the state of a job.

    `status` is 0 if there was no response; `state` is empty without a state.
    """

    asked_at: float
    answered_at: float
    entry: str
    job: str
    status: int
    state: str


class StateAsker:
    """Asks entries for the states of jobs, each on several open connections."""

    def __init__(self, seed):
        self._seed = seed
        self._jobs = []
        self._stopping = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(max_workers=64)
        self._asking = []
        self.answers = []

    def add_job(self, job_id):
        """Ask for the state of this job as well from now on."""
        self._jobs.append(job_id)

    def start(self, ports):
        """Ask the entries at the given ports, by name, until `stop`."""
        for entry, port in ports.items():
            for timeout_s in _TIMEOUTS_S:
                chosen = random.Random(f"states {self._seed} {entry} {timeout_s}")
                connection = OpenConnection(port, timeout_s)
                asking = self._pool.submit(self._ask, chosen, entry, connection)
                self._asking.append(asking)

    def stop(self):
        """End all questions; raise the error of a thread that has failed."""
        self._stopping.set()
        self._pool.shutdown()
        for asking in self._asking:
            asking.result()

    def _ask(self, chosen, entry, connection):
        while not self._stopping.wait(_ASK_INTERVAL_S):
            if not self._jobs:
                continue
            newest = self._jobs[-_NEWEST_JOBS:]
            job_id = chosen.choice(newest if chosen.random() < 0.7 else self._jobs)
            asked_at = clock()
            reply = connection.call("GET", f"/normal/{job_id}")
            state = reply.document.get("state", "") if reply.status == 200 else ""
            self.answers.append(
                StateAnswer(asked_at, clock(), entry, job_id, reply.status, state)
            )
