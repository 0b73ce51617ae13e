"""Stand-ins for the platform, and a small deployment of the real programs."""
