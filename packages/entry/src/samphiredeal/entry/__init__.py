"""The entry: request routing, claims, configuration and the scheduler's host."""
