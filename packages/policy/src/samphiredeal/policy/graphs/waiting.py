"""Decides when a unit waits although some capacity is free."""

from samphiredeal.policy.graphs import fitting, ordering

# What a unit waits for, as logged.
FOR_CAPACITY = "room"
FOR_PREFERRED_CAPACITY = "room where it runs at full speed"
FOR_URGENT_WORK = "room is kept for urgent work"
FOR_FASTER_WORKERS = "faster workers that have not reported yet"

# Work within its account's guarantee must start within 2.7 s, preemption included. It
# waits this long for preferred capacity while other capacity is free.
_COVERED_WAIT_MAX_S = 0.8
# With less than this share of the workers in use and capacity for this many times the
# unit, nothing may wait for 3 s; a unit waits half of that for a better place.
_IDLE_WAIT_MAX_S = 1.5
_IDLE_USED_SHARE = 0.5
_IDLE_CAPACITY_FACTOR = 2
# Work leaves capacity free only while it can start this share of its estimate later
# and still end in time; estimates are wrong by up to a half.
_HEADROOM_SLACK_SHARE = 0.3
# Within this time after a scheduler's first report all workers that run have reported.
_FIRST_REPORTS_S = 0.4


def may_run_remotely(unit, workers, covered, far_factor, now):
    """Return whether a unit may be placed where it takes longer.

    Away from its data, or split over racks, it runs `far_factor` times as long and
    occupies its capacity for that time, so it first waits for as long as it would
    lose. `covered` is whether it is within a guarantee.
    """
    groups = fitting.preferred_groups(unit, workers)
    if unit.claim:
        names = [{one.name for one in group} for group in groups]
        return not any(unit.claim.keys() <= group for group in names)
    extra_s = (far_factor - 1) * unit.expected_s
    limit_s = _COVERED_WAIT_MAX_S if covered else extra_s
    waited_s = now - unit.ready_since
    if not groups or waited_s > limit_s:
        return True
    return waited_s > _IDLE_WAIT_MAX_S and _are_idle(workers, unit)


def should_await_reports(unit, places, workers, since_first_report_s):
    """Return whether a unit gains by waiting for workers that have not reported yet.

    `workers` are all of this term's. Those that come back from a loss of all VMs report
    within some tenths of a second, in any order. A unit waits for faster ones if its
    places would cost it more time than that.
    """
    if since_first_report_s >= _FIRST_REPORTS_S:
        return False
    slowest = min(workers[name].speed for name in places)
    speeds = [one.speed for one in workers.values() if not one.service]
    fastest = max(speeds, default=slowest)
    return unit.expected_s * (1 / slowest - 1 / fastest) > _FIRST_REPORTS_S


def has_slack(unit, context):
    """Return whether a unit can leave the best capacity to urgent work."""
    if unit.job.urgent or unit.spec.lasting:
        return False
    slack_s = _HEADROOM_SLACK_SHARE * unit.expected_s
    return ordering.latest_start_s(unit, context) >= slack_s


def must_leave_headroom(unit, workers, headroom_share, now, context):
    """Return whether a unit must wait to leave headroom for future urgent work.

    `headroom_share` of the capacity is kept free while the unit can still end in time.
    """
    if not has_slack(unit, context):
        return False
    used, total = fitting.capacity_of(workers)
    used = used.plus(unit.demand.times(unit.count))
    if 1.0 - used.dominant_share(total) >= headroom_share:
        return False
    # A job without any run must not wait for long on an idle cluster.
    if unit.job.has_placements or now - unit.ready_since <= _IDLE_WAIT_MAX_S:
        return True
    return not _are_idle(workers, unit)


def _are_idle(workers, unit):
    """Return whether the workers are mostly idle and could hold the unit twice."""
    copies = sum(fitting.copies_in(unit, one, one.free) for one in workers)
    if copies < _IDLE_CAPACITY_FACTOR * unit.count:
        return False
    used, total = fitting.capacity_of(workers)
    shares = [part / whole for part, whole in zip(used, total, strict=True) if whole]
    return min(shares, default=0.0) < _IDLE_USED_SHARE
