"""Earlier landings of this project, built from the history of its own repository."""

import io
import os
import pathlib
import shutil
import subprocess
import sys
import tarfile
import tempfile

# The last commits of the landings before this one, newest first. Whoever lands adds
# the commit that was landed before.
LANDINGS = ("be1a70d", "ae33cb2", "e35a468")
_ROOT = pathlib.Path(__file__).parents[5]
_BUILD = _ROOT / "build" / "landings"
_MAIN_MODULE = "samphiredeal.cli.main"


class LandingMissing(RuntimeError):
    """A landing cannot be built; the message says why."""


def build(revision=LANDINGS[0], root=_ROOT, folder=_BUILD):
    """Return the command, as a tuple, that runs the sources of a landing.

    The sources are taken from the repository in `root` into `folder`, once. They run
    on this Python with its installed libraries.
    """
    tree = folder / revision
    if not tree.exists():
        _extract(revision, root, tree)
    sources = sorted(str(path) for path in tree.glob("packages/*/src"))
    paths = os.pathsep.join(sources)
    command = ("env", f"PYTHONPATH={paths}", sys.executable, "-m", _MAIN_MODULE)
    _check_source(command, revision, tree)
    return command


def _extract(revision, root, tree):
    archived = subprocess.run(
        ["git", "-C", str(root), "archive", revision, "packages"], capture_output=True
    )
    if archived.returncode:
        raise LandingMissing(
            f"landing {revision} is not in the history of {root}, which has to be a "
            f"full clone: {archived.stderr.decode(errors='replace').strip()}"
        )
    tree.parent.mkdir(parents=True, exist_ok=True)
    unpacked = tempfile.mkdtemp(prefix=f"{revision}-", dir=tree.parent)
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(unpacked, filter="data")
    try:
        os.rename(unpacked, tree)
    except OSError:
        # Another process was first.
        shutil.rmtree(unpacked)


def _check_source(command, revision, tree):
    """Raise `LandingMissing` if a command runs other sources than those in a tree."""
    code = f"import {_MAIN_MODULE} as main; print(main.__file__)"
    asked = subprocess.run(
        [*command[:3], "-c", code], capture_output=True, text=True, cwd=tree
    )
    source = asked.stdout.strip()
    if asked.returncode or not source.startswith(str(tree)):
        raise LandingMissing(
            f"landing {revision} runs {source or 'nothing'} instead of the sources in "
            f"{tree}: {asked.stderr.strip()[-300:]}"
        )
