"""A randomized soak: the deployed programs under faults from outside.

``python -m bench.soak --first 1 --seeds 50`` plays seeds one after the other.
Faults come in series and overlap; callers keep their connections. What callers
and workers see is checked against the promises in docs/design/platform.md.
"""

from __future__ import annotations

import argparse
import http.client
import json
import random
import signal
import sys
import threading
import time
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import NamedTuple

from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import configuration
from bench.deployed_fleet import make_burst
from bench.fleet import call
from bench.fleet import free_ports
from bench.proxy import FaultyProxy

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Request", "SoakPlan", "play"]

# The platform's bounds: when a caller submits again, and when service is back.
RESUBMIT_S = 1.3
RECOVERY_S = 12.0
# Longer than any job may take by three goals, a freeze and a grace.
HUNG_S = 30.0
FAULT_GAP_S = (0.1, 0.8)
FAULT_LENGTH_S = (0.1, 3.0)
NO_ANSWER = 0
HUNG = -1
# Tries of a job before its caller gives up.
TRIES = 6
# Of the signals that do not end a program, this share freezes it.
FREEZE_SHARE = 0.7
REFUSALS = (429, 503)
ENTRY_OR_AGENT = ("entry", "agent")


class SoakPlan(NamedTuple):
    """How large a run is, and how long its faults last."""

    seed: int
    entries: int = 2
    workers: int = 3
    callers: int = 6
    seconds: float = 8.0


class Request(NamedTuple):
    """What a caller sent and got: one status a try, 0 for a broken one."""

    job_id: str
    tasks: int
    statuses: tuple[int, ...]
    state: str
    answered_ms: int


class WorkerRun(NamedTuple):
    """A run as its worker noted it, by the machine's steady clock."""

    task: str
    attempt: int
    started_ms: int
    ended_ms: int
    how: str


class SoakFleet(DeployedFleet):
    """Programs that reach their store and their workers through proxies."""

    def __init__(self, plan: SoakPlan) -> None:
        """Choose addresses."""
        super().__init__(plan.entries, plan.workers, cpu=8_000)
        self.worker_listen_port, proxy_port = free_ports(2)
        self.store_proxy = FaultyProxy(f"127.0.0.1:{proxy_port}", self.store)
        self.store_for_programs = f"127.0.0.1:{proxy_port}"
        self.worker_proxies = [
            FaultyProxy(f"{ip}:{self.app_port}", f"{ip}:{self.worker_listen_port}")
            for ip in self.agent_ips
        ]

    def proxies(self) -> list[FaultyProxy]:
        """Return all proxies."""
        return [self.store_proxy, *self.worker_proxies]

    def restart(self, name: str) -> None:
        """Start an entry or an agent again once it has ended."""
        self.processes[name].wait(HUNG_S)
        role, _, index = name.partition("-")
        if role == "entry":
            self.start_entry(int(index))
        else:
            self.start_agent(int(index))


class Caller(threading.Thread):
    """Submits jobs one after the other, and again when it gets no answer."""

    def __init__(self, fleet: SoakFleet, number: int, plan: SoakPlan) -> None:
        """Take a random source of its own."""
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.random = random.Random(f"{plan.seed} caller {number}")
        self.entries = plan.entries
        self.stopped = threading.Event()
        self.connection: http.client.HTTPConnection | None = None
        self.requests: list[Request] = []

    def run(self) -> None:
        """Submit until stopped."""
        while not self.stopped.is_set():
            self.submit(f"{self.number:04x}{len(self.requests):012x}")

    def submit(self, job_id: str) -> None:
        """Submit one job until it is answered."""
        tasks = self.random.randint(1, 6)
        job = make_burst(tasks, self.random.randint(10, 300))
        statuses: list[int] = []
        state = ""
        while not statuses or (statuses[-1] == NO_ANSWER and len(statuses) < TRIES):
            if statuses:
                time.sleep(RESUBMIT_S)
            status, state = self.ask(job_id, job)
            statuses.append(status)
        answered_ms = time.monotonic_ns() // 1_000_000
        row = Request(job_id, tasks, tuple(statuses), state, answered_ms)
        self.requests.append(row)
        if statuses[-1] in REFUSALS:
            self.stopped.wait(self.random.uniform(0.05, 0.3))

    def ask(self, job_id: str, job: dict[str, object]) -> tuple[int, str]:
        """Send a job on the open connection, or on a new one."""
        try:
            if self.connection is None:
                address = self.fleet.entry(self.random.randrange(self.entries))
                self.connection = http.client.HTTPConnection(address, timeout=HUNG_S)
            self.connection.request(
                "POST", PATH_PREFIX + job_id, json.dumps(job), {"Host": HOST_NAME}
            )
            response = self.connection.getresponse()
            body = json.loads(response.read() or b"null") or {}
        except TimeoutError:
            return HUNG, "hung"
        except (OSError, http.client.HTTPException):
            if self.connection is not None:
                self.connection.close()
            self.connection = None
            return NO_ANSWER, ""
        if response.status in (502, 504):
            return NO_ANSWER, ""
        return response.status, body.get("State", "")


