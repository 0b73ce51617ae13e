"""Stand-ins for the platform, executors and workers, for tests and demos only."""
