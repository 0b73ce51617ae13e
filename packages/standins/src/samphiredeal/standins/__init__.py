"""Stand-ins for the platform, an executor and a worker; tests and demo only."""
