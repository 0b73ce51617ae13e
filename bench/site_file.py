"""Reads what a deployment file says of its kinds of jobs and of its days' floors.

The benchmark's names are translated here: a class of requests is a kind of job, and
its worth is the value of a job of mean size.
"""

import tomllib
from typing import NamedTuple


class KindValue(NamedTuple):
    """The value of a mean job of a kind, in time and late, and the kind's priority."""

    name: str
    priority: int
    in_time: float
    late: float


class SiteValues(NamedTuple):
    """The kinds of a site by priority, and the floors of its days by their names.

    `floors` has the least shares of value of a kind and of a zone, or None where a day
    has none. Jobs that have not ended by `last_end_s`, in seconds from the start of
    traffic, are not owed.
    """

    kinds: dict
    zones: tuple
    floors: dict
    last_end_s: float = float("inf")


def read_site_values(path):
    """Return the `SiteValues` of a deployment file.

    Raise ValueError if two kinds have the same priority: queues have other names each
    day, and are told apart by their priority only.
    """
    with open(path, "rb") as file:
        document = tomllib.load(file)
    kinds = {}
    for one in document["classes"]:
        if one["priority"] in kinds:
            raise ValueError(f"{path}: two kinds of priority {one['priority']}")
        kinds[one["priority"]] = KindValue(
            one["name"], one["priority"], one["worth"], one["late_worth"]
        )
    floors = {
        day["name"]: (_first(day, "floor_classes"), _first(day, "floor_zones"))
        for day in document["day"]
    }
    zones = tuple(zone["name"] for zone in document["zones"])
    # After the traffic come the recovery from the last fault, and the last jobs once
    # all machines are in contact again.
    bounds = document["bounds"]
    last_end_s = (
        document["length_s"]
        + bounds["recover_s"]
        + bounds["touch_ms"] / 1000
        + document["timing"]["finish_s"]
    )
    return SiteValues(kinds, zones, floors, last_end_s)


def _first(day, name):
    """Return the floor of the worst group, or None."""
    return next(iter(day.get(name, ())), None)
