"""The configuration: accounts, availability zones and worker labels.

A configuration is immutable and has a revision, which each accepted change
increments; `apply` never lowers it.
"""

from typing import NamedTuple, TypedDict

import msgspec

from samphiredeal.model import job as jobs
from samphiredeal.model import selector
from samphiredeal.model.shape import Shape

ACCOUNT = "account"
ZONE = "zone"
WORKER = "worker"
KINDS = (ACCOUNT, ZONE, WORKER)

ZONE_IN = "in"
ZONE_STATE_OUT = "out"

MAX_GUARANTEE_COUNT = 4096
MAX_NAME_LENGTH = 128
MAX_AMOUNT = 1 << 40


class GuaranteeDoc(TypedDict, total=False):
    """One entry of an account's guarantee: `count` slices of one shape."""

    cpu_milli: int
    memory_mb: int
    accelerators: int
    count: int
    adjacency: str
    selector: str


class AccountDoc(TypedDict, total=False):
    """A client account as configured by operators."""

    guarantee: list[GuaranteeDoc]
    weight: float
    selector: str
    movable_selector: str
    objective_s: float
    objective_share: float


class ZoneDoc(TypedDict, total=False):
    """An availability zone: state ``in`` or ``out``."""

    state: str


class WorkerDoc(TypedDict, total=False):
    """Labels set by operators; they override those that the worker announces."""

    labels: dict[str, str]


class Change(NamedTuple):
    """One accepted change; `document` is None for a deletion."""

    revision: int
    change_id: str
    kind: str
    name: str
    document: dict | None


class Guarantee(NamedTuple):
    """A validated entry of a guarantee."""

    shape: Shape
    count: int
    adjacency: str
    selector: str


class DocumentError(ValueError):
    """A document is invalid; the message names the field and its value."""


_TYPES = {ACCOUNT: AccountDoc, ZONE: ZoneDoc, WORKER: WorkerDoc}


def check_keys(value, known, path):
    """Raise `DocumentError` if the mapping has keys that are not in `known`."""
    if not isinstance(value, dict):
        raise DocumentError(f"{path}: expected an object, got {value!r}")
    for key in value:
        if key not in known:
            raise DocumentError(f"{path}.{key}: unknown key")


def check_document(kind, document):
    """Return the document if it is valid for its kind.

    Raise `DocumentError`, naming the invalid field and its value, otherwise.
    """
    if kind not in _TYPES:
        raise DocumentError(f"kind: {kind!r} is not one of {', '.join(KINDS)}")
    check_keys(document, _TYPES[kind].__annotations__, kind)
    try:
        msgspec.convert(document, _TYPES[kind])
    except msgspec.ValidationError as error:
        raise DocumentError(f"{kind}: {error}") from error
    if kind == ACCOUNT:
        _check_account(document)
    if kind == ZONE:
        state = document.get("state")
        if state not in (ZONE_IN, ZONE_STATE_OUT):
            raise DocumentError(f"zone.state: {state!r} is not 'in' or 'out'")
    return document


def _check_account(document):
    for index, line in enumerate(document.get("guarantee", ())):
        path = f"account.guarantee[{index}]"
        check_keys(line, GuaranteeDoc.__annotations__, path)
        for field in ("cpu_milli", "memory_mb", "accelerators"):
            if not 0 <= line.get(field, 0) <= MAX_AMOUNT:
                raise DocumentError(f"{path}.{field}: {line[field]} is out of range")
        if not 1 <= line.get("count", 1) <= MAX_GUARANTEE_COUNT:
            raise DocumentError(f"{path}.count: {line['count']} is out of range")
        if line.get("adjacency", jobs.ANYWHERE) not in jobs.ADJACENCIES:
            raise DocumentError(f"{path}.adjacency: {line['adjacency']!r} is unknown")
        _check_selector(line.get("selector", ""), f"{path}.selector")
    if document.get("weight", 1.0) <= 0:
        raise DocumentError(f"account.weight: {document['weight']} is not positive")
    for field in ("selector", "movable_selector"):
        _check_selector(document.get(field, ""), f"account.{field}")


def _check_selector(text, path):
    try:
        selector.parse(text)
    except selector.SelectorError as error:
        raise DocumentError(f"{path}: {error}") from error


def check_name(name):
    """Raise `DocumentError` if the name's length or a character is not allowed."""
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise DocumentError(f"name: length {len(name)} is not 1 to {MAX_NAME_LENGTH}")
    if not all(char.isalnum() or char in "-_." for char in name):
        raise DocumentError(
            f"name: {name!r} may only contain letters, digits and '-_.'"
        )


def guarantees(document):
    """Return the guarantee entries of a validated account document."""
    return tuple(
        Guarantee(
            Shape(
                line.get("cpu_milli", 0),
                line.get("memory_mb", 0),
                line.get("accelerators", 0),
            ),
            line.get("count", 1),
            line.get("adjacency", jobs.ANYWHERE),
            line.get("selector", ""),
        )
        for line in document.get("guarantee", ())
    )


class Configuration(NamedTuple):
    """All documents at one revision."""

    revision: int = 0
    accounts: dict = {}
    zones: dict = {}
    workers: dict = {}

    def apply(self, change):
        """Return the configuration after a change; ignore an older change."""
        if change.revision <= self.revision:
            return self
        documents = dict(self.documents(change.kind))
        if change.document is None:
            documents.pop(change.name, None)
        else:
            documents[change.name] = change.document
        return self._replace(revision=change.revision, **{change.kind + "s": documents})

    def documents(self, kind):
        """Return the documents of one kind by name."""
        return getattr(self, kind + "s")

    def zone_is_out(self, zone):
        """Return whether operators have labelled the availability zone out."""
        return self.zones.get(zone, {}).get("state") == ZONE_STATE_OUT

    def labels_of(self, info):
        """Return the effective labels of a worker or other upstream."""
        labels = {"zone": info.zone, "rack": info.rack, "worker": info.name}
        labels.update(info.labels)
        labels.update(self.workers.get(info.name, {}).get("labels", {}))
        return labels


EMPTY = Configuration()


def encode(configuration):
    """Return the configuration as JSON bytes."""
    return msgspec.json.encode(configuration._asdict())


def decode(data):
    """Return the configuration encoded by `encode`."""
    return Configuration(**msgspec.json.decode(data))


def encode_changes(changes):
    """Return changes as JSON bytes."""
    return msgspec.json.encode([change._asdict() for change in changes])


def decode_changes(data):
    """Return the changes encoded by `encode_changes`."""
    return [Change(**fields) for fields in msgspec.json.decode(data)]
