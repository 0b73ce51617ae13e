"""Deciding where the tasks of job graphs run: state and time in, actions out.

`state` holds jobs, units and workers; `records` turns them into stored
documents and back; `reports` takes in what agents say; `ordering`, `fitting`
and `reclaim` choose; `scheduler` joins them.
"""
