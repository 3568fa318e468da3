"""Measures real processes: a large job, faults, throughput and idle cost."""

from __future__ import annotations

import os
import signal
import threading
import time
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from typing import NamedTuple

import cyclopts

from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.fleet import call_json

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
JOB_TASKS = 1_300
TASK_RUN_MS = 100
DEADLINE_MS = 60_000

application = cyclopts.App(help=__doc__)


class Usage(NamedTuple):
    """The processor time and resident memory of a process so far."""

    cpu_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Read the usage of a process from /proc."""
    with open(f"/proc/{pid}/stat") as stat_file:
        fields = stat_file.read().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return Usage(cpu_s, int(fields[21]) * PAGE_BYTES / 1e6)


def make_job(
    name: str,
    tasks: int = JOB_TASKS,
    run_ms: int = TASK_RUN_MS,
    hold_every: int = 2,
    resubmission: bool = False,
) -> dict[str, Any]:
    """Return a job in which every ``hold_every``-th task is a hold, which runs once.

    With ``hold_every`` 0 all tasks are idempotent.
    """
    return {
        "submission": f"{name}-{time.time_ns()}",
        "team": "tanjung",
        "deadline_ms": DEADLINE_MS,
        "resubmission": resubmission,
        "tasks": [
            {
                "id": f"t{index}",
                "kind": "hold" if hold_every and index % hold_every == 0 else "quote",
                "idempotent": not (hold_every and index % hold_every == 0),
                "run_ms": run_ms,
            }
            for index in range(tasks)
        ],
    }


def submit_job(address: str, job: dict[str, Any]) -> tuple[int, Any, float]:
    """Submit a job, and return status, answer and duration in seconds."""
    started_s = time.monotonic()
    status, answer = call_json(address, "POST", "/v1/jobs", job, timeout_s=90)
    return status, answer, time.monotonic() - started_s


def count_states(answer: dict[str, Any]) -> dict[str, int]:
    """Count the tasks of an answer by state."""
    counts: dict[str, int] = {}
    for task in answer["tasks"]:
        counts[task["state"]] = counts.get(task["state"], 0) + 1
    return counts


@application.command
def whole_job() -> None:
    """Answer a job of 1,300 tasks through 3 entries and 10 agents x 8 slots."""
    with Fleet(3, [TargetPlan()] * 10) as fleet:
        submit_job(fleet.http_addresses[0], make_job("warm", 80))
        status, answer, elapsed_s = submit_job(
            fleet.http_addresses[0], make_job("whole")
        )
        ideal_s = -(-JOB_TASKS // 80) * TASK_RUN_MS / 1_000
        print(
            f"whole job: HTTP {status} {answer['state']} {count_states(answer)} in "
            f"{elapsed_s:.2f} s, ideal {ideal_s:.2f} s, "
            f"ratio {elapsed_s / ideal_s:.2f}, "
            f"most starts of a task {fleet.max_task_starts()}"
        )


def submit_in_background(
    fleet: Fleet, job: dict[str, Any]
) -> Future[tuple[int, Any, float]]:
    """Submit a job to entry 0 in a thread."""
    pool = ThreadPoolExecutor(1)
    future = pool.submit(submit_job, fleet.http_addresses[0], job)
    pool.shutdown(wait=False)
    return future


@application.command
def kill_agent() -> None:
    """Kill an agent during a job, and print the answer that the caller got."""
    with Fleet(2, [TargetPlan()] * 4) as fleet:
        future = submit_in_background(fleet, make_job("kill-agent", 300, 200))
        time.sleep(1.0)
        fleet.kill("agent-0")
        time.sleep(0.5)
        fleet.start_agent(0)
        status, answer, elapsed_s = future.result(90)
        print(
            f"kill -9 agent: HTTP {status} {answer['state']} {count_states(answer)} in "
            f"{elapsed_s:.2f} s, most starts of a non-idempotent task "
            f"{max_hold_starts(fleet)}"
        )


def max_hold_starts(fleet: Fleet) -> int:
    """Return the number of starts of the hold that was started most often.

    With the defaults of ``make_job``, holds are the tasks with even numbers.
    """
    counts: dict[str, int] = {}
    for address in fleet.target_addresses:
        _, body = call_json(address, "GET", "/starts")
        for key, count in body["starts"].items():
            if int(key.rsplit("/t", 1)[1]) % 2 == 0:
                counts[key] = counts.get(key, 0) + count
    return max(counts.values(), default=0)


@application.command
def kill_entry() -> None:
    """Kill an entry during a job, and resubmit the job to another entry."""
    with Fleet(2, [TargetPlan()] * 4) as fleet:
        job = make_job("kill-entry", 300, 200)
        future = submit_in_background(fleet, job)
        time.sleep(1.0)
        fleet.kill("entry-0")
        first_error = future.exception(30)
        resubmitted_job = {**job, "resubmission": True}
        status, answer, elapsed_s = submit_job(fleet.http_addresses[1], resubmitted_job)
        print(
            f"kill -9 entry: first caller saw {type(first_error).__name__}; "
            f"resubmitted: HTTP {status} {answer['state']} {count_states(answer)} "
            f"in {elapsed_s:.2f} s, "
            f"most starts of a non-idempotent task {max_hold_starts(fleet)}"
        )


@application.command
def drain() -> None:
    """Send SIGTERM to an agent and an entry during a job, which should complete."""
    with Fleet(2, [TargetPlan()] * 4) as fleet:
        future = submit_in_background(fleet, make_job("drain", 300, 200))
        time.sleep(0.7)
        fleet.kill("agent-0", signal.SIGTERM)
        time.sleep(0.3)
        fleet.kill("entry-0", signal.SIGTERM)
        status, answer, elapsed_s = future.result(90)
        exit_codes = [fleet.processes[name].wait(60) for name in ("agent-0", "entry-0")]
        print(
            f"SIGTERM agent and entry: HTTP {status} {answer['state']} "
            f"{count_states(answer)} in {elapsed_s:.2f} s, exit codes {exit_codes}, "
            f"most starts of a task {fleet.max_task_starts()}"
        )


@application.command
def preset() -> None:
    """Measure how long a new preset takes to be in force on all processes."""
    with Fleet(3, [TargetPlan()] * 10) as fleet:
        for version, name in enumerate(("peak", "ordinary", "maintenance")):
            change = {"name": name, "expected_version": version}
            started_s = time.monotonic()
            status, _ = call_json(
                fleet.http_addresses[version], "PUT", "/v1/preset", change
            )
            accepted_s = time.monotonic() - started_s
            while set(read_presets(fleet)) != {name}:
                time.sleep(0.005)
            print(
                f"preset {name}: HTTP {status} after {accepted_s * 1_000:.0f} ms, in "
                f"force at 3 entries and 10 agents within "
                f"{(time.monotonic() - started_s) * 1_000:.0f} ms"
            )


def read_presets(fleet: Fleet) -> list[str]:
    """Return the preset in force on each entry and agent."""
    entries = [
        call_json(item, "GET", "/v1/preset")[1]["name"] for item in fleet.http_addresses
    ]
    agents = [
        call_json(fleet.http_addresses[0], "GET", f"/v1/agents/agent-{index}/dump")[1][
            "preset"
        ]
        for index in range(len(fleet.target_addresses))
    ]
    return entries + agents


@application.command
def throughput(seconds: float = 15.0, callers: int = 12, tasks: int = 200) -> None:
    """Measure the task starts per second and per processor core of one entry."""
    plans = [TargetPlan(slots=96)] * 6
    with Fleet(1, plans, entry_options={"queue_limit": 100_000}) as fleet:
        pid = fleet.processes["entry-0"].pid
        deadline_s = time.monotonic() + seconds
        answered_tasks = [0] * callers

        def submit_jobs(caller: int) -> None:
            while time.monotonic() < deadline_s:
                job = make_job(f"load-{caller}", tasks, 20, hold_every=0)
                _, answer, _ = submit_job(fleet.http_addresses[0], job)
                answered_tasks[caller] += count_states(answer).get("answered", 0)

        before = read_usage(pid)
        started_s = time.monotonic()
        threads = [
            threading.Thread(target=submit_jobs, args=(caller,))
            for caller in range(callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - started_s
        after = read_usage(pid)
        cores = (after.cpu_s - before.cpu_s) / elapsed_s
        starts_per_s = sum(answered_tasks) / elapsed_s
        print(
            f"throughput: {starts_per_s:.0f} task starts/s with {cores:.2f} cores of "
            f"the entry, {starts_per_s / cores:.0f} per core, "
            f"resident {after.resident_mb:.0f} MB"
        )


@application.command
def idle(seconds: float = 20.0) -> None:
    """Measure the processor time and memory of idle agents and entries."""
    with Fleet(3, [TargetPlan()] * 10) as fleet:
        time.sleep(2.0)
        names = ("agent-0", "agent-1", "entry-0", "entry-1")
        usage_before = {name: read_usage(fleet.processes[name].pid) for name in names}
        bytes_before = read_loopback_bytes(fleet)
        time.sleep(seconds)
        bytes_per_s = (read_loopback_bytes(fleet) - bytes_before) / seconds / 10
        for name in names:
            usage_after = read_usage(fleet.processes[name].pid)
            cores = (usage_after.cpu_s - usage_before[name].cpu_s) / seconds
            resident = f"{usage_after.resident_mb:.0f} MB resident"
            print(f"idle {name}: {cores:.2%} of a core, {resident}")
        print(
            f"idle payload on links: {bytes_per_s:.0f} bytes/s per agent, "
            f"both directions"
        )


def read_loopback_bytes(fleet: Fleet) -> float:
    """Return the bytes received on loopback so far, an upper bound for the links."""
    with open("/proc/net/dev") as dev_file:
        for line in dev_file:
            if line.strip().startswith("lo:"):
                return float(line.split(":")[1].split()[0])
    return 0.0


if __name__ == "__main__":
    application()
