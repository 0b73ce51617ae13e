"""Times on which more than one process relies."""

# A start may rest on a configuration that was confirmed as current at most
# this long ago. Below the 5 s within which a change must be in force.
START_MAX_STALENESS_S = 4.0
