"""A randomised soak test: the deployed programs under injected faults.

``python -m bench.soak --first 1 --seeds 50`` runs seeds one after the other.
Faults follow each other and overlap; callers reuse their connections. What
callers and workers observe is checked against the promises in
docs/design/platform.md.

``--faults resets`` resets all connections of a machine in series and pauses programs
for moments meanwhile, and ``--faults all`` mixes these with all other faults. Tasks
that outlast a caller's wait before it submits again (``--long-tasks``) can meet
their successors. ``--keep-logs`` keeps the logs of a failed seed.
"""

from __future__ import annotations

import argparse
import http.client
import json
import random
import shutil
import signal
import sys
import threading
import time
from collections import defaultdict
from functools import partial
from operator import itemgetter
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.deployed_fleet import make_configuration
from bench.fleet import call_json
from bench.fleet import find_free_ports
from bench.proxy import FaultyProxy

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["JobRecord", "SoakPlan", "run_soak"]

# Set by the platform: how long a caller waits before it submits a job again, and
# how soon after the last fault entries have to serve again.
RESUBMIT_DELAY_S = 1.3
MAX_RECOVERY_S = 12.0
# A job without an answer after this time is hung. It is longer than three latency
# goals, a SIGSTOP and a grace period, the most that a job may take.
HUNG_TIMEOUT_S = 30.0
# Ranges of the time between two faults, and of the duration of a fault.
FAULT_INTERVAL_S = (0.1, 0.8)
FAULT_DURATION_S = (0.1, 3.0)
# Machines are reset up to so often in series, after pauses of this length.
MAX_RESETS_IN_SERIES = 4
RESET_INTERVAL_S = (0.05, 0.6)
# Time between the resets of a machine's connections of one kind and the other.
MAX_RESET_SKEW_S = 0.008
# Ranges of the time between two faults and of a pause, if only machines are reset.
SHORT_FAULT_INTERVAL_S = (0.05, 0.5)
SHORT_PAUSE_S = (0.05, 1.0)
# Programs are paused up to so often in series, and run for this long in between.
MAX_PAUSES_IN_SERIES = 3
TIME_BETWEEN_PAUSES_S = (0.01, 0.2)
# Processor time of short tasks, and of those that may outlast the wait of a caller
# that submits again.
SHORT_TASK_MS = (10, 300)
LONG_TASK_MS = (100, 4_000)
# Statuses of submissions without an HTTP response.
NO_ANSWER = 0
HUNG = -1
# Submissions of a job before its caller gives up.
MAX_SUBMISSIONS = 6
# Share of SIGSTOP among the signals that do not end a program; the others are
# SIGHUP.
SIGSTOP_SHARE = 0.7
REFUSED_STATUSES = (429, 503)
PROGRAM_PREFIXES = ("entry", "agent")


class SoakPlan(NamedTuple):
    """The size of a run, and how long faults are injected."""

    seed: int
    entries: int = 2
    workers: int = 3
    callers: int = 6
    seconds: float = 8.0
    # "mixed", "resets" or "all", see ``FaultInjector.choose_fault``.
    faults: str = "mixed"
    # The share of jobs whose tasks may outlast a caller's wait.
    long_tasks: float = 0.0


class JobRecord(NamedTuple):
    """A caller's job: the status of each submission, and the final state.

    A status is that of HTTP, ``NO_ANSWER`` or ``HUNG``.
    """

    job_id: str
    tasks: int
    statuses: tuple[int, ...]
    state: str
    answered_ms: int


class WorkerRun(NamedTuple):
    """A run as its worker recorded it, in times of the machine's steady clock.

    ``outcome`` is "running" for a run that has not ended.
    """

    task: str
    attempt: int
    started_ms: int
    ended_ms: int
    outcome: str