class Faults:
    """Begins faults at random, lets them overlap, and ends each in time."""

    def __init__(self, fleet: SoakFleet, plan: SoakPlan) -> None:
        """Name the fleet and the seed."""
        self.fleet = fleet
        self.random = random.Random(f"{plan.seed} faults")
        self.due: list[tuple[float, Callable[[], None]]] = []
        self.busy: set[str] = set()
        self.version = 1
        self.told: list[str] = []
        self.began_s = time.monotonic()

    def play(self, seconds: float) -> None:
        """Begin faults for so long, then end them all."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            self.begin()
            pause_s = time.monotonic() + self.random.uniform(*FAULT_GAP_S)
            while time.monotonic() < pause_s:
                self.end_due(time.monotonic())
                time.sleep(0.01)
        self.end_due(float("inf"))

    def end_due(self, now_s: float) -> None:
        """End the faults whose time is over."""
        over = [end for due_s, end in self.due if due_s <= now_s]
        self.due = [row for row in self.due if row[0] > now_s]
        for end in over:
            end()

    def begin(self) -> None:
        """Begin one fault on something that has none."""
        kinds = [
            self.stop_program,
            self.freeze_or_reload,
            self.disturb_wire,
            self.disturb_worker,
            self.disturb_store,
        ]
        kind = self.random.choice([*kinds, self.change_configuration])
        kind(self.random.uniform(*FAULT_LENGTH_S))

    def take(self, what: str, target: str) -> bool:
        """Reserve a target; false if it has a fault already."""
        if target in self.busy:
            return False
        self.busy.add(target)
        self.told.append(f"{time.monotonic() - self.began_s:.2f} {what} {target}")
        return True

    def later(self, length_s: float, target: str, end: Callable[[], None]) -> None:
        """End a fault after a time."""

        def over() -> None:
            end()
            self.busy.discard(target)

        self.due.append((time.monotonic() + length_s, over))

    def program(self) -> str:
        """Choose an entry or an agent."""
        names = [name for name in self.fleet.processes if name[:5] in ENTRY_OR_AGENT]
        return self.random.choice(sorted(names))

    def stop_program(self, length_s: float) -> None:
        """Kill or terminate a program, and start it again."""
        name = self.program()
        number = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        if self.take(number.name, name):
            self.fleet.kill(name, number)
            self.later(length_s, name, lambda: self.fleet.restart(name))

    def freeze_or_reload(self, length_s: float) -> None:
        """Freeze a program or a worker, or tell a program to reload."""
        name = self.random.choice((self.program(), self.random_worker()))
        if name.startswith("worker") or self.random.random() < FREEZE_SHARE:
            if self.take("SIGSTOP", name):
                self.fleet.kill(name, signal.SIGSTOP)
                self.later(
                    length_s, name, lambda: self.fleet.kill(name, signal.SIGCONT)
                )
        elif self.take("SIGHUP", name):
            self.fleet.kill(name, signal.SIGHUP)
            self.later(0.0, name, lambda: None)

    def random_worker(self) -> str:
        """Choose a worker."""
        return f"worker-{self.random.randrange(len(self.fleet.agent_ips))}"

    def disturb_wire(self, length_s: float) -> None:
        """Delay, cut or reset what passes a proxy."""
        index = self.random.randrange(len(self.fleet.proxies()))
        proxy, target = self.fleet.proxies()[index], f"proxy-{index}"
        what = self.random.choice(
            ("delay", "block_to_target", "block_from_target", "block_both", "reset")
        )
        if not self.take(what, target):
            return
        proxy.delay_s = self.random.uniform(0.02, 0.3) if what == "delay" else 0.0
        proxy.block_to_target = what in ("block_to_target", "block_both")
        proxy.block_from_target = what in ("block_from_target", "block_both")
        if what == "reset":
            proxy.reset_all()

        def heal() -> None:
            proxy.delay_s, proxy.block_to_target, proxy.block_from_target = (
                0.0,
                False,
                False,
            )

        self.later(length_s, target, heal)

    def disturb_worker(self, length_s: float) -> None:
        """Let a worker fail, hang, refuse, lose starts or drain."""
        index = self.random.randrange(len(self.fleet.agent_ips))
        name = f"worker-{index}"
        fault = self.random.choice(("fail", "hang", "down", "draining", "lose_starts"))
        if not self.take(fault, name):
            return
        address = self.fleet.worker(index)
        value = self.random.randint(1, 4) if fault == "lose_starts" else True
        late_ms = self.random.randint(10, 3_000)
        set_fault(address, {fault: value, "late_ms": late_ms})
        off = 0 if fault == "lose_starts" else False
        self.later(
            length_s, name, lambda: set_fault(address, {fault: off, "late_ms": 0})
        )

    def disturb_store(self, length_s: float) -> None:
        """Let the store be down or lose answers."""
        fault = self.random.choice(("outage", "lose_answers"))
        if self.take(fault, "store"):
            value = 5 if fault == "lose_answers" else True
            set_fault(self.fleet.store, {fault: value})
            off = 0 if fault == "lose_answers" else False
            self.later(
                length_s, "store", lambda: set_fault(self.fleet.store, {fault: off})
            )

    def change_configuration(self, _length_s: float) -> None:
        """Publish a configuration of a higher version."""
        self.version += self.random.randint(1, 3)
        self.told.append(f"configuration {self.version}")
        self.fleet.configure(configuration(self.version))


def set_fault(address: str, faults: dict[str, object]) -> None:
    """Set faults of a stand-in."""
    call(address, "POST", "/faults", faults)


def histories(fleet: SoakFleet) -> list[WorkerRun]:
    """Return all runs that workers have noted."""
    return [
        WorkerRun(*row)
        for index in range(len(fleet.agent_ips))
        for row in call(fleet.worker(index), "GET", "/history")[1]
    ]


def check(requests: list[Request], runs: list[WorkerRun]) -> list[str]:
    """Return what breaks a promise to callers."""
    by_task: dict[str, list[WorkerRun]] = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    broken = [
        f"{task}: two runs at the same time: {first} {second}"
        for task, rows in by_task.items()
        for first, second in overlaps(rows)
    ]
    jobs = {task.partition(".")[0] for task in by_task}
    for request in requests:
        if HUNG in request.statuses:
            broken.append(f"{request}: no answer")
        if set(request.statuses) <= set(REFUSALS) and request.job_id in jobs:
            broken.append(f"{request}: refused, but it has run")
        if request.state == "completed":
            broken.extend(
                f"{request}: completed without task {index}"
                for index in range(request.tasks)
                if not any(
                    run.how == "done" and run.ended_ms <= request.answered_ms
                    for run in by_task[f"{request.job_id}.0.0.{index}"]
                )
            )
    return broken


def overlaps(rows: list[WorkerRun]) -> list[tuple[WorkerRun, WorkerRun]]:
    """Return pairs of runs of one task that were there at the same time."""
    ordered = sorted(rows, key=lambda run: run.started_ms)
    return [
        (first, second)
        for index, first in enumerate(ordered)
        for second in ordered[index + 1 :]
        if second.started_ms < first.ended_ms
    ]


def play(plan: SoakPlan) -> tuple[list[str], str]:
    """Play one seed; return what broke, and a line on what was played."""
    fleet = SoakFleet(plan)
    try:
        with fleet:
            callers = [Caller(fleet, number, plan) for number in range(plan.callers)]
            for caller in callers:
                caller.start()
            faults = Faults(fleet, plan)
            faults.play(plan.seconds)
            broken = recover(fleet)
            for caller in callers:
                caller.stopped.set()
            for caller in callers:
                caller.join(2 * HUNG_S)
            requests = [row for caller in callers for row in caller.requests]
            broken += check(requests, histories(fleet))
            broken += fleet.breaches()
            if "Event " in fleet.logs() and " failed." in fleet.logs():
                broken.append("a rule failed: " + fleet.logs())
    finally:
        for proxy in fleet.proxies():
            proxy.close()
    served = sum(row.statuses[-1] == 200 for row in requests)
    line = f"seed {plan.seed}: {len(faults.told)} faults, {served} of {len(requests)}"
    return broken, f"{line} jobs served, {len(broken)} broken; {faults.told}"


def recover(fleet: SoakFleet) -> list[str]:
    """Check that each entry serves again within the recovery bound."""
    broken = []
    for index in range(len(fleet.entry_ips)):
        until_s = time.monotonic() + RECOVERY_S
        while not serves(fleet, index):
            if time.monotonic() > until_s:
                broken.append(f"entry {index} serves nothing after the faults")
                break
            time.sleep(0.1)
    return broken


def serves(fleet: SoakFleet, index: int) -> bool:
    """Tell whether an entry completes a job."""
    job_id = f"ffff{index:04x}{time.monotonic_ns() // 1_000_000 % 2**32:08x}"
    try:
        headers = {"Host": HOST_NAME}
        path = PATH_PREFIX + job_id
        answer = call(
            fleet.entry(index), "POST", path, make_burst(1, 10), RECOVERY_S, headers
        )
    except (OSError, http.client.HTTPException):
        return False
    return answer[0] == 200


def main() -> None:
    """Play seeds by hand."""
    parser = argparse.ArgumentParser(prog="bench.soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--callers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        broken, line = play(
            SoakPlan(
                seed,
                arguments.entries,
                arguments.workers,
                arguments.callers,
                arguments.seconds,
            )
        )
        failed += bool(broken)
        print(line, *broken, sep="\n  ", flush=True)
    print(f"{arguments.seeds - failed} passed, {failed} failed")
    sys.exit(min(1, failed))


if __name__ == "__main__":
    main()
