"""The stored rows as the landing ae33cb2 declares them; never changed.

`decode` reads a row as that build does, `encode` writes a record as it does. Rows of
the cancels have no content.
"""

import ipaddress
from typing import Annotated, NamedTuple

import msgspec

_MAX_INTEGER = 2**53 - 1
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]


class Shape(NamedTuple):
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class StepSpec(NamedTuple):
    count: int
    shape: Shape
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ""
    target_latency_ms: int = 0
    fills: bool = False
    may_be_away: int = 0


class GraphSpec(NamedTuple):
    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class AdviceTerms(NamedTuple):
    decision_s: float
    per_worker_s: float
    valid_s: float


class JobRecord(NamedTuple):
    id: str
    queue: str
    service: str
    account: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    accepted_ms: int
    spec: GraphSpec
    advice: AdviceTerms | None = None


class PlaceRecord(NamedTuple):
    """Where a member of a unit may run."""

    index: int
    worker: str
    life: str


class UnitRecord(NamedTuple):
    run: _Count
    done: bool = False
    failures: _Count = 0
    checkpoint: str = ""
    places: tuple[PlaceRecord, ...] = ()


class Progress(NamedTuple):
    state: str = "queued"
    begun: bool = False
    reason: str = ""
    finished_occurrences: tuple[int, ...] = ()
    units: dict[str, UnitRecord] = {}
    finished_before: _Count = 0
    is_split: bool = False


class UnitRows(NamedTuple):
    units: dict[str, UnitRecord] = {}


class SpeedRecord(NamedTuple):
    log_speed_milli: Annotated[int, msgspec.Meta(ge=-3000, le=3000)] = 0
    precision: _Count = 0


class EpochRecord(NamedTuple):
    number: _Count
    holder: str
    nonce: str


class HeartbeatRecord(NamedTuple):
    epoch: _Count
    count: _Count
    resigned: bool = False
    store_ms: _Count = 0


class WorkerRecord(NamedTuple):
    address: str
    zone: str


class AddressRecord(NamedTuple):
    """The address of an agent for starts, or of an entry for other entries."""

    address: str


class EvictionRecord(NamedTuple):
    epoch: _Count
    number: _Count
    expired_ms: _Count = 0


KINDS = {
    "job": JobRecord,
    "progress": Progress,
    "units": UnitRows,
    "epoch": EpochRecord,
    "beat": HeartbeatRecord,
    "worker": WorkerRecord,
    "evicted": EvictionRecord,
    "place": AddressRecord,
    "entry": AddressRecord,
    "speed": SpeedRecord,
}
# Kinds of which fields at their default are left out if none follows that is not.
_TRIMMED = (JobRecord, Progress, UnitRows, SpeedRecord)


def kind_of(key):
    """Return the kind of the row with a key.

    >>> kind_of("units/a1/0.0.3")
    'units'
    """
    return key.partition("/")[0]


def decode(key, value):
    """Return the record in a row; raise `ValueError` if the build cannot read it."""
    record = msgspec.json.decode(value, type=KINDS[kind_of(key)])
    if isinstance(record, Progress | UnitRows):
        # Units of other names are passed over, but each name begins with a number.
        for name in record.units:
            int(name.split(".", 1)[0])
    if isinstance(record, WorkerRecord | AddressRecord):
        host, _, port = record.address.rpartition(":")
        ipaddress.IPv4Address(host)
        if not 1 <= int(port) <= 65_535:
            raise ValueError(f"address: port {port} is not 1 to 65535")
    return record


def encode(record):
    """Return the bytes that the build writes for a record."""
    used = len(record)
    if isinstance(record, _TRIMMED):
        defaults = record._field_defaults
        while used and defaults.get(record._fields[used - 1], ...) == record[used - 1]:
            used -= 1
    return msgspec.json.encode(record[:used])
