"""A randomized soak: ``python -m samphiredeal.standins.soak SEED [SECONDS]``.

Runs the real programs beside stand-ins, hands in jobs and injects faults from
outside: processes killed, paused, stopped and started again, and connections to
the store and to workers delayed, silenced one way or both, and reset. Then lets
all be well and checks what callers and workers saw. Exit status 1 if a promise
was broken; the log of every process stays in the folder that is printed.
"""

import os
import random
import signal
import sys
import tempfile
import time

from samphiredeal.standins import proxy
from samphiredeal.standins.graph_cluster import GraphCluster, post
from samphiredeal.standins.launch import HOST, wait_for

WORKERS = 3
ENTRIES = 2
_SETTLE_S = 60
_JOB_EVERY_S = 0.8
_FAULT_EVERY_S = 1.5
_FAULT_S = (0.3, 4.0)
_CANCEL_SHARE = 0.15
# Done, without an answer, and unsettled: an entry that was paused carries a cancel out
# after its caller has given up.
_MAY_HAVE_CANCELLED = (200, 0, 504)
# Room on a stand-in worker, and what a task takes: never more than fit.
_ACCELERATORS = 4
_STEP = {"cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1500}


class SoakCluster(GraphCluster):
    """A system whose ways to the store and to workers lead over proxies."""

    def __init__(self, folder):
        super().__init__(folder)
        self.proxies = {}

    def proxied(self, name, target):
        """Start a proxy before a stand-in; return its port."""
        control = self.port()
        self.start_standin(
            "proxy",
            name,
            target_port=self._ports[target],
            control_port=control,
        )
        self.proxies[name] = control
        return self._ports[name]

    def set_fault(self, name, mode, delay_s=0.0):
        """Make a proxy misbehave, or behave."""
        url = f"http://{HOST}:{self.proxies[name]}/"
        post(url, {"mode": mode, "delay_s": delay_s})

    def _store_port(self, name):
        return self.proxied(f"store-{name}", "platform")

    def _worker_port(self, name):
        return self.proxied(f"way-{name}", name)


class Soak:
    """One run; `seed` decides all that is random in it."""

    def __init__(self, seed, folder):
        self._random = random.Random(seed)
        self._cluster = SoakCluster(folder)
        self._accepted = {}
        self._refused = set()
        self._cancelled = set()
        self._repairs = []
        self._stopped = set()
        self.faults = []

    def run(self, seconds):
        """Run for some seconds, settle, and return what was broken."""
        cluster = self._cluster
        try:
            self._start()
            end = time.monotonic() + seconds
            next_job = next_fault = 0.0
            while time.monotonic() < end:
                now = time.monotonic()
                if now >= next_job:
                    self._hand_in()
                    next_job = now + self._random.expovariate(1 / _JOB_EVERY_S)
                if now >= next_fault:
                    self._break_something()
                    next_fault = now + self._random.expovariate(1 / _FAULT_EVERY_S)
                self._repair(now)
                self._restart_ended()
                time.sleep(0.05)
            self._repair(float("inf"))
            return self._settle()
        finally:
            cluster.close()

    def _start(self):
        cluster = self._cluster
        cluster.start_standin("platform", "platform")
        cluster.configure()
        for number in range(ENTRIES):
            cluster.start_graph_entry(f"entry-{number}", f"zone-{number % 2}")
        for number in range(WORKERS):
            cluster.start_graph_worker(
                f"worker-{number}",
                f"zone-{number % 2}",
                f"r{number}",
                _ACCELERATORS,
            )
        cluster.wait_until_ready()

    # Load

    def _hand_in(self):
        job_id = f"{self._random.getrandbits(64):016x}"
        steps = [{**_STEP, "count": self._random.randint(1, 4)}]
        if self._random.random() < 0.3:
            steps.append({**_STEP, "count": 2, "after": [0]})
        seconds = round(self._random.uniform(0.3, 3.0), 1)
        document = {"spec": str(seconds), "steps": steps}
        entry = self._random.choice(self._cluster.entries)
        status = self._cluster.call(entry, "POST", f"/normal/{job_id}", document).status
        if status == 200:
            self._accepted[job_id] = sum(step["count"] for step in steps)
        elif status == 503:
            self._refused.add(job_id)
        if self._accepted and self._random.random() < _CANCEL_SHARE:
            victim = self._random.choice(list(self._accepted))
            status = self._cluster.call(entry, "DELETE", f"/normal/{victim}").status
            if status in _MAY_HAVE_CANCELLED:
                self._cancelled.add(victim)

    # Faults

    def _break_something(self):
        choice = self._random.choice(["kill", "pause", "stop", "store", "worker"])
        lasts_s = self._random.uniform(*_FAULT_S)
        name = self._process()
        if choice in ("store", "worker"):
            self._disturb(choice, lasts_s)
        elif name is not None:
            self._hit(choice, name, lasts_s)

    def _process(self):
        names = [*self._cluster.entries]
        names += [f"agent-worker-{number}" for number in range(WORKERS)]
        free = [name for name in names if name not in self._stopped]
        return self._random.choice(free) if free else None

    def _hit(self, choice, name, lasts_s):
        self.faults.append((choice, name, round(lasts_s, 2)))
        self._stopped.add(name)
        number = {"kill": signal.SIGKILL, "pause": signal.SIGSTOP}.get(
            choice, signal.SIGTERM
        )
        self._cluster.signal(name, number)

        def repair():
            if choice == "pause":
                self._cluster.signal(name, signal.SIGCONT)
            else:
                self._cluster.wait(name)
                self._cluster.start_again(name)
            self._stopped.discard(name)

        self._repairs.append((time.monotonic() + lasts_s, repair))

    def _disturb(self, choice, lasts_s):
        prefix = {"store": "store-", "worker": "way-"}[choice]
        names = [name for name in self._cluster.proxies if name.startswith(prefix)]
        count = self._random.randint(1, len(names))
        hit = self._random.sample(names, count)
        mode = self._random.choice(proxy.MODES[1:])
        delay_s = self._random.uniform(0.05, 0.4)
        self.faults.append((mode, hit, round(lasts_s, 2)))
        for name in hit:
            self._cluster.set_fault(name, mode, delay_s)

        def repair():
            for name in hit:
                self._cluster.set_fault(name, "pass")

        self._repairs.append((time.monotonic() + lasts_s, repair))

    def _restart_ended(self):
        """Start what has ended by itself again, as the platform does."""
        for name, process in list(self._cluster.processes.items()):
            ours = name in self._cluster.entries or name.startswith("agent-")
            if ours and name not in self._stopped and process.poll() is not None:
                self.faults.append(("ended by itself", name, 0))
                self._cluster.start_again(name)

    def _repair(self, now):
        due = [repair for at, repair in self._repairs if at <= now]
        self._repairs = [pair for pair in self._repairs if pair[0] > now]
        for repair in due:
            repair()

    # Promises

    def _settle(self):
        """Wait for all jobs to end; return the promises that were broken."""
        entry = self._cluster.entries[0]
        broken = []

        def ended(job_id):
            self._restart_ended()
            return self._state(entry, job_id) in self._ends(job_id)

        give_up_at = time.monotonic() + _SETTLE_S
        for job_id in self._accepted:
            left_s = max(1.0, give_up_at - time.monotonic())
            try:
                wait_for(lambda j=job_id: ended(j), left_s, job_id)
            except TimeoutError:
                broken.append(f"{job_id} is {self._state(entry, job_id)!r} at the end")
        history = [
            (number, event)
            for number in range(WORKERS)
            for event in self._cluster.history(f"worker-{number}")
        ]
        return broken + self._check(history)

    def _state(self, entry, job_id):
        reply = self._cluster.call(entry, "GET", f"/normal/{job_id}")
        return reply.document.get("state")

    def _ends(self, job_id):
        if job_id in self._cancelled:
            return ("cancelled", "completed")
        return ("completed",)

    def _check(self, history):
        """Return what the workers' starts and ends show to be broken."""
        broken, running, used = [], {}, {}
        for number, (at, kind, task, run, _how) in sorted(
            history, key=lambda one: (one[1][0], one[1][1] == "start")
        ):
            job_id = task.split(".")[0]
            places = running.setdefault(task, set())
            if kind == "start":
                if places:
                    broken.append(f"{task} run {run} at {at:.3f} beside {places}")
                if job_id in self._refused:
                    broken.append(f"{task} runs though its job was refused")
                places.add((number, run))
                used[number] = used.get(number, 0) + 1
                if used[number] > _ACCELERATORS:
                    broken.append(f"worker-{number} is overfull at {at:.3f}")
            elif (number, run) in places:
                places.discard((number, run))
                used[number] -= 1
        return broken


def main(seed, seconds=30.0, folder=None):
    """Run one soak; print what happened; return the exit status."""
    # Its processes are ended with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = folder or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(seed, folder)
    broken = soak.run(seconds)
    print(f"seed {seed}: {len(soak.faults)} faults, logs in {folder}")
    for line in broken:
        print(f"  BROKEN {line}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), *map(float, sys.argv[2:3])))
