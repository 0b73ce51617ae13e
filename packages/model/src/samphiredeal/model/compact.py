"""Compact encoding of tuples as arrays of their fields."""

from types import UnionType
from typing import Union, get_args, get_origin, get_type_hints


def without_trailing_defaults(value):
    """Return the fields of a `NamedTuple` up to the last one not at its default.

    A process of an older build, whose type lacks the newest fields, can then read the
    value unless they are used.

    >>> without_trailing_defaults(Point(1, 0))  # doctest: +SKIP
    (1,)
    """
    defaults = value._field_defaults
    used = len(value)
    for name, content in zip(reversed(value._fields), reversed(value), strict=True):
        if name not in defaults or defaults[name] != content:
            break
        used -= 1
    return value[:used]


def without_unknown_fields(value, kind):
    """Return decoded JSON without the fields that `kind` and its parts do not have.

    A later build adds fields at the end of an array. `kind` is the type to which the
    value is converted: a `NamedTuple`, a list or dictionary of those, or a union.

    >>> from samphiredeal.model.shape import Shape
    >>> without_unknown_fields({"a": [1, 2, 3, "later"]}, dict[str, Shape])
    {'a': [1, 2, 3]}
    """
    if isinstance(value, dict):
        item_kind = get_args(kind)[1:] or (None,)
        return {
            key: without_unknown_fields(item, item_kind[0])
            for key, item in value.items()
        }
    if not isinstance(value, list):
        return value
    if get_origin(kind) in (Union, UnionType):
        kind = next((one for one in get_args(kind) if _is_array(one)), None)
    if hasattr(kind, "_fields"):
        kinds = get_type_hints(kind).values()
        return [
            without_unknown_fields(item, one)
            for item, one in zip(value, kinds, strict=False)
        ]
    item_kind = (get_args(kind) or (None,))[0]
    return [without_unknown_fields(item, item_kind) for item in value]


def _is_array(kind):
    return hasattr(kind, "_fields") or get_origin(kind) in (list, tuple)
