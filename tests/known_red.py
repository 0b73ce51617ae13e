"""Prints the entries of KNOWN-RED.txt: known faults that are not fixed yet."""

import pathlib

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def entries():
    """Return the entries: lines that are neither blank nor comments."""
    if not PATH.exists():
        return []
    lines = PATH.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def test_ids():
    """Return the ids of the tests that are known to fail."""
    return {entry.split(" | ")[0] for entry in entries()}


if __name__ == "__main__":
    print(f"known red: {len(entries())}")
    for entry in entries():
        print(f"  {entry}")
