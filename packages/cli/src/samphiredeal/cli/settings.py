"""Validated settings files: JSON with comments; unknown keys are rejected.

>>> load("entry.json", EntrySettings)  # doctest: +SKIP
"""

from typing import NotRequired, TypedDict, get_args, get_origin, get_type_hints

import json5
import msgspec


class EntrySettings(TypedDict):
    """Settings of an entry. Times are in seconds."""

    name: str
    zone: str
    region: str
    host: str
    port: int
    http_port: int
    platform_url: str
    address: NotRequired[str]
    http_host: NotRequired[str]
    drain_grace_s: NotRequired[float]


class CapacitySettings(TypedDict):
    """The resources of a worker."""

    cpu_milli: int
    memory_mb: int
    accelerators: int


class AgentSettings(TypedDict):
    """Settings of an agent. `kind` is ``executor`` or ``worker``."""

    name: str
    kind: str
    zone: str
    entries: list[str]
    upstream_url: str
    rack: NotRequired[str]
    slots: NotRequired[int]
    connections: NotRequired[int]
    capacity: NotRequired[CapacitySettings]
    labels: NotRequired[dict[str, str]]
    drain_grace_s: NotRequired[float]


ENTRY_DEFAULTS = {"http_host": "", "address": "", "drain_grace_s": 30.0}
AGENT_DEFAULTS = {
    "rack": "",
    "slots": 8,
    "connections": 60,
    "capacity": {"cpu_milli": 0, "memory_mb": 0, "accelerators": 0},
    "labels": {},
    "drain_grace_s": 30.0,
}

_PORTS = range(65536)
_KINDS = ("executor", "worker")


class SettingsError(ValueError):
    """The settings are invalid; `faults` lists each fault with its path and value."""

    def __init__(self, path, faults):
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.faults = faults


def load(path, schema):
    """Return the validated settings of a file, with defaults filled in.

    Raise `SettingsError`, which lists every unknown key, or else the first
    value of a wrong type and the values out of range.
    """
    document = read_document(path)
    faults = list(_unknown_keys(document, schema, ""))
    if not faults:
        faults = list(_value_faults(document, schema))
    if faults:
        raise SettingsError(path, faults)
    defaults = ENTRY_DEFAULTS if schema is EntrySettings else AGENT_DEFAULTS
    return {**defaults, **document}


def read_document(path):
    """Return the parsed content of a settings file.

    Raise `SettingsError` if it can't be read, is malformed or repeats a key.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise SettingsError(path, [f"cannot be read: {error.strerror}"]) from error
    if not text.strip():
        raise SettingsError(path, ["the file is empty; expected an object"])
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsError(path, [f"not JSON with comments: {error}"]) from error


def _unknown_keys(value, schema, path):
    """Yield a fault for each key that is not in the schema."""
    if not isinstance(value, dict):
        yield f"{path or 'settings'}: expected an object, got {value!r}"
        return
    hints = get_type_hints(schema)
    for key, item in value.items():
        key_path = f"{path}.{key}" if path else key
        if key not in hints:
            yield f"{key_path}: unknown key"
        elif hasattr(_strip_not_required(hints[key]), "__required_keys__"):
            yield from _unknown_keys(item, _strip_not_required(hints[key]), key_path)


def _strip_not_required(hint):
    """Return a type hint without `NotRequired`."""
    return get_args(hint)[0] if get_origin(hint) is NotRequired else hint


def _value_faults(document, schema):
    try:
        msgspec.convert(document, schema)
    except msgspec.ValidationError as error:
        yield str(error)
        return
    for key in ("port", "http_port"):
        if key in document and document[key] not in _PORTS:
            yield f"{key}: {document[key]} is not a port"
    yield from _clashing_ports(document)
    if schema is AgentSettings and document["kind"] not in _KINDS:
        yield f"kind: {document['kind']!r} is not one of {', '.join(_KINDS)}"
    if schema is AgentSettings and not document["entries"]:
        yield "entries: [] has no address of an entry"
    slots = document.get("slots", 1)
    if slots < 1:
        yield f"slots: {slots} is below 1"


def _clashing_ports(document):
    """Yield a fault if both servers of an entry would listen at one address."""
    port, http_port = document.get("port"), document.get("http_port")
    host = document.get("host")
    same_host = document.get("http_host") in (None, "", host)
    if port and port == http_port and same_host:
        yield f"http_port: {http_port} is also port"


def schema_of(document):
    """Return the schema of a document; only agents' settings have the key ``kind``."""
    return AgentSettings if "kind" in document else EntrySettings