class SoakFleet(DeployedFleet):
    """A fleet with proxies in front of its store, workers and entries.

    An entry registers the address on which it listens for links. The store's proxy
    replaces its port in the record, so that agents dial the entry's proxy.
    """

    def __init__(self, plan: SoakPlan) -> None:
        """Choose addresses, and start the proxies."""
        super().__init__(plan.entries, plan.workers, cpu=8_000)
        ports = find_free_ports(4)
        self.worker_listen_port, proxy_port = ports[:2]
        self.link_port_for_agents, self.front_port_for_callers = ports[2:]
        self.store_proxy = FaultyProxy(
            f"127.0.0.1:{proxy_port}",
            self.store_address,
            {
                f"{ip}:{self.link_port}".encode(): self.link_address(index).encode()
                for index, ip in enumerate(self.entry_ips)
            },
        )
        self.store_address_for_programs = f"127.0.0.1:{proxy_port}"
        self.worker_proxies = [
            FaultyProxy(f"{ip}:{self.app_port}", f"{ip}:{self.worker_listen_port}")
            for ip in self.agent_ips
        ]

        self.link_proxies = [
            FaultyProxy(self.link_address(index), f"{ip}:{self.link_port}")
            for index, ip in enumerate(self.entry_ips)
        ]
        self.caller_proxies = [
            FaultyProxy(self.entry_address(index), f"{ip}:{self.front_port}")
            for index, ip in enumerate(self.entry_ips)
        ]

    def link_address(self, index: int) -> str:
        """Return the address at which agents reach an entry."""
        return f"{self.entry_ips[index]}:{self.link_port_for_agents}"

    def proxies(self) -> list[FaultyProxy]:
        """Return the proxies of the store and of all workers."""
        return [self.store_proxy, *self.worker_proxies]

    def entry_proxies(self) -> list[FaultyProxy]:
        """Return the proxies of all entries, for links and for callers."""
        return [*self.link_proxies, *self.caller_proxies]

    def reset_agent(self, name: str) -> None:
        """Reset an agent's links, which begin with its name."""
        for proxy in self.link_proxies:
            proxy.reset_greeted(msgspec.msgpack.encode(name))

    def restart(self, name: str) -> None:
        """Wait until an entry or agent has ended, and start it again."""
        self.processes[name].wait(HUNG_TIMEOUT_S)
        role, _, index = name.partition("-")
        if role == "entry":
            self.start_entry(int(index))
        else:
            self.start_agent(int(index))


class Caller(threading.Thread):
    """Submits one job after another, and a job again if it got no answer."""

    def __init__(self, fleet: SoakFleet, number: int, plan: SoakPlan) -> None:
        """Set up a caller with a random generator of its own."""
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.random = random.Random(f"{plan.seed} caller {number}")
        self.entries = plan.entries
        self.long_tasks = plan.long_tasks
        self.stopped = threading.Event()
        self.connection: http.client.HTTPConnection | None = None
        self.address = ""
        self.records: list[JobRecord] = []
        # What the caller did, with times of the clock that logs use.
        self.log: list[str] = []

    def run(self) -> None:
        """Submit jobs until stopped."""
        while not self.stopped.is_set():
            self.submit_job(f"{self.number:04x}{len(self.records):012x}")

    def submit_job(self, job_id: str) -> None:
        """Submit a job until it is answered, and record the statuses."""
        tasks = self.random.randint(1, 6)
        is_long = self.long_tasks and self.random.random() < self.long_tasks
        work_ms = self.random.randint(*(LONG_TASK_MS if is_long else SHORT_TASK_MS))
        job = make_burst_job(tasks, work_ms)
        statuses: list[int] = []
        state = ""
        while not statuses or (
            statuses[-1] == NO_ANSWER and len(statuses) < MAX_SUBMISSIONS
        ):
            if statuses:
                time.sleep(RESUBMIT_DELAY_S)
            sent_s = time.time()
            status, state = self.send_job(job_id, job)
            statuses.append(status)
            self.log.append(
                f"{sent_s:.3f}-{time.time():.3f} {job_id} at {self.address}: {status}"
                f" {state}, {tasks} tasks of {work_ms} ms"
            )
        answered_ms = time.monotonic_ns() // 1_000_000
        record = JobRecord(job_id, tasks, tuple(statuses), state, answered_ms)
        self.records.append(record)
        if statuses[-1] in REFUSED_STATUSES:
            self.stopped.wait(self.random.uniform(0.05, 0.3))

    def send_job(self, job_id: str, job: dict[str, object]) -> tuple[int, str]:
        """Send a job on the open connection, or on a new one to a random entry.

        Return the status and the job's state.
        """
        try:
            if self.connection is None:
                index = self.random.randrange(self.entries)
                self.address = self.fleet.entry_address(index)
                self.connection = http.client.HTTPConnection(
                    self.address, timeout=HUNG_TIMEOUT_S
                )
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


