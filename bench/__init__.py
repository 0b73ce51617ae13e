"""Benchmarks of decisions, the request path and the resource use of each role."""
