"""Decoding of data that another process has written, within bounds.

Size and nesting are checked before the data is decoded, and numbers against what
they may be, so that one malformed document is refused where it is read instead of
failing later, where it is used. All functions raise `ValueError` with the reason.

    >>> decode_json(b'{"port": 80}')
    {'port': 80}
"""

import ipaddress
import re

import msgspec

# Above the largest answer of a store, 1 MB of rows, and the largest heartbeat, 4 MiB.
MAX_BYTES = 8 * 1024 * 1024
# No document of any interface is nested deeper than eight.
MAX_NESTING = 32
# The largest integer that every JSON implementation represents exactly.
MAX_INTEGER = 2**53 - 1
MAX_PORT = 65_535
MAX_TEXT_CHARS = 200

_BRACKETS = b"[]{}"
_NO_BRACKETS = bytes(byte for byte in range(256) if byte not in _BRACKETS)
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)


def decode_json(data, kind=None):
    """Return the value in JSON bytes, of type `kind` if one is given."""
    if len(data) > MAX_BYTES:
        raise ValueError(f"{len(data)} bytes exceed the limit of {MAX_BYTES}")
    if _exceeds_nesting(data):
        raise ValueError(f"nested more than {MAX_NESTING} deep")
    try:
        if kind is None:
            return msgspec.json.decode(data)
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)[:200]) from error


def _exceeds_nesting(data):
    """Return whether arrays and objects are nested deeper than `MAX_NESTING`."""
    # Strings may contain brackets; they are removed only if these seem unbalanced.
    return _is_nested_deeper(data) and _is_nested_deeper(_STRING.sub(b"", data))


def _is_nested_deeper(data):
    brackets = data.translate(None, _NO_BRACKETS)
    for _ in range(MAX_NESTING):
        if not brackets:
            return False
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
    return bool(brackets)


def integer(name, value, low=0, high=MAX_INTEGER):
    """Return `value` as an int between `low` and `high`; a float may be whole.

    >>> integer("port", 80.0)
    80
    """
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int:
        raise ValueError(f"{name}: {_shown(value)} is not an integer")
    if not low <= value <= high:
        raise ValueError(f"{name}: {_shown(value)} is not between {low} and {high}")
    return value


def number(name, value, low=0, high=MAX_INTEGER):
    """Return `value` if it is a number between `low` and `high`.

    >>> number("stretch", 1.5)
    1.5
    """
    if type(value) not in (int, float) or not low <= value <= high:
        shown = _shown(value)
        raise ValueError(f"{name}: {shown} is not a number from {low} to {high}")
    return value


def text(name, value, max_chars=MAX_TEXT_CHARS):
    """Return `value` if it is a string of at most `max_chars` characters."""
    if not isinstance(value, str):
        raise ValueError(f"{name}: {_shown(value)} is not a string")
    if len(value) > max_chars:
        raise ValueError(f"{name}: longer than {max_chars} characters")
    return value


def parse_address(address):
    """Return (host, port) of ``IP:PORT``.

    >>> parse_address("10.1.0.19:8521")
    ('10.1.0.19', 8521)
    """
    host, _, port = text("address", address).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(f"address: {host[:40]!r} is not an IPv4 address") from error
    if not (port.isascii() and port.isdecimal() and 1 <= int(port[:9]) <= MAX_PORT):
        raise ValueError(f"address: port {port[:40]!r} is not 1 to {MAX_PORT}")
    return host, int(port)


def _shown(value):
    """Return a short text of a value, without the contents of containers."""
    if isinstance(value, list | dict):
        return f"a {type(value).__name__} of {len(value)}"
    return repr(value)[:80]
