"""Interactive requests during outages, zone changes, overload and replacements.

Guards against requests that are refused or left in doubt without need, goodput
below 90% of capacity at ten times the load, and retries that raise executions
above 1.1 times the requests.
"""

from builders import make_world
from invariants import check_requests, check_zone_starts

from samphiredeal.model import verdict

OVERLOAD_FACTOR = 10
GOODPUT_SHARE = 0.9
RETRY_FACTOR = 1.1


def send_requests(world, seconds, every_s, klass="normal", keyed=False, deadline_s=3.0):
    """Send a request through each live entry at each interval."""
    end = world.clock.seconds() + seconds
    while world.clock.seconds() < end:
        for entry in world.entries():
            body = b"request %d" % len(world.sent)
            key = f"k{len(world.sent)}" if keyed else ""
            world.sent.append(body)
            world.start_request(
                entry.identity.name, body, key, klass=klass, deadline_s=deadline_s
            )
        world.run(every_s)


def count_verdicts(world, since=0):
    """Return the number of outcomes per verdict."""
    counts = {verdict.RAN: 0, verdict.NOT_RUN: 0, verdict.MAY_HAVE_RUN: 0}
    for answered in world.answered[since:]:
        counts[answered.outcome.verdict] += 1
    return counts


def test_ten_minutes_without_the_store():
    """Repeatable requests are answered; keyed ones do not run without the store."""
    world = make_world()
    world.store_down()
    send_requests(world, 600.0, 5.0)
    world.run(5.0)
    assert count_verdicts(world) == {
        "ran": len(world.sent),
        "not-run": 0,
        "may-have-run": 0,
    }
    since = len(world.answered)
    runs = len(world.runs)
    send_requests(world, 10.0, 1.0, keyed=True)
    world.run(5.0)
    assert count_verdicts(world, since)["ran"] == 0
    assert len(world.runs) == runs, "a keyed request ran without its claim"
    world.store_down(False)
    world.run(3.0)
    since = len(world.answered)
    send_requests(world, 5.0, 1.0, keyed=True)
    world.run(5.0)
    recovered = count_verdicts(world, since)
    assert recovered == {
        "ran": len(world.answered) - since,
        "not-run": 0,
        "may-have-run": 0,
    }
    check_requests(world)


def test_slow_store_fails_no_repeatable_request():
    world = make_world()
    for faults in world.faults.values():
        faults.delay_s = 5.0
    world.run(5.0)
    for _ in range(10):
        send_requests(world, 1.0, 0.5)
        send_requests(world, 0.5, 0.5, keyed=True)
    world.run(15.0)
    repeatable = [a for a in world.answered if not a.key]
    ran = sum(a.outcome.verdict == verdict.RAN for a in repeatable)
    assert ran == len(repeatable)
    check_requests(world)


def test_zone_out_and_back_in():
    world = make_world()
    send_requests(world, 5.0, 0.2)
    world.change_and_wait("entry-0", "zone", "a", {"state": "out"})
    out_at = world.clock.seconds()
    send_requests(world, 20.0, 0.2)
    back_at = world.clock.seconds()
    world.change_and_wait("entry-0", "zone", "a", {"state": "in"})
    send_requests(world, 10.0, 0.2)
    world.run(5.0)
    check_zone_starts(world, "a", out_at, back_at, 5.0)
    check_requests(world)
    assert count_verdicts(world) == {
        "ran": len(world.sent),
        "not-run": 0,
        "may-have-run": 0,
    }
    returned = [run for run in world.runs if run.zone == "a" and run.at > back_at + 5]
    assert returned, "the zone is used again"


