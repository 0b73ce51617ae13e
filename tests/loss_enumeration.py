"""Plays of losses around the end of a task in a silent store, enumerated by machine.

A play is a workload, a length of the silence, and one to three losses: a target, an
effect and a moment each. Its name holds all of it, so that a name reproduces a play:

    one,short,0.2,scheduler:restart_in_silence:silent,worker:kill:silent

is a job of one task, a silence of 3 s, 0.2 s between losses of the same moment, and two
losses. `run_play` runs it in the in-memory world and returns what was broken, as
callers and workers see it. Some thousand plays by hand, from the root of the
repository, with the packages installed:

    PYTHONPATH=tests python tests/loss_enumeration.py --most 5000 --jobs 3 --seed 1
"""

import collections
import itertools
import multiprocessing
import random
from typing import NamedTuple

import defopt
import msgspec
from graph_world import check_invariants, make_graph_world, set_store_silent
from outside_view import Caller, OutsideView
from twisted.python import log

from samphiredeal.model import answers

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000}
TASK_S = 1.0
ENTRIES = ("e0", "e1", "e2")

# The entries are named by their role when the silence begins.
_ENTRY_TARGETS = ("scheduler", "holder1", "holder2")
# `vm` is the agent and the worker; `all` are all entries and agents; `all_vms` are
# these and all workers.
TARGETS = (*_ENTRY_TARGETS, "worker", "agent", "vm", "all", "all_vms")
EFFECTS = (
    "kill",
    "restart_in_silence",
    "restart_after",
    "pause",
    "cut_nodes",
    "cut_store",
)
# Before the end of the first task; between its end and the first time that it can be
# told; after that; at the return of the store; shortly after that.
MOMENTS = ("before", "ended", "silent", "return", "after")
SILENCES = {"short": 3.0, "long": 7.0}
GAPS_S = (0.0, 0.2)
WORKLOADS = ("one", "steps", "gang", "cancel_before", "cancel", "submit", "give_up")

# Times in seconds after the start of the first task.
_CANCEL_BEFORE_S = 0.2
_SILENT_S = 0.3
_MOMENTS_S = {"before": 0.6, "ended": TASK_S + 0.05, "silent": 1.8}
_CALL_S = 1.4
# After the return of the store.
_AFTER_S = 0.3
_RESTART_IN_SILENCE_S = 0.5
# After the loss, or after the return if that is later.
_RESTART_AFTER_S = 0.6
_HEAL_S = 3.0
# Long enough for a lease to expire, its task to start elsewhere and end, and for the
# jobs that follow.
_SETTLE_S = 26.0
_SETTLE_MORE_S = 25.0
_GIVE_UP_TRIES = 2

# What a target contains.
_PARTS = {
    "vm": {"worker", "agent"},
    "all": {*_ENTRY_TARGETS, "agent"},
    "all_vms": {*_ENTRY_TARGETS, "agent", "worker", "vm", "all"},
}


class Loss(NamedTuple):
    """An effect on a target at a moment, each by its name."""

    target: str
    effect: str
    moment: str


class Play(NamedTuple):
    """A workload, the name of the silence, seconds between losses, and the losses."""

    workload: str
    silence: str
    gap_s: float
    losses: tuple


def name_of(play):
    """Return the name from which a play can be run again."""
    losses = [":".join(loss) for loss in play.losses]
    return ",".join([play.workload, play.silence, f"{play.gap_s:g}", *losses])


def parse_play(name):
    """Return the play of a name.

    >>> name_of(parse_play("one,short,0.2,worker:kill:silent"))
    'one,short,0.2,worker:kill:silent'
    """
    workload, silence, gap_s, *losses = name.split(",")
    return Play(
        workload,
        silence,
        float(gap_s),
        tuple(Loss(*loss.split(":")) for loss in losses),
    )


# Which plays there are


def _is_sensible_loss(loss):
    target, effect, moment = loss
    if effect == "kill":
        return target not in ("all", "all_vms")
    if effect == "restart_in_silence":
        return moment in ("before", "ended", "silent")
    if effect == "pause":
        return moment != "after"
    if effect.startswith("cut"):
        # A worker is reached by its agent alone, and asks nobody.
        return target not in ("worker", "vm", "all_vms")
    return True


def losses():
    """Return all losses that make sense, in a fixed order."""
    product = itertools.product(TARGETS, EFFECTS, MOMENTS)
    return [loss for loss in map(Loss._make, product) if _is_sensible_loss(loss)]


def is_sensible(combination):
    """Return whether losses differ in effect from fewer losses, and leave an entry.

    The other entries have the same part, so the second is lost only beside the first.
    """
    targets = [loss.target for loss in combination]
    if len(set(targets)) < len(targets):
        return False
    if "holder2" in targets and "holder1" not in targets:
        return False
    if set(_ENTRY_TARGETS) <= {one.target for one in combination if one[1] == "kill"}:
        return False
    return not any(
        one.target in _PARTS.get(other.target, ()) and one[1:] == other[1:]
        for one, other in itertools.permutations(combination, 2)
    )


