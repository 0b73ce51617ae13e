"""Serving job graphs on the users' platform.

`follower` keeps rows in memory, `operations` and `work` give them meaning,
`leadership` chooses the scheduler, `dispatcher` carries its decisions out and
`intake` answers callers. `node` joins them; none of them does I/O of its own.
"""
