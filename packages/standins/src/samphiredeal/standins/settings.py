"""Settings files of the stand-ins."""

import json5


def read(path, required):
    """Return the settings of a file; raise `SystemExit` if a key is missing."""
    with open(path, encoding="utf-8") as file:
        document = json5.load(file)
    missing = [key for key in required if key not in document]
    if missing:
        raise SystemExit(f"{path}: missing {', '.join(missing)}")
    return document