def _orders(combination):
    """Return the (gap in s, losses) in which a combination of losses can happen."""
    combination = sorted(combination, key=lambda loss: MOMENTS.index(loss.moment))
    yield 0.0, tuple(combination)
    groups = [
        list(group)
        for _m, group in itertools.groupby(combination, lambda loss: loss[2])
    ]
    if len(groups) < len(combination):
        for order in itertools.product(*map(itertools.permutations, groups)):
            yield 0.2, tuple(itertools.chain(*order))


def plays(count, workloads=WORKLOADS, silences=tuple(SILENCES)):
    """Yield the plays of `count` losses in a fixed order."""
    for combination in itertools.combinations(losses(), count):
        if is_sensible(combination):
            for gap_s, ordered in _orders(combination):
                for workload, silence in itertools.product(workloads, silences):
                    yield Play(workload, silence, gap_s, ordered)


def draw_plays(count, most, seed):
    """Return up to `most` plays of `count` losses, each drawn once by a seed."""
    rng, drawn, all_losses = random.Random(f"{seed}-{count}"), {}, losses()
    while len(drawn) < most:
        combination = rng.sample(all_losses, count)
        if is_sensible(combination):
            gap_s, ordered = rng.choice(list(_orders(combination)))
            workload, silence = rng.choice(WORKLOADS), rng.choice(list(SILENCES))
            drawn[Play(workload, silence, gap_s, ordered)] = None
    return list(drawn)


# One play


class _Stage:
    """The world of a play, the nodes of its targets and what is lost for good."""

    def __init__(self, world, worker, return_at):
        scheduler = world.scheduler()
        holders = [name for name in ENTRIES if name != scheduler]
        self.world = world
        self.return_at = return_at
        self.is_silent = False
        self._processes = {
            "scheduler": [scheduler],
            "holder1": holders[:1],
            "holder2": holders[1:],
            "worker": [],
            "agent": [worker],
            "vm": [worker],
            "all": list(world.nodes),
            "all_vms": list(world.nodes),
        }
        self._workers = {
            "worker": [worker],
            "vm": [worker],
            "all_vms": list(world.workers),
        }
        self._gone = set()

    def apply(self, loss):
        """Let a loss happen now, and plan its repair."""
        processes = self._processes[loss.target]
        workers = self._workers.get(loss.target, ())
        now = self.world.clock.seconds()
        if loss.effect in ("kill", "restart_in_silence", "restart_after"):
            is_power_loss = loss.target in ("vm", "all_vms")
            self._end(processes, workers, is_power_loss)
            if loss.effect == "kill":
                self._gone.update([*processes, *(f"worker {one}" for one in workers)])
                return
            wait_s = _RESTART_IN_SILENCE_S
            if loss.effect == "restart_after":
                wait_s = max(0.0, self.return_at - now) + _RESTART_AFTER_S
            self.world.clock.callLater(wait_s, self._restart, processes, workers)
            return
        begin = {
            "pause": self._pause,
            "cut_nodes": self._cut_nodes,
            "cut_store": self._cut_store,
        }[loss.effect]
        heal = begin(processes, workers)
        wait_s = max(0.0, self.return_at - now) + _HEAL_S
        self.world.clock.callLater(wait_s, heal)

    def _end(self, processes, workers, is_power_loss):
        """End processes and workers; a power loss closes no links."""
        for name in processes:
            if is_power_loss:
                self.world.nodes[name].clock.kill()
            elif not self.world.nodes[name].clock.dead:
                self.world.kill(name)
        for name in workers:
            self.world.lose_worker(name)

    def _restart(self, processes, workers):
        for name in workers:
            if f"worker {name}" not in self._gone:
                self.world.return_worker(name)
        for name in processes:
            if self.world.nodes[name].clock.dead and name not in self._gone:
                # The kernel of a VM that is back refuses the links of before.
                self.world.close_links_of(name)
                self.world.restart(name)

    def _pause(self, processes, workers):
        """Pause processes, and lose the answers of workers."""
        nodes = [self.world.nodes[name] for name in processes]
        paused = [node for node in nodes if not node.clock.frozen]
        lives = [(self.world.workers[name], name) for name in workers]
        for node in paused:
            node.clock.freeze()
        for worker, _name in lives:
            worker.faults.lose_polls = worker.faults.lose_answers = 10**6

        def heal():
            for worker, _name in lives:
                worker.faults.lose_polls = worker.faults.lose_answers = 0
            for node in paused:
                node.clock.thaw()

        return heal

    def _cut_nodes(self, processes, _workers):
        world = self.world
        pairs = {
            pair
            for one in processes
            for other in world.nodes
            if one != other
            for pair in ((one, other), (other, one))
        }
        world.network.cuts |= pairs
        return lambda: world.network.cuts.difference_update(pairs)

    def _cut_store(self, processes, _workers):
        for name in processes:
            self.world.cut_store(name)

        def heal():
            for name in processes:
                self.world.cut_store(name, down=False)

        return heal


