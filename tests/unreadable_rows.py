"""Rows that a scheduler of an imagined later build has written beside this one.

`HiddenRows` replaces rows by bytes that this build cannot decode, and puts them back.
"""

import msgspec

from samphiredeal.entry.graphs import work
from samphiredeal.platform.table import Put
from samphiredeal.policy.graphs import records

# Valid JSON with fields of other types.
LATER = b'{"state":{"name":1},"units":{"0.0.0":{"run":"second"}},"number":[0]}'


class HiddenRows:
    """Rows of a world's table that are unreadable until `show`."""

    def __init__(self, world, keys):
        self._world = world
        self._values = {key: world.table.rows[key].value for key in keys}
        self._put(dict.fromkeys(keys, LATER))

    def show(self):
        """Put the rows back as they were."""
        self._put(self._values)

    def _put(self, values):
        self._world.table.write([], [Put(*item) for item in values.items()])


def take_over(world, keys, is_fresh=True):
    """Hide rows at the moment at which the scheduler dies; return the `HiddenRows`.

    With `is_fresh`, the other entries start anew, so that none has ever read the rows.
    """
    hidden = HiddenRows(world, keys)
    scheduler = world.scheduler()
    entries = [name for name in world.nodes if name.startswith("e")]
    world.kill(scheduler)
    if is_fresh:
        for name in entries:
            if name != scheduler:
                world.kill(name)
                world.restart(name)
    world.run_until(world.scheduler, 10.0)
    return hidden


def announce_unreadably(world, name):
    """Let an agent announce itself from now on in a form of a later build."""
    agent = world.nodes[name].process
    agent._rows = agent._rows._replace(announce_value=LATER)


def split_progress(world, job_id):
    """Divide the progress of a job into rows, as that of a large job is."""
    key = work.progress_key(job_id)
    whole = records.decode(world.table.rows[key].value, records.Progress)
    rows = {}
    for name, record in whole.units.items():
        occurrence, step, index = name.split(".")
        row = f"{occurrence}.{step}.{int(index) // 32}"
        rows.setdefault(row, {})[name] = record
    head = whole._replace(units={}, is_split=True)
    puts = [Put(key, records.encode(head))]
    for name, units in rows.items():
        row = records.encode(records.UnitRows(units))
        puts.append(Put(work.units_key(job_id, name), row))
    world.table.write([], puts)


def replace_epoch(world, holder="later"):
    """Put an epoch that this build reads, of an entry that it does not know."""
    known = world.table.rows[work.EPOCH_KEY].value
    number = msgspec.json.decode(known, type=work.EpochRecord).number + 1
    epoch = work.EpochRecord(number, holder, "n")
    world.table.write([], [Put(work.EPOCH_KEY, msgspec.json.encode(epoch))])
    return number
