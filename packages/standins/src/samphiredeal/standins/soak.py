"""A randomized soak test: ``python -m samphiredeal.standins.soak SEED [SECONDS]``.

Runs the real programs beside stand-ins, submits jobs and injects faults from outside:
processes are killed, paused, stopped and restarted, and connections to the store and
to workers are delayed, blocked in one or both directions, and reset. Another writer
leaves malformed rows in the store and sends malformed heartbeats and frames. Then
removes all faults and checks invariants from the job states and the workers' histories.
The exit status is 1 if an invariant was violated; the logs of all processes stay in the
folder that is printed.
"""

import base64
import contextlib
import os
import random
import signal
import socket
import sys
import tempfile
import time

from samphiredeal.standins import proxy
from samphiredeal.standins.graph_cluster import GraphCluster, post
from samphiredeal.standins.launch import HOST, wait_for

WORKERS = 3
ENTRIES = 2
_COMPLETION_TIMEOUT_S = 60
_MEAN_JOB_INTERVAL_S = 0.8
_MEAN_FAULT_INTERVAL_S = 1.5
_FAULT_DURATION_S = (0.3, 4.0)
_CANCEL_PROBABILITY = 0.15
_MEAN_MALFORMED_DATA_INTERVAL_S = 1.0
_CONNECT_TIMEOUT_S = 0.5
_DEEP = b"[" * 50_000 + b"]" * 50_000
_MALFORMED_VALUES = (
    _DEEP,
    b'["127.0.0.1:99999","zone-0"]',
    b'["127.0.0.1:-1","zone-0"]',
    b'["nowhere","zone-0"]',
    b"[1e308,1e308]",
    b"[123456789012345678901234567890,0]",
    b'{"capacity":{"gpu":1e308},"state":"ready","service":"desk","zone":"a"}',
    b"{}",
    b"\xff\xfe",
    b"",
)
_MALFORMED_PREFIXES = ("worker/", "entry/", "job/", "progress/", "cancel/", "other/")
# Success, no response, and outcome unknown: an entry that was paused applies a cancel
# after its caller has timed out.
_MAY_HAVE_CANCELLED = (200, 0, 504)
# Capacity of a stand-in worker and requirements of a task. A worker never runs more
# tasks than fit.
_ACCELERATORS = 4
_STEP = {"cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1500}


class SoakCluster(GraphCluster):
    """A cluster that connects to the store and to workers through proxies."""

    def __init__(self, folder):
        super().__init__(folder)
        self.proxies = {}

    def start_proxy(self, name, target):
        """Start a proxy in front of a stand-in; return its port."""
        control = self.new_port()
        self.start_standin(
            "proxy",
            name,
            target_port=self._ports[target],
            control_port=control,
        )
        self.proxies[name] = control
        return self._ports[name]

    def put_row(self, key, value):
        """Write a row into the system's table, as another writer."""
        location = {"table": "samphiredeal", "part": "", "key": key}
        put = {**location, "value": base64.b64encode(value).decode()}
        body = {"expected": [], "puts": [put], "remove": []}
        post(self.url_of("platform") + "/api/rows-tx", body)

    def send_heartbeat(self, agent, worker_id, body):
        """Send the bytes of a heartbeat to an agent; its answer doesn't matter."""
        head = f"POST /api/Instances.Heartbeat/{worker_id} HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        address = self.settings_of(agent)["listen-addresses"]["control"]
        _send(int(address.rpartition(":")[2]), head.encode() + body)

    def send_bytes(self, name, data):
        """Send bytes to the address at which a process accepts links."""
        _send(self.settings_of(name)["internal-ports"][0], data)

    def set_fault(self, name, mode, delay_s=0.0):
        """Set the mode of a proxy; ``pass`` removes the fault."""
        url = f"http://{HOST}:{self.proxies[name]}/"
        post(url, {"mode": mode, "delay_s": delay_s})

    def _store_port(self, name):
        return self.start_proxy(f"store-{name}", "platform")

    def _worker_port(self, name):
        return self.start_proxy(f"way-{name}", name)


def _send(port, data):
    """Send bytes to a process, which may be down or paused."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection((HOST, port), _CONNECT_TIMEOUT_S) as connection,
    ):
        connection.sendall(data)


class Soak:
    """One run; `seed` determines its random choices."""

    def __init__(self, seed, folder):
        self._random = random.Random(seed)
        # Malformed data must not change the other choices of a seed.
        self._malformed_random = random.Random(f"odd data {seed}")
        self._cluster = SoakCluster(folder)
        self._accepted = {}
        self._refused = set()
        self._cancelled = set()
        self._pending_repairs = []
        self._faulty_processes = set()
        self._ended_by_themselves = []
        self.faults = []

    def run(self, seconds):
        """Inject faults for a while; then return the violations of invariants."""
        cluster = self._cluster
        try:
            self._start()
            end_at = time.monotonic() + seconds
            next_job = next_fault = next_malformed_data = 0.0
            while time.monotonic() < end_at:
                now = time.monotonic()
                if now >= next_job:
                    self._submit_job()
                    next_job = now + self._random.expovariate(1 / _MEAN_JOB_INTERVAL_S)
                if now >= next_fault:
                    self._inject_fault()
                    next_fault = now + self._random.expovariate(
                        1 / _MEAN_FAULT_INTERVAL_S
                    )
                if now >= next_malformed_data:
                    self._leave_malformed_data()
                    next_malformed_data = now + self._malformed_random.expovariate(
                        1 / _MEAN_MALFORMED_DATA_INTERVAL_S
                    )
                self._run_due_repairs(now)
                self._restart_exited()
                time.sleep(0.05)
            self._run_due_repairs(float("inf"))
            return self._find_violations()
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

    def _submit_job(self):
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
        if self._accepted and self._random.random() < _CANCEL_PROBABILITY:
            victim = self._random.choice(list(self._accepted))
            status = self._cluster.call(entry, "DELETE", f"/normal/{victim}").status
            if status in _MAY_HAVE_CANCELLED:
                self._cancelled.add(victim)

    # Faults

    def _inject_fault(self):
        choice = self._random.choice(["kill", "pause", "stop", "store", "worker"])
        duration_s = self._random.uniform(*_FAULT_DURATION_S)
        name = self._choose_process()
        if choice in ("store", "worker"):
            self._set_proxy_faults(choice, duration_s)
        elif name is not None:
            self._signal_process(choice, name, duration_s)

    def _choose_process(self):
        names = [*self._cluster.entries]
        names += [f"agent-worker-{number}" for number in range(WORKERS)]
        candidates = [name for name in names if name not in self._faulty_processes]
        return self._random.choice(candidates) if candidates else None

    def _signal_process(self, choice, name, duration_s):
        self.faults.append((choice, name, round(duration_s, 2)))
        self._faulty_processes.add(name)
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
            self._faulty_processes.discard(name)

        self._pending_repairs.append((time.monotonic() + duration_s, repair))

    def _set_proxy_faults(self, choice, duration_s):
        prefix = {"store": "store-", "worker": "way-"}[choice]
        names = [name for name in self._cluster.proxies if name.startswith(prefix)]
        count = self._random.randint(1, len(names))
        chosen = self._random.sample(names, count)
        mode = self._random.choice(proxy.MODES[1:])
        delay_s = self._random.uniform(0.05, 0.4)
        self.faults.append((mode, chosen, round(duration_s, 2)))
        for name in chosen:
            self._cluster.set_fault(name, mode, delay_s)

        def repair():
            for name in chosen:
                self._cluster.set_fault(name, "pass")

        self._pending_repairs.append((time.monotonic() + duration_s, repair))

    def _leave_malformed_data(self):
        """Write a malformed row, and send a malformed heartbeat and a frame."""
        chosen = self._malformed_random
        value = chosen.choice(_MALFORMED_VALUES)
        name = f"odd-{chosen.randrange(20)}"
        self._cluster.put_row(chosen.choice(_MALFORMED_PREFIXES) + name, value)
        agent = f"agent-worker-{chosen.randrange(WORKERS)}"
        self._cluster.send_heartbeat(agent, name, value)
        target = chosen.choice([*self._cluster.entries, agent])
        self._cluster.send_bytes(target, len(value).to_bytes(4, "big") + value)

    def _restart_exited(self):
        """Restart processes that exited without a fault, as the platform does."""
        for name, process in list(self._cluster.processes.items()):
            is_role = name in self._cluster.entries or name.startswith("agent-")
            if (
                is_role
                and name not in self._faulty_processes
                and process.poll() is not None
            ):
                self.faults.append(("ended by itself", name, 0))
                self._ended_by_themselves.append(name)
                self._cluster.start_again(name)

    def _run_due_repairs(self, now):
        due = [repair for at, repair in self._pending_repairs if at <= now]
        self._pending_repairs = [
            pair for pair in self._pending_repairs if pair[0] > now
        ]
        for repair in due:
            repair()

    # Invariants

    def _find_violations(self):
        """Wait for all jobs to end; return the violations of invariants."""
        entry = self._cluster.entries[0]
        violations = []

        def ended(job_id):
            self._restart_exited()
            return self._state(entry, job_id) in self._expected_states(job_id)

        deadline = time.monotonic() + _COMPLETION_TIMEOUT_S
        for job_id in self._accepted:
            left_s = max(1.0, deadline - time.monotonic())
            try:
                wait_for(lambda j=job_id: ended(j), left_s, job_id)
            except TimeoutError:
                violations.append(
                    f"{job_id} is {self._state(entry, job_id)!r} at the end"
                )
        history = [
            (number, event)
            for number in range(WORKERS)
            for event in self._cluster.history(f"worker-{number}")
        ]
        violations += [f"{name} ended by itself" for name in self._ended_by_themselves]
        return violations + self._check(history)

    def _state(self, entry, job_id):
        reply = self._cluster.call(entry, "GET", f"/normal/{job_id}")
        return reply.document.get("state")

    def _expected_states(self, job_id):
        if job_id in self._cancelled:
            return ("cancelled", "completed")
        return ("completed",)

    def _check(self, history):
        """Return the violations found in the workers' starts and ends of runs."""
        violations, running, used = [], {}, {}
        for number, (at, kind, task, run, _how) in sorted(
            history, key=lambda pair: (pair[1][0], pair[1][1] == "start")
        ):
            job_id = task.split(".")[0]
            runs = running.setdefault(task, set())
            if kind == "start":
                if runs:
                    violations.append(f"{task} run {run} at {at:.3f} beside {runs}")
                if job_id in self._refused:
                    violations.append(f"{task} runs though its job was refused")
                runs.add((number, run))
                used[number] = used.get(number, 0) + 1
                if used[number] > _ACCELERATORS:
                    violations.append(f"worker-{number} is overfull at {at:.3f}")
            elif (number, run) in runs:
                runs.discard((number, run))
                used[number] -= 1
        return violations


def main(seed, seconds=30.0, folder=None):
    """Run one soak test and print its result; return the exit status."""
    # Exit by an exception, so that the cluster's processes are killed.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = folder or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(seed, folder)
    violations = soak.run(seconds)
    print(f"seed {seed}: {len(soak.faults)} faults, logs in {folder}")
    for line in violations:
        print(f"  BROKEN {line}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), *map(float, sys.argv[2:3])))
