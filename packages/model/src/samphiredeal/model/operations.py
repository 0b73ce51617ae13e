"""The operator's configuration: queues, services and client accounts."""

from typing import NamedTuple


class AdviceTerms(NamedTuple):
    """Timing of the advice service, which decides which workers may run a step.

    A query takes `decision_s`, and `per_worker_s` more for each worker named. A ticket,
    the permission for one step on one worker, is valid for `valid_s`.
    """

    decision_s: float
    per_worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """A named queue of jobs that callers reach by host and path prefix."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    public: bool = False
    advice: AdviceTerms | None = None


class ClientAccount(NamedTuple):
    """A client account with its keys and guaranteed accelerators."""

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


class Operations(NamedTuple):
    """The operator's configuration at one version."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    guarded_services: tuple[str, ...] = ()
    max_body_bytes: int = 262_144


class Directory:
    """Looks up queues by host and path, and accounts by key, in one version.

    >>> queue = Queue("q", "a.example", "/x/", "s")
    >>> Directory(Operations(1, (queue,))).queue_for("a.example", "/x/1").name
    'q'
    """

    def __init__(self, operations):
        self._operations = operations
        self._by_host = {}
        for queue in operations.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        self._by_key = {
            key: account for account in operations.accounts for key in account.keys
        }

    @property
    def operations(self):
        """The indexed configuration."""
        return self._operations

    def queue_for(self, host, path):
        """Return the queue with the longest prefix of the path, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def account_of(self, key):
        """Return the account that holds a key, or None."""
        return self._by_key.get(key)
