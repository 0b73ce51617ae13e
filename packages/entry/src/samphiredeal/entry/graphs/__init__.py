"""Entry for job graphs.

`follower` keeps rows in memory, `operations` and `work` decode them, `leadership`
elects the scheduler, `dispatcher` carries out its decisions and `call_handler` answers
callers. `node` wires them together; tables and links are passed in.
"""
