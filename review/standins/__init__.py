"""Stand-ins for the platform, executors and clients, for the review's scripts.

They speak what the users' PROTOCOL page says and need the standard library alone.
"""
