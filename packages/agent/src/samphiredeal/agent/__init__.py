"""The agent process beside each upstream, which decides whether work may start."""
