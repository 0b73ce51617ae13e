"""Starts the program from a checkout: the libraries' sources and target/deps."""

import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(path) for path in sorted(_ROOT.glob("packages/*/src"))]

from samphiredeal.cli.main import main  # noqa: E402

sys.exit(main())
