"""Running the tasks of job graphs on the worker beside this agent.

`lifeline` decides whether leases may be extended, `keeper` carries orders out
and watches the worker's runs, `node` speaks with the scheduler and the store.
"""