def _steps_of(workload):
    if workload in ("steps", "cancel"):
        return [STEP, {**STEP, "after": [0]}]
    if workload == "gang":
        return [{**STEP, "count": 2, "gpu": 8, "gang": True}]
    return [STEP]


def run_play(name, watch=None):
    """Run the play of a name; return (invariant, line) for each violation.

    `watch(world, view)`, if any, is called at the end of the play.
    """
    errors = []

    def observe(event):
        if event.get("isError"):
            errors.append(("unhandled error", repr(event.get("failure"))))

    log.addObserver(observe)
    try:
        return _run(parse_play(name), watch) + errors
    finally:
        log.removeObserver(observe)


def _run(play, watch):
    world = make_graph_world()
    world.submit("e0", "a1", _steps_of(play.workload))
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    began_at = world.event_log.starts("a1.0.0.0")[0].at
    return_at = began_at + SILENCES[play.silence]
    stage = _Stage(world, world.event_log.starts("a1.0.0.0")[0].worker, return_at)
    hands_in = play.workload in ("submit", "give_up")
    view = OutsideView(world, ["a1", "b2"] if hands_in else ["a1"])

    def at(seconds, function, *args):
        wait_s = began_at + seconds - world.clock.seconds()
        world.clock.callLater(max(0.0, wait_s), function, *args)

    at(_SILENT_S, set_store_silent, world, True)
    at(SILENCES[play.silence], set_store_silent, world, False)
    _make_calls(play.workload, world, view, at)
    times = {
        **_MOMENTS_S,
        "return": SILENCES[play.silence],
        "after": SILENCES[play.silence] + _AFTER_S,
    }
    passed = collections.Counter()
    for loss in play.losses:
        at(times[loss.moment] + passed[loss.moment] * play.gap_s, stage.apply, loss)
        passed[loss.moment] += 1
    world.run(SILENCES[play.silence] + _SETTLE_S)
    if view.settled_violations():
        world.run(_SETTLE_MORE_S)
    if watch is not None:
        watch(world, view)
    return _violations(world, view)


def _make_calls(workload, world, view, at):
    """Plan the calls of a workload."""
    if workload in ("cancel_before", "cancel"):
        seconds = _CANCEL_BEFORE_S if workload == "cancel_before" else _CALL_S
        at(seconds, Caller, world, view, answers.CANCEL, "a1", b"", ENTRIES)
    elif workload in ("submit", "give_up"):
        document = {"spec": "payload", "steps": [STEP]}
        world.specs["b2"] = document
        body = msgspec.json.encode(document)
        most = _GIVE_UP_TRIES if workload == "give_up" else 60
        at(_CALL_S, Caller, world, view, answers.SUBMIT, "b2", body, ENTRIES, most)


def _violations(world, view):
    broken = [*view.named_violations(), *view.settled_violations()]
    try:
        check_invariants(world)
    except AssertionError as error:
        broken.append(("invariants of the world", str(error).splitlines()[0]))
    return broken


def main(
    *,
    most: int = 5000,
    jobs: int = 1,
    seed: int = 1,
    counts: str = "1,2,3",
    workloads: str = ",".join(WORKLOADS),
    silences: str = ",".join(SILENCES),
    first: int = 20,
):
    """Run plays and print how many were broken, by invariant, and the first names.

    :param most: most plays of each count of losses; if there are more, a sample
    :param jobs: processes
    :param seed: seed of the samples
    :param counts: counts of losses, separated by commas
    :param workloads: workloads of the plays that are listed in full
    :param silences: silences of the plays that are listed in full
    :param first: how many broken plays to print
    """
    total, broken = 0, []
    with multiprocessing.Pool(jobs) as pool:
        for count in map(int, counts.split(",")):
            names = _choose(
                count, most, seed, workloads.split(","), silences.split(",")
            )
            before = len(broken)
            results = pool.imap(run_play, names, chunksize=8)
            for name, violations in zip(names, results, strict=True):
                if violations:
                    broken.append({kind for kind, _line in violations})
                    if len(broken) <= first:
                        _print_play(name, violations)
            total += len(names)
            print(
                f"{count} losses: {len(names)} plays, {len(broken) - before} broken",
                flush=True,
            )
    print(f"{total} plays, {len(broken)} broken")
    kinds = collections.Counter(kind for kinds in broken for kind in kinds)
    for kind, number in kinds.most_common():
        print(f"  {kind}: {number}")


def _print_play(name, violations):
    """Print the name of a play and the first line of each broken invariant."""
    first_lines = {}
    for kind, line in violations:
        first_lines.setdefault(kind, line)
    print(name)
    for kind, line in first_lines.items():
        print(f"    {kind}: {line}", flush=True)


def _choose(count, most, seed, workloads, silences):
    """Return the names of all plays of `count` losses, or of a sample."""
    if count > 2:
        return [name_of(play) for play in draw_plays(count, most, seed)]
    names = [name_of(play) for play in plays(count, workloads, silences)]
    if len(names) > most:
        names = random.Random(f"{seed}-{count}").sample(names, most)
    return names


if __name__ == "__main__":
    defopt.run(main)
