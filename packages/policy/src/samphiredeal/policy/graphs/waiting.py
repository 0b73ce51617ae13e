"""When a unit waits although some room is free, and what for."""

from samphiredeal.policy.graphs import fitting, ordering

# What a unit waits for, as the log says it.
FOR_CAPACITY = "room"
FOR_PREFERRED_CAPACITY = "room where it runs at full speed"
FOR_URGENT_WORK = "room is kept for urgent work"

# Work that its account's guarantee pays for must begin within 2.7 s, stops
# included: it waits this long for room on one rack while others are free.
_COVERED_WAIT_MAX_S = 0.8
# With so little of the workers in use and room for this many of a unit, nothing
# may stand still for 3 s: it waits half of that for the place that suits it.
_IDLE_WAIT_MAX_S = 1.5
_IDLE_USED_SHARE = 0.5
_IDLE_CAPACITY_FACTOR = 2
# Work keeps room free for others only while it can start this share of its
# estimate later and still end in time: estimates are off by up to a half.
_HEADROOM_SLACK_SHARE = 0.3


def may_run_remotely(unit, workers, covered, far_factor, now):
    """Return whether a unit may be given places where it takes longer.

    Far from its data, or split over racks, it runs `far_factor` times as long
    and keeps its room from others for that time, so it first waits for as long
    as it would lose. `covered` says that a guarantee pays for it.
    """
    groups = fitting.preferred_groups(unit, workers)
    if unit.claim:
        names = [{one.name for one in group} for group in groups]
        return not any(unit.claim.keys() <= group for group in names)
    extra_s = (far_factor - 1) * unit.estimate_s
    limit_s = _COVERED_WAIT_MAX_S if covered else extra_s
    waited_s = now - unit.ready_since
    if not groups or waited_s > limit_s:
        return True
    return waited_s > _IDLE_WAIT_MAX_S and _are_idle(workers, unit)


def must_leave_headroom(unit, workers, headroom_share, now, context):
    """Return whether a unit leaves free room to urgent work to come.

    `kept_share` of the workers is kept free while the unit can still end in time.
    """
    if unit.job.urgent or unit.spec.lasting:
        return False
    if ordering.latest_start_s(unit, context) < _HEADROOM_SLACK_SHARE * unit.estimate_s:
        return False
    used, total = fitting.capacity_of(workers)
    used = used.plus(unit.demand.times(unit.count))
    if 1.0 - used.dominant_share(total) >= headroom_share:
        return False
    # A job of which nothing runs must not wait for long on an idle cluster.
    if unit.job.has_placements or now - unit.ready_since <= _IDLE_WAIT_MAX_S:
        return True
    return not _are_idle(workers, unit)


def _are_idle(workers, unit):
    """Return whether workers have room for the unit and as much again to spare."""
    copies = sum(fitting.copies_in(unit, one, one.free) for one in workers)
    if copies < _IDLE_CAPACITY_FACTOR * unit.count:
        return False
    used, total = fitting.capacity_of(workers)
    shares = [part / whole for part, whole in zip(used, total, strict=True) if whole]
    return min(shares, default=0.0) < _IDLE_USED_SHARE
