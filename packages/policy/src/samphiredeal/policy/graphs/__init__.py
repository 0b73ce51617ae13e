"""Placement of the tasks of job graphs: state and time in, actions out.

`state` holds jobs, units and workers; `records` converts them to and from stored
documents; `reports` applies agents' reports; `ordering`, `fitting`, `waiting` and
`reclaim` choose what runs where; `scheduler` combines them.
"""