class FaultInjector:
    """Injects random faults, which may overlap, and ends each after a time.

    A target has at most one fault at a time.
    """

    def __init__(self, fleet: SoakFleet, plan: SoakPlan) -> None:
        """Set up an injector with a random generator of its own."""
        self.fleet = fleet
        self.random = random.Random(f"{plan.seed} faults")
        self.faults = plan.faults
        self.pending_actions: list[tuple[float, Callable[[], None]]] = []
        self.faulty_targets: set[str] = set()
        # The program whose connections were reset last.
        self.last_reset = ""
        self.configuration_version = 1
        self.injected: list[str] = []
        self.started_s = time.monotonic()

    def run(self, seconds: float) -> None:
        """Inject faults for so many seconds, then end them all."""
        stop_s = time.monotonic() + seconds
        interval_s = (
            FAULT_INTERVAL_S if self.faults == "mixed" else SHORT_FAULT_INTERVAL_S
        )
        while time.monotonic() < stop_s:
            self.inject_fault()
            next_fault_s = time.monotonic() + self.random.uniform(*interval_s)
            while time.monotonic() < next_fault_s:
                self.take_due_actions(time.monotonic())
                time.sleep(0.01)
        self.take_due_actions(float("inf"))

    def take_due_actions(self, now_s: float) -> None:
        """Take the actions whose time has come, in the order of their times."""
        due = [row for row in self.pending_actions if row[0] <= now_s]
        self.pending_actions = [row for row in self.pending_actions if row[0] > now_s]
        for _due_s, act in sorted(due, key=itemgetter(0)):
            act()

    def inject_fault(self) -> None:
        """Inject a random fault, unless its target already has one."""
        inject = self.choose_fault()
        inject(self.random.uniform(*FAULT_DURATION_S))

    def choose_fault(self) -> Callable[[float], None]:
        """Choose a kind of fault from those of the plan."""
        mixed_faults = [
            self.stop_program,
            self.pause_or_reload,
            self.disturb_connections,
            self.disturb_worker,
            self.disturb_store,
            self.publish_configuration,
        ]
        resets = [self.reset_machine, self.reset_machine, self.pause_briefly]
        if self.faults == "mixed":
            return self.random.choice(mixed_faults)
        if self.faults == "resets":
            return self.random.choice(resets)
        # As many resets as other faults.
        return self.random.choice(
            [*mixed_faults, *resets, *resets, self.disturb_entry_connections]
        )

    def reserve_target(self, fault: str, target: str) -> bool:
        """Reserve a target for a fault; false if it already has one."""
        if target in self.faulty_targets:
            return False
        self.faulty_targets.add(target)
        self.note(f"{fault} {target}")
        return True

    def note(self, fault: str) -> None:
        """Record a fault with its time since the start."""
        self.injected.append(f"{time.monotonic() - self.started_s:.2f} {fault}")

    def schedule_end(
        self, duration_s: float, target: str, end_fault: Callable[[], None]
    ) -> None:
        """End a fault and release its target after a time."""

        def end_and_release() -> None:
            end_fault()
            self.faulty_targets.discard(target)

        self.schedule(duration_s, end_and_release)

    def schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        """Act after a time."""
        self.pending_actions.append((time.monotonic() + delay_s, act))

    def choose_program(self) -> str:
        """Choose an entry or an agent at random."""
        names = [name for name in self.fleet.processes if name[:5] in PROGRAM_PREFIXES]
        return self.random.choice(sorted(names))

    def reset_machine(self, _duration_s: float) -> None:
        """Reset all connections of a program, once or in a short series.

        Pauses and other faults of the same program may overlap.
        """
        name = self.choose_program()
        delay_s = 0.0
        for _ in range(self.random.randint(1, MAX_RESETS_IN_SERIES)):
            links_first = self.random.random() < 0.5
            skew_s = self.random.uniform(0.0, MAX_RESET_SKEW_S)
            self.schedule(
                delay_s, partial(self.reset_connections, name, skew_s, links_first)
            )
            delay_s += self.random.uniform(*RESET_INTERVAL_S)

    def reset_connections(self, name: str, skew_s: float, links_first: bool) -> None:
        """Reset the connections of an entry, one kind first, or those of an agent."""
        self.last_reset = name
        role, _, index = name.partition("-")
        if role == "agent":
            self.note(f"reset {name}")
            self.fleet.reset_agent(name)
            return
        self.note(f"reset {name}" + ", links first" * links_first)
        proxies = [
            self.fleet.caller_proxies[int(index)],
            self.fleet.link_proxies[int(index)],
        ]
        if links_first:
            proxies.reverse()
        proxies[0].reset_all()
        time.sleep(skew_s)
        proxies[1].reset_all()

    def pause_briefly(self, _duration_s: float) -> None:
        """Pause a program for moments in series, so that it acts late.

        Half of the time it is the program whose connections were reset last.
        """
        name = self.choose_program()
        if self.last_reset and self.random.random() < 0.5:
            name = self.last_reset
        if not self.reserve_target("SIGSTOP", name):
            return
        delay_s = 0.0
        for _ in range(self.random.randint(1, MAX_PAUSES_IN_SERIES)):
            pause_s = self.random.uniform(*SHORT_PAUSE_S)
            self.schedule(delay_s, partial(self.fleet.kill, name, signal.SIGSTOP))
            delay_s += pause_s
            self.schedule(delay_s, partial(self.fleet.kill, name, signal.SIGCONT))
            delay_s += self.random.uniform(*TIME_BETWEEN_PAUSES_S)
        self.schedule_end(delay_s, name, partial(self.fleet.kill, name, signal.SIGCONT))

    def stop_program(self, duration_s: float) -> None:
        """Send SIGKILL or SIGTERM to a program, and restart it when the fault ends."""
        name = self.choose_program()
        signal_number = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        if self.reserve_target(signal_number.name, name):
            self.fleet.kill(name, signal_number)
            self.schedule_end(duration_s, name, lambda: self.fleet.restart(name))

    def pause_or_reload(self, duration_s: float) -> None:
        """Pause a program or a worker with SIGSTOP, or send SIGHUP to a program."""
        name = self.random.choice((self.choose_program(), self.choose_worker()))
        if name.startswith("worker") or self.random.random() < SIGSTOP_SHARE:
            if self.reserve_target("SIGSTOP", name):
                self.fleet.kill(name, signal.SIGSTOP)
                self.schedule_end(
                    duration_s, name, lambda: self.fleet.kill(name, signal.SIGCONT)
                )
        elif self.reserve_target("SIGHUP", name):
            self.fleet.kill(name, signal.SIGHUP)
            self.schedule_end(0.0, name, lambda: None)

    def choose_worker(self) -> str:
        """Choose a worker at random."""
        return f"worker-{self.random.randrange(len(self.fleet.agent_ips))}"

    def disturb_connections(self, duration_s: float) -> None:
        """Delay, block or reset the connections to the store or a worker."""
        index = self.random.randrange(len(self.fleet.proxies()))
        self.disturb_proxy(self.fleet.proxies()[index], f"proxy-{index}", duration_s)

    def disturb_entry_connections(self, duration_s: float) -> None:
        """Delay, block or reset the links or the callers' connections of an entry."""
        index = self.random.randrange(len(self.fleet.entry_proxies()))
        proxy = self.fleet.entry_proxies()[index]
        self.disturb_proxy(proxy, f"entry-proxy-{index}", duration_s)

    def disturb_proxy(self, proxy: FaultyProxy, target: str, duration_s: float) -> None:
        """Delay, block or reset the connections through a proxy."""
        fault = self.random.choice(
            ("delay", "block_to_target", "block_from_target", "block_both", "reset")
        )
        if not self.reserve_target(fault, target):
            return
        proxy.delay_s = self.random.uniform(0.02, 0.3) if fault == "delay" else 0.0
        proxy.block_to_target = fault in ("block_to_target", "block_both")
        proxy.block_from_target = fault in ("block_from_target", "block_both")
        if fault == "reset":
            proxy.reset_all()

        def clear_faults() -> None:
            proxy.delay_s, proxy.block_to_target, proxy.block_from_target = (
                0.0,
                False,
                False,
            )

        self.schedule_end(duration_s, target, clear_faults)

    def disturb_worker(self, duration_s: float) -> None:
        """Make a worker fail runs, hang, refuse calls, drain or lose start orders."""
        index = self.random.randrange(len(self.fleet.agent_ips))
        name = f"worker-{index}"
        fault = self.random.choice(("fail", "hang", "down", "draining", "lose_starts"))
        if not self.reserve_target(fault, name):
            return
        address = self.fleet.worker_address(index)
        value = self.random.randint(1, 4) if fault == "lose_starts" else True
        late_ms = self.random.randint(10, 3_000)
        set_fault(address, {fault: value, "late_ms": late_ms})
        no_fault = 0 if fault == "lose_starts" else False
        self.schedule_end(
            duration_s,
            name,
            lambda: set_fault(address, {fault: no_fault, "late_ms": 0}),
        )

    def disturb_store(self, duration_s: float) -> None:
        """Make the store refuse calls or lose answers."""
        fault = self.random.choice(("outage", "lose_answers"))
        if self.reserve_target(fault, "store"):
            value = 5 if fault == "lose_answers" else True
            set_fault(self.fleet.store_address, {fault: value})
            no_fault = 0 if fault == "lose_answers" else False
            self.schedule_end(
                duration_s,
                "store",
                lambda: set_fault(self.fleet.store_address, {fault: no_fault}),
            )

    def publish_configuration(self, _duration_s: float) -> None:
        """Publish a configuration with a higher version."""
        self.configuration_version += self.random.randint(1, 3)
        self.injected.append(f"configuration {self.configuration_version}")
        self.fleet.publish_configuration(make_configuration(self.configuration_version))


