"""A randomized soak test: ``python -m samphiredeal.standins.soak SEED [SECONDS]``.

Runs the real programs beside stand-ins, submits jobs on connections that are kept open
and injects faults from outside: processes are killed, paused, stopped and restarted,
and connections to the store and to workers, of workers to agents, and between entries
and agents are delayed, blocked in one or both directions, and reset. Workers crash,
return under the same or another id, born earlier or later, change their id, close
their listeners and double their heartbeats. Another writer leaves malformed rows in
the store and sends malformed heartbeats and frames. The store is silent for all at
once, and entries, agents and workers are lost together within that and after it.
Meanwhile all entries are asked for the states of the accepted jobs. Then removes all
faults and checks invariants from the job states and the workers' histories, and that
every worker gets starts again.
The exit status is 1 if an invariant was violated; the logs of all processes stay in the
folder that is printed.
"""

import concurrent.futures
import json
import os
import random
import signal
import sys
import tempfile
import time

import defopt

from samphiredeal.standins import proxy, soak_checks, soak_faults
from samphiredeal.standins.launch import wait_for
from samphiredeal.standins.soak_calls import (
    CALL_TIMEOUT_S,
    OpenConnection,
    StateAsker,
    clock,
)
from samphiredeal.standins.soak_cluster import SoakCluster

WORKERS = 3
ENTRIES = 2
_COMPLETION_TIMEOUT_S = 60
_MEAN_JOB_INTERVAL_S = 0.8
_MEAN_FAULT_INTERVAL_S = 1.5
_FAULT_DURATION_S = (0.3, 4.0)
_CANCEL_PROBABILITY = 0.15
_MEAN_MALFORMED_DATA_INTERVAL_S = 1.0
_MEAN_WORKER_FAULT_INTERVAL_S = 2.0
_MAX_WORKER_FAULT_S = 1.0
_MAX_BORN_OFFSET_MS = 9000
_MAX_DOWN_S = 0.5
_DISCOVERY_MODES = ("delay", "silent", "reset")
# Within this time after all faults, every worker gets a start.
_RETURN_TIMEOUT_S = 10.0
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


