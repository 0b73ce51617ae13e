"""Selectors over labels.

A selector is a comma-separated list of terms, all of which must hold:
``key=a|b`` (the label is one of these), ``key!=a|b`` (it is none of these, or
is absent) and ``key`` (it is present). The empty selector matches everything.

    >>> matches(parse("zone=a|b,tier!=spot"), {"zone": "a"})
    True
"""

import functools
import re
from typing import NamedTuple

_TERM = re.compile(r"^([A-Za-z0-9_.\-/]+)(?:(!?=)([A-Za-z0-9_.\-/|]+))?$")


class Term(NamedTuple):
    """One condition on one label: `operator` is ``=``, ``!=`` or ``has``."""

    key: str
    operator: str
    values: frozenset


class SelectorError(ValueError):
    """The text is not a valid selector."""


@functools.lru_cache(maxsize=4096)
def parse(text):
    """Return the terms of a selector as a tuple.

    Raise `SelectorError`, naming the malformed term, if the text is invalid.
    """
    terms = []
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        match = _TERM.match(part)
        if match is None:
            raise SelectorError(f"malformed selector term {part!r} in {text!r}")
        key, operator, values = match.groups()
        chosen = frozenset(values.split("|")) if values else frozenset()
        terms.append(Term(key, operator or "has", chosen))
    return tuple(terms)


def matches(terms, labels):
    """Return whether the labels satisfy every term."""
    return all(_holds(term, labels.get(term.key)) for term in terms)


def _holds(term, value):
    if term.operator == "=":
        return value in term.values
    if term.operator == "!=":
        return value not in term.values
    return value is not None