def set_fault(address: str, faults: dict[str, object]) -> None:
    """Set faults of a store or worker stand-in."""
    call_json(address, "POST", "/faults", faults)


def collect_runs(fleet: SoakFleet) -> list[WorkerRun]:
    """Return all runs that worker stand-ins have recorded."""
    return [
        WorkerRun(*row)
        for index in range(len(fleet.agent_ips))
        for row in call_json(fleet.worker_address(index), "GET", "/history")[1]
    ]


def find_broken_promises(records: list[JobRecord], runs: list[WorkerRun]) -> list[str]:
    """Return a description of each broken promise to callers.

    No two runs of a task overlap, no refused job has run, a completed job has run
    all its tasks, and every job gets an answer.
    """
    runs_by_task: dict[str, list[WorkerRun]] = defaultdict(list)
    for run in runs:
        runs_by_task[run.task].append(run)
    broken_promises = [
        f"{task}: two runs at the same time: {first} {second}"
        for task, task_runs in runs_by_task.items()
        for first, second in overlapping_runs(task_runs)
    ]
    started_jobs = {task.partition(".")[0] for task in runs_by_task}
    for record in records:
        if HUNG in record.statuses:
            broken_promises.append(f"{record}: no answer")
        if (
            set(record.statuses) <= set(REFUSED_STATUSES)
            and record.job_id in started_jobs
        ):
            broken_promises.append(f"{record}: refused, but it has run")
        if record.state == "completed":
            broken_promises.extend(
                f"{record}: completed without task {index}"
                for index in range(record.tasks)
                if not any(
                    run.outcome == "done" and run.ended_ms <= record.answered_ms
                    for run in runs_by_task[f"{record.job_id}.0.0.{index}"]
                )
            )
    return broken_promises


