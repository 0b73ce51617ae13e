"""Settings, logging, start-up of the roles, and the command line."""

__version__ = "0.1.0"
