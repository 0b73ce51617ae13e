"""Settings, logging, the roles' start-up and the command line."""

__version__ = "0.1.0"
