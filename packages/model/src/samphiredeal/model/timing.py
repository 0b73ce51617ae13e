"""Times on which more than one process relies."""

# A start may rest on a configuration that was confirmed as current at most
# this long ago. Below the 5 s within which a change must be in force.
START_MAX_STALENESS_S = 4.0

# An agent extends leases for this long after its scheduler has answered one of
# its reports, or the store has shown that it is not evicted. Together with a
# lease it bridges the loss of all entries, or a cut, of 8 s.
LEASE_AUTHORITY_S = 3.0
# A worker's clock may run this much slow, which stretches its leases.
MAX_CLOCK_SLOWDOWN = 0.02
# Network, scheduling and rounding around a lease.
_LEASE_SLACK_S = 0.4


def lease_wait_s(lease_max_s):
    """Return how long after its last trust a worker surely runs nothing more."""
    return LEASE_AUTHORITY_S + lease_max_s / (1 - MAX_CLOCK_SLOWDOWN) + _LEASE_SLACK_S
