"""Benchmarks of the decisions, the request path and the cost of each role."""
