"""Builders of malformed documents, as other writers leave them beside sound ones."""

import msgspec

DEEP = b"[" * 200_000 + b"]" * 200_000
# Accepted by JSON decoders, but too large for messages between processes.
LARGE = b"1e308"
LONG = b"123456789012345678901234567890"
MALFORMED_VALUES = (DEEP, LARGE, LONG, b"-1", b"null", b'"x"', b"true", b"{}", b"[[]]")


def with_value(document, path, value):
    """Return the JSON of a document with the raw JSON `value` at a path.

    >>> with_value({"a": {"b": 1}}, ("a", "b"), b"2")
    b'{"a":{"b":2}}'
    """
    return msgspec.json.encode(_replace(document, path, msgspec.Raw(value)))


def _replace(node, path, value):
    if not path:
        return value
    key, *rest = path
    copy = list(node) if isinstance(node, list) else dict(node)
    copy[key] = _replace(copy[key], rest, value)
    return copy


def paths(node, prefix=()):
    """Yield the path of each value in a document of objects and lists."""
    yield prefix
    if isinstance(node, dict | list):
        items = node.items() if isinstance(node, dict) else enumerate(node)
        for key, value in items:
            yield from paths(value, (*prefix, key))
