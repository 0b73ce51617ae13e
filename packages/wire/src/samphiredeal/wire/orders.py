"""Orders and reports as the bodies of `WorkOrders` and `WorkReport`.

Each is an array of its fields. Trailing fields that have their defaults are left out,
so that a process of an older build reads a message whose newer fields are not used.
"""

import msgspec

from samphiredeal.model.compact import without_trailing_defaults
from samphiredeal.model.runs import Orders, Report


def encode(value):
    """Return an `Orders` or a `Report` as bytes."""
    return msgspec.msgpack.encode(without_trailing_defaults(value))


def decode_orders(data):
    """Return the `Orders` in bytes; raise ValueError if malformed."""
    return _decode(data, Orders)


def decode_report(data):
    """Return the `Report` in bytes; raise ValueError if malformed."""
    return _decode(data, Report)


def _decode(data, kind):
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{kind.__name__}: {error}") from error
