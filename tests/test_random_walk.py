"""Random sequences of overlapping faults, with every invariant checked.

Guards against violations of the invariants of requests, zones, gangs and revisions
that need several kills, freezes, cuts, store outages and configuration changes to
overlap. Hypothesis draws the steps and shrinks a failing sequence.
"""

from builders import make_job, make_world
from hypothesis import given, settings
from hypothesis import strategies as st
from invariants import GangMonitor, check_requests, check_zone_starts
from test_config_in_force import RevisionMonitor

from samphiredeal.entry.configstore import Accepted

# A gang may run with part of its members while the scheduler and members are
# replaced one after another; each replacement may take the bound of a single one.
PARTIAL_BOUND_S = 40.0
ZONE_BOUND_S = 5.0

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["kill", "freeze", "cut", "cut_one_way", "store", "own_store"]
            + ["lose_answer", "zone", "keyed", "keyed", "job", "delay", "double"]
        ),
        st.integers(0, 7),
        st.integers(0, 7),
    ),
    min_size=3,
    max_size=14,
)


class Walk:
    """Executes the drawn steps in a world under load."""

    def __init__(self):
        self.world = make_world(entries=3, executors=3, workers=3)
        self.names = list(self.world.nodes)
        self.out_since = {}
        self.accepted_changes = []
        self.pending_changes = []
        RevisionMonitor(self.world)
        GangMonitor(self.world, PARTIAL_BOUND_S)

    def step(self, kind, first, second):
        name = self.names[first % len(self.names)]
        other = self.names[second % len(self.names)]
        getattr(self, kind)(name, other, first, second)

    def kill(self, name, other, first, second):
        world, node = self.world, self.world.nodes[name]
        node.kill(silently=second % 2 == 0)
        start = {"entry": world.entry, "exec": world.executor, "work": world.worker}
        restart = start[name.split("-")[0]]
        world.clock.callLater(1.0 + second, restart, name, node.zone)

    def freeze(self, name, other, first, second):
        clock = self.world.nodes[name].clock
        clock.freeze()
        self.world.clock.callLater(1.0 + 2 * second, clock.thaw)

    def cut(self, name, other, first, second):
        self.world.network.cut(name, other)
        self.world.clock.callLater(4.0 + second, self.world.network.heal)

    def cut_one_way(self, name, other, first, second):
        self.world.network.cut(name, other, both=False)
        self.world.clock.callLater(4.0 + second, self.world.network.heal)

    def store(self, name, other, first, second):
        self.world.store_down()
        self.world.clock.callLater(2.0 + 2 * second, self.world.store_down, False)

    def own_store(self, name, other, first, second):
        entry = f"entry-{first % 3}"
        self.world.store_down(entries=[entry])
        self.world.clock.callLater(8.0, self.world.store_down, False, [entry])

    def lose_answer(self, name, other, first, second):
        self.world.faults[f"entry-{first % 3}"].lose_answers += 1 + second % 3

    def delay(self, name, other, first, second):
        self.world.network.delay_s[name] = 0.2 * second

    def double(self, name, other, first, second):
        self.world.network.duplicate_probability = 0.5 if second % 2 else 0.0

    def job(self, name, other, first, second):
        holder = self.world.holder()
        if holder is not None:
            job = make_job(
                f"j{len(self.world.sent)}", members=8 + second, command="sleep 3"
            )
            self.world.sent.append(b"")
            holder.host.submit(job)

    def zone(self, name, other, first, second):
        entry = f"entry-{second % 3}"
        if self.world.nodes[entry].clock.dead or self.world.nodes[entry].clock.frozen:
            return
        zone = "abc"[first % 3]
        state = "out" if second % 2 else "in"
        answers = self.world.change(entry, "zone", zone, {"state": state})
        self.pending_changes.append((answers, zone, state))

    def keyed(self, name, other, first, second):
        body = b"keyed %d" % (first % 4)
        for number in range(1 + second % 2):
            self.send(number, body, f"k{first % 4}")

    def send(self, number, body, key=""):
        entry = f"entry-{number % 3}"
        node = self.world.nodes[entry]
        if not node.clock.dead and not node.clock.frozen:
            self.world.start_request(entry, body, key, deadline_s=4.0)

    def load(self, seconds):
        end = self.world.clock.seconds() + seconds
        while self.world.clock.seconds() < end:
            body = b"request %d" % len(self.world.sent)
            self.world.sent.append(body)
            self.send(len(self.world.sent), body)
            self.world.run(0.25)
            self.record_answered_changes()

    def record_answered_changes(self):
        """Record accepted zone changes and drop those that are answered."""
        for answers, zone, state in [c for c in self.pending_changes if c[0]]:
            if isinstance(answers[0], Accepted):
                self.record_change(zone, state, answers[0].change.revision)
        self.pending_changes = [c for c in self.pending_changes if not c[0]]

    def record_change(self, zone, state, revision):
        """Record the time at which a zone's change was accepted."""
        self.accepted_changes.append(
            (revision, zone, state, self.world.clock.seconds())
        )

    def check(self):
        check_requests(self.world)
        by_zone = {}
        for _revision, zone, state, at in sorted(self.accepted_changes):
            by_zone.setdefault(zone, []).append((state, at))
        for zone, spans in by_zone.items():
            spans.append(("in", float("inf")))
            for (state, at), (_next, next_at) in zip(spans, spans[1:], strict=False):
                # A pending change may have labelled the zone in again.
                unanswered = any(z == zone for _a, z, _s in self.pending_changes)
                if state == "out" and not unanswered:
                    check_zone_starts(
                        self.world, zone, at, next_at - ZONE_BOUND_S, ZONE_BOUND_S
                    )


@settings(max_examples=40, deadline=None, derandomize=True)
@given(STEPS)
def test_invariants_hold_over_faults(steps):
    walk = Walk()
    for kind, first, second in steps:
        walk.step(kind, first, second)
        walk.load(1.5)
        walk.check()
    walk.world.network.heal()
    walk.load(15.0)
    walk.check()
