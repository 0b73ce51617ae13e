"""The process beside each upstream: the last word on whether work may start."""
