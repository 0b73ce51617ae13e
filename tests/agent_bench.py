"""A run manager beside a simulated worker, on a paused clock."""

from graph_builders import make_facts
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from samphiredeal.agent.graphs.lease_authority import LeaseAuthority
from samphiredeal.agent.graphs.run_manager import RunManager
from samphiredeal.model.runs import Orders, RunId, StartOrder
from samphiredeal.platform.memory_worker import MemoryWorker, Work

LEASE_S = 6.0
TASK = "a1.0.0.0"


class AgentBench:
    """A run manager and its worker on a paused clock.

    Its authority to extend leases is renewed while `renew_authority` is set.
    """

    def __init__(self, seconds=20.0, lease_s=LEASE_S):
        self.clock = Clock()
        self.events = []
        self.worker = MemoryWorker(
            self.clock,
            make_facts(),
            lambda task: Work(seconds, checkpoint_every_s=1.0),
            lease_max_s=lease_s,
            watch=lambda *event: self.events.append((event[0], event[2], event[3])),
        )
        self.lease_s = lease_s
        self.authority = LeaseAuthority(self.clock)
        self.renew_authority = True
        self.number = 0
        self.run_manager = None
        self.restart_agent()
        self.run_manager.record_heartbeat(self.worker.facts, 0)
        self.run(0.5)

    def restart_agent(self):
        """Replace the run manager by one that knows nothing of the earlier one."""
        if self.run_manager is not None:
            self.run_manager.stop()
        self.run_manager = RunManager(
            self.clock, self.worker, self.authority, self.lease_s, lambda: None
        )
        ensureDeferred(self.run_manager.poll_worker())

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            if self.renew_authority:
                self.authority.record_not_evicted(self.clock.seconds())
            self.clock.advance(0.05)
        return self

    def order(self, starts=(), stops=(), **fields):
        self.number += 1
        self.authority.observe_epoch(1)
        life = fields.pop("life", self.worker.facts.life)
        starts = tuple(StartOrder(TASK, run, "payload") for run in starts)
        stops = tuple(RunId(TASK, run) for run in stops)
        orders = Orders(1, self.number, life, starts=starts, stops=stops, **fields)
        self.run_manager.apply_orders(orders)
        return self

    def starts(self):
        return [run for kind, _task, run in self.events if kind == "start"]

    def heartbeat(self, **fields):
        """Deliver a heartbeat of the worker, with these fields changed."""
        facts = self.worker.facts._replace(**fields)
        self.run_manager.record_heartbeat(facts, self.number)
        return self

    def begin_life(self, **fields):
        """End the worker's life, and begin another one with these facts changed."""
        facts = self.worker.facts._replace(**fields)
        self.worker.crash()
        self.worker.facts = facts
        return self

    def rename_worker(self, worker_id):
        """Change the worker's id; its runs go on."""
        self.worker.facts = self.worker.facts._replace(id=worker_id)
        return self

    def refused(self):
        return {one.run: one.reason for one in self.run_manager.report().refused}