def overlapping_runs(runs: list[WorkerRun]) -> list[tuple[WorkerRun, WorkerRun]]:
    """Return the pairs of runs that overlapped in time."""
    ordered = sorted(runs, key=lambda run: run.started_ms)
    return [
        (first, second)
        for index, first in enumerate(ordered)
        for second in ordered[index + 1 :]
        if second.started_ms < first.ended_ms
    ]


def keep_logs(
    directory: Path, fleet: SoakFleet, callers: list[Caller], summary: list[str]
) -> None:
    """Copy the logs of all processes, and write those of callers and a summary."""
    shutil.copytree(fleet.directory.name, directory, dirs_exist_ok=True)
    caller_log = sorted(line for caller in callers for line in caller.log)
    (directory / "callers.log").write_text("\n".join(caller_log) + "\n")
    (directory / "summary.txt").write_text("\n".join(summary) + "\n")


def run_soak(plan: SoakPlan, logs: Path | None = None) -> tuple[list[str], str]:
    """Run one seed; return the broken promises, and a summary line.

    If a promise was broken, the logs are kept in a directory with the seed's number.
    """
    fleet = SoakFleet(plan)
    try:
        with fleet:
            callers = [Caller(fleet, number, plan) for number in range(plan.callers)]
            for caller in callers:
                caller.start()
            injector = FaultInjector(fleet, plan)
            injector.run(plan.seconds)
            broken_promises = check_recovery(fleet)
            for caller in callers:
                caller.stopped.set()
            for caller in callers:
                caller.join(2 * HUNG_TIMEOUT_S)
            records = [record for caller in callers for record in caller.records]
            broken_promises += find_broken_promises(records, collect_runs(fleet))
            broken_promises += fleet.breaches()
            if "Event " in fleet.log_tails() and " failed." in fleet.log_tails():
                broken_promises.append(
                    "exception in the decision code: " + fleet.log_tails()
                )
            if broken_promises and logs is not None:
                # Workers give times of the steady clock, logs those of day.
                clock_offset = f"{time.time() - time.monotonic():.3f} s clock offset"
                started = f"{injector.started_s:.3f} s steady start of faults"
                keep_logs(
                    logs / str(plan.seed),
                    fleet,
                    callers,
                    [str(plan), clock_offset, started]
                    + [*broken_promises, *injector.injected]
                    + [str(run) for run in collect_runs(fleet)],
                )
    finally:
        for proxy in [*fleet.proxies(), *fleet.entry_proxies()]:
            proxy.close()
    served = sum(record.statuses[-1] == 200 for record in records)
    summary = (
        f"seed {plan.seed}: {len(injector.injected)} faults, {served} of {len(records)}"
    )
    return (
        broken_promises,
        f"{summary} jobs served, {len(broken_promises)} broken; {injector.injected}",
    )