def test_overload_keeps_goodput():
    """Ten times the capacity for 20 s keeps goodput, with urgent requests first."""
    world = make_world(executors=3, slots=4)
    capacity_per_s = 12 / world.service_s
    interval_s = 0.05
    per_entry = round(OVERLOAD_FACTOR * capacity_per_s * interval_s / 3 / 2)
    started_at = world.clock.seconds()
    urgent = set()
    for _ in range(round(20.0 / interval_s)):
        for entry in world.entries():
            for klass in ("urgent", "normal"):
                for _ in range(per_entry):
                    body = b"request %d" % len(world.sent)
                    world.sent.append(body)
                    if klass == "urgent":
                        urgent.add(body)
                    world.start_request(
                        entry.identity.name, body, klass=klass, deadline_s=1.0
                    )
        world.run(interval_s)
    ended_at = world.clock.seconds()
    world.run(5.0)
    check_requests(world)
    completed = [
        a
        for a in world.answered
        if a.outcome.verdict == verdict.RAN and started_at <= a.at <= ended_at
    ]
    goodput = len(completed) / (ended_at - started_at) / capacity_per_s
    assert goodput >= GOODPUT_SHARE, f"goodput is {goodput:.2f} of capacity"
    counts = count_verdicts(world)
    assert counts["may-have-run"] == 0
    assert sum(counts.values()) == len(world.sent)
    share_urgent = sum(a.body in urgent for a in completed) / len(completed)
    assert share_urgent > 0.9, f"urgent share of goodput is {share_urgent:.2f}"
    check_shares_of_entries(world, completed)
    since = len(world.answered)
    send_requests(world, 2.0, 0.2)
    world.run(3.0)
    recovered = count_verdicts(world, since)
    assert recovered["ran"] == len(world.answered) - since, "recovered within seconds"


def check_shares_of_entries(world, completed):
    """Check that callers of one entry do not starve those of another."""
    by_entry = dict.fromkeys((0, 1, 2), 0)
    for answered in completed:
        number = int(answered.body.split()[1])
        by_entry[number // 20 % 3] += 1
    fair = len(completed) / 3
    assert min(by_entry.values()) > fair / 2, f"answers by entry: {by_entry}"


def test_failing_upstreams_do_not_multiply_load():
    """Upstreams that fail after the start get at most 1.1 executions a request."""
    world = make_world()
    world._execute = None
    for number in range(3):
        handler = world.nodes[f"exec-{number}"].process._requests
        handler._run = _failing(world, f"exec-{number}")
    send_requests(world, 60.0, 0.2)
    world.run(5.0)
    assert len(world.runs) <= RETRY_FACTOR * len(world.sent) + 3
    check_requests(world)


def _failing(world, name):
    from world import Run

    async def run(body, budget_s):
        world.runs.append(Run(body, name, "", world.clock.seconds()))
        raise RuntimeError("the upstream failed")

    return run


def test_everything_is_replaced_under_load():
    """Draining and replacing each entry and agent in turn loses no request."""
    from test_planned_stop import drain

    world = make_world()
    names = [f"entry-{n}" for n in range(3)] + [f"exec-{n}" for n in range(3)]
    for name in names:
        ended = drain(world, name)
        while not ended:
            _send_through_others(world, name, 0.5)
        zone = world.nodes[name].zone
        world.nodes[name].kill()
        start = world.entry if name.startswith("entry") else world.executor
        start(name, zone)
        _send_through_others(world, name, 3.0)
    world.run(10.0)
    check_requests(world)
    counts = count_verdicts(world)
    assert counts == {"ran": len(world.sent), "not-run": 0, "may-have-run": 0}
    repeated = len(world.runs) - len(world.sent)
    assert repeated == 0


def _send_through_others(world, name, seconds):
    """Send requests through the other ready entries, as a load balancer does."""
    end = world.clock.seconds() + seconds
    while world.clock.seconds() < end:
        for entry in world.entries():
            if entry.identity.name != name and entry.ready:
                number = len(world.sent)
                body = b"request %d" % number
                world.sent.append(body)
                key = f"k{number}" if number % 2 else ""
                world.start_request(entry.identity.name, body, key)
        world.run(0.25)
