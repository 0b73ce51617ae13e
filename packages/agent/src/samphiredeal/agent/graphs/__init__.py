"""Run the tasks of job graphs on the worker beside this agent.

`lease_authority` decides whether leases may be extended, `run_manager` applies
the scheduler's orders and polls the worker for its runs, and `node` exchanges
messages with the scheduler and reads and writes the agent's rows in the store.
"""