def check_recovery(fleet: SoakFleet) -> list[str]:
    """Return the entries that do not serve within ``MAX_RECOVERY_S``."""
    broken_promises = []
    for index in range(len(fleet.entry_ips)):
        deadline_s = time.monotonic() + MAX_RECOVERY_S
        while not serves_a_job(fleet, index):
            if time.monotonic() > deadline_s:
                broken_promises.append(f"entry {index} serves nothing after the faults")
                break
            time.sleep(0.1)
    return broken_promises


def serves_a_job(fleet: SoakFleet, index: int) -> bool:
    """Return whether an entry answers a small job with status 200."""
    job_id = f"ffff{index:04x}{time.monotonic_ns() // 1_000_000 % 2**32:08x}"
    try:
        headers = {"Host": HOST_NAME}
        path = PATH_PREFIX + job_id
        answer = call_json(
            fleet.entry_address(index),
            "POST",
            path,
            make_burst_job(1, 10),
            MAX_RECOVERY_S,
            headers,
        )
    except (OSError, http.client.HTTPException):
        return False
    return answer[0] == 200


def main() -> None:
    """Run the seeds that the arguments name; exit with 1 if one failed."""
    parser = argparse.ArgumentParser(prog="bench.soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--callers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--faults", choices=("mixed", "resets", "all"), default="mixed")
    parser.add_argument("--long-tasks", type=float, default=0.0)
    parser.add_argument("--keep-logs", type=Path)
    arguments = parser.parse_args()
    failed_seeds = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        broken_promises, summary = run_soak(
            SoakPlan(
                seed,
                arguments.entries,
                arguments.workers,
                arguments.callers,
                arguments.seconds,
                arguments.faults,
                arguments.long_tasks,
            ),
            arguments.keep_logs,
        )
        failed_seeds += bool(broken_promises)
        print(summary, *broken_promises, sep="\n  ", flush=True)
    print(f"{arguments.seeds - failed_seeds} passed, {failed_seeds} failed")
    sys.exit(min(1, failed_seeds))


if __name__ == "__main__":
    main()
