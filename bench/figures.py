"""Benchmark figures with bounds, written to build/bench.json."""

import json
import pathlib
from typing import NamedTuple

PATH = pathlib.Path("build/bench.json")

AT_MOST = "at_most"
AT_LEAST = "at_least"


class Figure(NamedTuple):
    """A measured figure; it has no bound if `bound` is None."""

    name: str
    unit: str
    value: float
    baseline: float | None = None
    bound: float | None = None
    sense: str = AT_MOST

    @property
    def holds(self):
        """Whether the value is within its bound, if there is one."""
        if self.bound is None:
            return True
        if self.sense == AT_MOST:
            return self.value <= self.bound
        return self.value >= self.bound


def report(figures):
    """Write and print the figures; return the exit status."""
    PATH.parent.mkdir(exist_ok=True)
    document = {"figures": [figure._asdict() for figure in figures]}
    PATH.write_text(json.dumps(document, indent=2), encoding="utf-8")
    for figure in figures:
        baseline = "" if figure.baseline is None else f" baseline {figure.baseline:.4g}"
        bound = "" if figure.bound is None else f" {figure.sense} {figure.bound:.4g}"
        verdict = "" if figure.holds else "  BROKEN"
        print(
            f"{figure.name:45} {figure.value:12.4g} {figure.unit}"
            f"{baseline}{bound}{verdict}"
        )
    return 0 if all(figure.holds for figure in figures) else 1
