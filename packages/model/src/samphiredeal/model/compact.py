"""Compact encoding of tuples as arrays of their fields."""


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