class Soak:
    """One run; `seed` determines its random choices."""

    def __init__(
        self,
        seed,
        folder,
        workers=WORKERS,
        entries=ENTRIES,
        program=None,
        outages=True,
    ):
        self._random = random.Random(seed)
        # Malformed data, faults of workers and outages must not change a seed's other
        # choices.
        self._malformed_random = random.Random(f"odd data {seed}")
        self._worker_random = random.Random(f"workers {seed}")
        self._outage_random = random.Random(f"outages {seed}")
        self._has_outages = outages
        self._folder = folder
        self._outages = None
        self._callers = concurrent.futures.ThreadPoolExecutor()
        self._planned_calls = []
        self._asker = StateAsker(seed)
        self._cluster = SoakCluster(folder, program)
        self._workers = [f"worker-{number}" for number in range(workers)]
        self._entry_count = entries
        self._id_count = 0
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
            self._asker.start(cluster.caller_ports)
            if self._has_outages:
                self._start_outages(seconds)
            end_at = time.monotonic() + seconds
            next_job = next_fault = next_malformed_data = next_worker_fault = 0.0
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
                if now >= next_worker_fault:
                    self._disturb_worker()
                    next_worker_fault = now + self._worker_random.expovariate(
                        1 / _MEAN_WORKER_FAULT_INTERVAL_S
                    )
                self._run_due_repairs(now)
                self._restart_exited()
                time.sleep(0.05)
            self._run_due_repairs(float("inf"))
            self._stop_outages()
            return self._find_violations()
        finally:
            try:
                self._stop_outages()
                self._asker.stop()
            finally:
                cluster.close()

    def summary(self):
        """Return how much was seen, as a text."""
        answers = self._asker.answers
        told = sum(1 for answer in answers if answer.state)
        return f"{len(self._accepted)} jobs, {len(answers)} questions, {told} states"

    def _start(self):
        cluster = self._cluster
        cluster.start_standin("platform", "platform")
        cluster.configure()
        for number in range(self._entry_count):
            cluster.start_graph_entry(f"entry-{number}", f"zone-{number % 2}")
        for number, name in enumerate(self._workers):
            cluster.start_graph_worker(
                name, f"zone-{number % 2}", f"r{number}", _ACCELERATORS
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
        self._note_submitted(job_id, status)
        if self._accepted and self._random.random() < _CANCEL_PROBABILITY:
            victim = self._random.choice(list(self._accepted))
            status = self._cluster.call(entry, "DELETE", f"/normal/{victim}").status
            if status in _MAY_HAVE_CANCELLED:
                self._cancelled.add(victim)

    def _note_submitted(self, job_id, status):
        if status == 200:
            self._accepted[job_id] = clock()
            self._asker.add_job(job_id)
        elif status == 503:
            self._refused.add(job_id)

    def _submit_planned(self, step):
        """Submit the job of a step at an entry, on a connection of its own."""

        def submit():
            job_id, document = step.arguments["id"], step.arguments["document"]
            port = self._cluster.caller_ports[step.name]
            connection = OpenConnection(port, CALL_TIMEOUT_S)
            status = connection.call("POST", f"/normal/{job_id}", document).status
            self._note_submitted(job_id, status)

        self._planned_calls.append(self._callers.submit(submit))

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
        names += [f"agent-{name}" for name in self._workers]
        candidates = [name for name in names if name not in self._faulty_processes]
        return self._random.choice(candidates) if candidates else None

    def _signal_process(self, choice, name, duration_s):
        self.faults.append((choice, name, round(duration_s, 2)))
        self._faulty_processes.add(name)
        number = {"kill": signal.SIGKILL, "pause": signal.SIGSTOP}.get(
            choice, signal.SIGTERM
        )
        self._cluster.hold(name, number)

        def repair():
            if choice == "pause":
                self._cluster.signal(name, signal.SIGCONT)
            else:
                self._cluster.wait(name)
            self._cluster.release(name)
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

    def _disturb_worker(self):
        """Disturb a worker, or the connections by which it and its agent are heard."""
        chosen, name = self._worker_random, self._worker_random.choice(self._workers)
        own_id, self._id_count = f"i-{name}", self._id_count + 1
        other_id = f"{own_id}-{self._id_count}"
        duration_s = chosen.uniform(0.05, _MAX_WORKER_FAULT_S)
        offset_ms = chosen.choice((-1, 1)) * chosen.randint(1, _MAX_BORN_OFFSET_MS)
        fault = chosen.choice(
            ("restart", "rename", "heartbeats", "closed", "heartbeat", "link")
        )
        arguments = {}
        if fault == "restart":
            arguments["id"] = chosen.choice((own_id, other_id))
            arguments["born_offset_ms"] = offset_ms
            arguments["down_s"] = min(duration_s, _MAX_DOWN_S)
        elif fault == "rename":
            arguments["id"] = other_id
        elif fault == "heartbeats":
            arguments = {"seconds": 2.0, "delay_s": 2 * duration_s, "copies": 2}
        if arguments:
            self._cluster.disturb_worker(name, fault, **arguments)
        else:
            self._disturb_connections(fault, name, duration_s)
        self.faults.append((fault, name, arguments or round(duration_s, 2)))

    def _disturb_connections(self, fault, worker, duration_s):
        chosen, cluster = self._worker_random, self._cluster
        if fault == "closed":
            name, modes = f"way-{worker}", [proxy.CLOSED]
            if chosen.random() < 0.5:
                modes.insert(0, "reset")
        else:
            name = f"link-agent-{worker}" if fault == "link" else f"{fault}-{worker}"
            modes = [chosen.choice(_DISCOVERY_MODES)]
            duration_s *= 4
        for mode in modes:
            cluster.set_fault(name, mode, min(duration_s, 0.4))

        def repair():
            cluster.set_fault(name, "pass")

        self._pending_repairs.append((time.monotonic() + duration_s, repair))

    def _leave_malformed_data(self):
        """Write a malformed row, and send a malformed heartbeat and a frame."""
        chosen = self._malformed_random
        value = chosen.choice(_MALFORMED_VALUES)
        name = f"odd-{chosen.randrange(20)}"
        self._cluster.put_row(chosen.choice(_MALFORMED_PREFIXES) + name, value)
        agent = f"agent-{self._workers[chosen.randrange(len(self._workers))]}"
        self._cluster.send_heartbeat(agent, name, value)
        target = chosen.choice([*self._cluster.entries, agent])
        self._cluster.send_bytes(target, len(value).to_bytes(4, "big") + value)

    def _restart_exited(self):
        """Restart processes that exited without a fault, as the platform does."""
        for name in self._cluster.restart_exited():
            self.faults.append(("ended by itself", name, 0))
            self._ended_by_themselves.append(name)

    def _start_outages(self, seconds):
        cluster = self._cluster

        def kill(step):
            cluster.hold(step.name, signal.SIGKILL)
            cluster.wait(step.name)

        def crash(step):
            cluster.disturb_worker(step.name, "restart", **step.arguments)

        begin = {
            soak_faults.JOB: self._submit_planned,
            soak_faults.SILENCE: lambda _step: cluster.set_silent(True),
            soak_faults.PROCESS: kill,
            soak_faults.CRASH: crash,
        }
        end = {
            soak_faults.SILENCE: lambda _step: cluster.set_silent(False),
            soak_faults.PROCESS: lambda step: cluster.release(step.name),
        }

        def logging(take):
            def take_and_log(step):
                self.faults.append((clock(), *step))
                take(step)

            return take_and_log

        steps = soak_faults.plan_outages(
            self._outage_random, seconds, cluster.entries, self._workers, _STEP
        )
        self._outages = soak_faults.Outages(
            steps, {kind: logging(take) for kind, take in begin.items()}, end
        )
        self._outages.start()

    def _stop_outages(self):
        if self._outages is not None:
            self._outages.stop()
        self._callers.shutdown()
        for call in self._planned_calls:
            call.result()

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
        idle = self._find_idle_workers(entry)
        self._asker.stop()
        exited = [*self._ended_by_themselves, *self._cluster.exited_standins()]
        violations += [f"{name} ended by itself" for name in exited]
        violations += [f"{name} gets no start any more" for name in idle]
        record = self._record()
        self._save(record)
        return violations + soak_checks.find_violations(record, _ACCELERATORS)

    def _record(self):
        """Return what was seen from outside."""
        events, recorded_ends = [], []
        for name in self._workers:
            events += [
                soak_checks.Event(*event, name) for event in self._cluster.history(name)
            ]
            recorded_ends += [
                soak_checks.RecordedEnd(*end)
                for end in self._cluster.recorded_ends(name)
            ]
        return soak_checks.Record(
            events, recorded_ends, self._accepted, self._refused, self._asker.answers
        )

    def _save(self, record):
        """Leave what was seen, and the faults, beside the logs."""
        seen = {**record._asdict(), "refused": list(record.refused)}
        path = os.path.join(self._folder, "record.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({**seen, "faults": self.faults}, file)

    def _find_idle_workers(self, entry):
        """Submit work for all workers; return those that get no start of it."""
        cluster = self._cluster
        step = {**_STEP, "count": _ACCELERATORS * len(self._workers)}
        before = {name: cluster.start_counts(name) for name in self._workers}

        def idle():
            return [
                name
                for name in self._workers
                if cluster.start_counts(name) == before[name]
            ]

        deadline, number = time.monotonic() + _RETURN_TIMEOUT_S, 0
        while idle() and time.monotonic() < deadline:
            document = {"spec": "0.5", "steps": [step]}
            cluster.call(entry, "POST", f"/normal/e{number}", document)
            number += 1
            time.sleep(0.5)
        return idle()

    def _state(self, entry, job_id):
        reply = self._cluster.call(entry, "GET", f"/normal/{job_id}")
        return reply.document.get("state")

    def _expected_states(self, job_id):
        if job_id in self._cancelled:
            return ("cancelled", "completed")
        return ("completed",)


def main(
    seed: int,
    seconds: float = 30.0,
    folder: str = "",
    *,
    workers: int = WORKERS,
    entries: int = ENTRIES,
    program: list[str] | None = None,
    outages: bool = True,
):
    """Run one soak test and print its result; return the exit status.

    :param seed: determines the random choices
    :param seconds: how long faults are injected
    :param folder: where the logs are left, by default a new temporary folder
    :param workers: the number of workers, each with an agent
    :param entries: the number of entries
    :param program: the command of another build
    :param outages: whether the store is silent for all at times
    """
    # Exit by an exception, so that the cluster's processes are killed.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = folder or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(seed, folder, workers, entries, program, outages)
    violations = soak.run(seconds)
    print(f"seed {seed}: {len(soak.faults)} faults, logs in {folder}")
    print(f"  {soak.summary()}")
    for line in violations:
        print(f"  BROKEN {line}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
