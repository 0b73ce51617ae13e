"""Runs one case: ``case.main(__file__, play, is_disturbed)``.

`play(deployment, trouble)` is a coroutine function that returns a list of texts, one
for each way in which the rule was broken.
"""

import asyncio
import pathlib
import signal
import sys
import traceback

from .deployment import Deployment


def main(path, play, is_disturbed, **options):
    """Play the case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = pathlib.Path(path).resolve().parent / "record.txt"
    sys.exit(asyncio.run(_run(record, play, is_disturbed, options)))


async def _run(record, play, trouble, options):
    # If the script is stopped, its processes are ended all the same.
    stop = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
    deployment = Deployment(**options)
    lines = [f"TROUBLE={int(trouble)}"]
    try:
        async with asyncio.timeout(110):
            await deployment.start()
            broken = await play(deployment, trouble)
        lines += [f"BROKEN: {one}" for one in broken] or ["the rule held"]
        status = 1 if broken else 0
    except (Exception, asyncio.CancelledError):
        lines.append("the case could not run: " + traceback.format_exc())
        status = 2
    finally:
        deployment.write_record(record, lines)
        await deployment.close()
    print("\n".join(lines[1:]))
    return status
