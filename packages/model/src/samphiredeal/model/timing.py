"""Durations on which several processes rely."""

# A start may use a configuration that was confirmed as current at most this long
# ago. Shorter than the 5 s within which a change must be in force.
START_MAX_STALENESS_S = 4.0

# An agent may extend leases for this long after its scheduler answered one of its
# reports, or the store showed that it is not evicted. Together with a lease this
# covers a failure of all entries, or a network partition, of 8 s.
LEASE_AUTHORITY_S = 3.0
# A worker's clock may run slow by this fraction, which lengthens its leases.
MAX_CLOCK_SLOWDOWN = 0.02
# Allowance for network delay, process scheduling and rounding.
_LEASE_MARGIN_S = 0.4


def lease_expiry_s(lease_max_s):
    """Return the time after which a worker's lease has certainly expired.

    It counts from the sending of the last call that may extend the lease.
    """
    return lease_max_s / (1 - MAX_CLOCK_SLOWDOWN) + _LEASE_MARGIN_S


def lease_wait_s(lease_max_s):
    """Return the time after which a worker certainly runs nothing any more.

    It counts from the last time that the authority to extend leases was renewed.
    """
    return LEASE_AUTHORITY_S + lease_expiry_s(lease_max_s)
