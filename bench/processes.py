"""Measures real processes: a whole job, faults, throughput, idle cost."""

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
from bench.fleet import call

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
JOB_TASKS = 1_300
RUN_MS = 100
DEADLINE_MS = 60_000

application = cyclopts.App(help=__doc__)


class Usage(NamedTuple):
    """What a process has used: processor seconds, resident MB."""

    cpu_s: float
    resident_mb: float


def usage_of(pid: int) -> Usage:
    """Read a process's use from the kernel."""
    with open(f"/proc/{pid}/stat") as stream:
        fields = stream.read().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(cpu_s, int(fields[21]) * PAGE_BYTES / 1e6)


def make_job(
    name: str,
    tasks: int = JOB_TASKS,
    run_ms: int = RUN_MS,
    holds: int = 2,
    resubmission: bool = False,
) -> dict[str, Any]:
    """Return a job; every ``holds``-th task is not idempotent."""
    return {
        "submission": f"{name}-{time.time_ns()}",
        "team": "tanjung",
        "deadline_ms": DEADLINE_MS,
        "resubmission": resubmission,
        "tasks": [
            {
                "id": f"t{index}",
                "kind": "hold" if holds and index % holds == 0 else "quote",
                "idempotent": not (holds and index % holds == 0),
                "run_ms": run_ms,
            }
            for index in range(tasks)
        ],
    }


def submit(address: str, job: dict[str, Any]) -> tuple[int, Any, float]:
    """Submit a job and return its status, answer and time in seconds."""
    begun_s = time.monotonic()
    status, answer = call(address, "POST", "/v1/jobs", job, timeout_s=90)
    return status, answer, time.monotonic() - begun_s


def states(answer: dict[str, Any]) -> dict[str, int]:
    """Count the outcomes of an answer's tasks."""
    counts: dict[str, int] = {}
    for task in answer["tasks"]:
        counts[task["state"]] = counts.get(task["state"], 0) + 1
    return counts


@application.command
def whole_job() -> None:
    """Answer a job of 1,300 tasks through 3 entries and 10 agents x 8 slots."""
    with Fleet(3, [TargetPlan()] * 10) as fleet:
        submit(fleet.https[0], make_job("warm", 80))
        status, answer, took_s = submit(fleet.https[0], make_job("whole"))
        ideal_s = -(-JOB_TASKS // 80) * RUN_MS / 1_000
        print(
            f"whole job: HTTP {status} {answer['state']} {states(answer)} in "
            f"{took_s:.2f} s, ideal {ideal_s:.2f} s, ratio {took_s / ideal_s:.2f}, "
            f"most starts of a task {fleet.most_starts()}"
        )


def in_background(fleet: Fleet, job: dict[str, Any]) -> Future[tuple[int, Any, float]]:
    """Submit to entry 0 from a thread."""
    pool = ThreadPoolExecutor(1)
    future = pool.submit(submit, fleet.https[0], job)
    pool.shutdown(wait=False)
    return future


@application.command
def kill_agent() -> None:
    """Kill an agent in mid-job and show what the caller saw."""
    with Fleet(2, [TargetPlan()] * 4) as fleet:
        future = in_background(fleet, make_job("kill-agent", 300, 200))
        time.sleep(1.0)
        fleet.kill("agent-0")
        time.sleep(0.5)
        fleet.start_agent(0)
        status, answer, took_s = future.result(90)
        print(
            f"kill -9 agent: HTTP {status} {answer['state']} {states(answer)} in "
            f"{took_s:.2f} s, most starts of a non-idempotent task "
            f"{most_hold_starts(fleet)}"
        )


def most_hold_starts(fleet: Fleet) -> int:
    """Return the most starts of any task with an even number: the holds."""
    counts: dict[str, int] = {}
    for address in fleet.targets:
        _, body = call(address, "GET", "/starts")
        for key, count in body["starts"].items():
            if int(key.rsplit("/t", 1)[1]) % 2 == 0:
                counts[key] = counts.get(key, 0) + count
    return max(counts.values(), default=0)


@application.command
def kill_entry() -> None:
    """Kill an entry in mid-job; its caller resubmits to another one."""
    with Fleet(2, [TargetPlan()] * 4) as fleet:
        job = make_job("kill-entry", 300, 200)
        future = in_background(fleet, job)
        time.sleep(1.0)
        fleet.kill("entry-0")
        error = future.exception(30)
        again = {**job, "resubmission": True}
        status, answer, took_s = submit(fleet.https[1], again)
        print(
            f"kill -9 entry: first caller saw {type(error).__name__}; resubmitted: "
            f"HTTP {status} {answer['state']} {states(answer)} in {took_s:.2f} s, "
            f"most starts of a non-idempotent task {most_hold_starts(fleet)}"
        )


@application.command
def drain() -> None:
    """SIGTERM an agent, then an entry, in mid-job; nothing is cut off."""
    with Fleet(2, [TargetPlan()] * 4) as fleet:
        future = in_background(fleet, make_job("drain", 300, 200))
        time.sleep(0.7)
        fleet.kill("agent-0", signal.SIGTERM)
        time.sleep(0.3)
        fleet.kill("entry-0", signal.SIGTERM)
        status, answer, took_s = future.result(90)
        codes = [fleet.processes[name].wait(60) for name in ("agent-0", "entry-0")]
        print(
            f"SIGTERM agent and entry: HTTP {status} {answer['state']} "
            f"{states(answer)} in {took_s:.2f} s, exit codes {codes}, most starts "
            f"of a task {fleet.most_starts()}"
        )


@application.command
def preset() -> None:
    """Measure how long a change of preset takes to be in force everywhere."""
    with Fleet(3, [TargetPlan()] * 10) as fleet:
        for version, name in enumerate(("peak", "ordinary", "maintenance")):
            change = {"name": name, "expected_version": version}
            begun_s = time.monotonic()
            status, _ = call(fleet.https[version], "PUT", "/v1/preset", change)
            accepted_s = time.monotonic() - begun_s
            while set(presets_in_force(fleet)) != {name}:
                time.sleep(0.005)
            print(
                f"preset {name}: HTTP {status} after {accepted_s * 1_000:.0f} ms, in "
                f"force at 3 entries and 10 agents within "
                f"{(time.monotonic() - begun_s) * 1_000:.0f} ms"
            )


def presets_in_force(fleet: Fleet) -> list[str]:
    """Return the preset of each entry and agent."""
    entries = [call(item, "GET", "/v1/preset")[1]["name"] for item in fleet.https]
    agents = [
        call(fleet.https[0], "GET", f"/v1/agents/agent-{index}/dump")[1]["preset"]
        for index in range(len(fleet.targets))
    ]
    return entries + agents


@application.command
def throughput(seconds: float = 15.0, callers: int = 12, tasks: int = 200) -> None:
    """Measure task starts per second and per core of one entry."""
    plans = [TargetPlan(slots=96)] * 6
    with Fleet(1, plans, entry_options={"queue_limit": 100_000}) as fleet:
        pid = fleet.processes["entry-0"].pid
        stop_s = time.monotonic() + seconds
        done = [0] * callers

        def work(number: int) -> None:
            while time.monotonic() < stop_s:
                job = make_job(f"load-{number}", tasks, 20, holds=0)
                _, answer, _ = submit(fleet.https[0], job)
                done[number] += states(answer).get("answered", 0)

        before = usage_of(pid)
        begun_s = time.monotonic()
        threads = [
            threading.Thread(target=work, args=(number,)) for number in range(callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        took_s = time.monotonic() - begun_s
        after = usage_of(pid)
        cores = (after.cpu_s - before.cpu_s) / took_s
        rate = sum(done) / took_s
        print(
            f"throughput: {rate:.0f} task starts/s with {cores:.2f} cores of the "
            f"entry, {rate / cores:.0f} per core, resident {after.resident_mb:.0f} MB"
        )


@application.command
def idle(seconds: float = 20.0) -> None:
    """Measure what an idle agent and entry cost."""
    with Fleet(3, [TargetPlan()] * 10) as fleet:
        time.sleep(2.0)
        names = ("agent-0", "agent-1", "entry-0", "entry-1")
        before = {name: usage_of(fleet.processes[name].pid) for name in names}
        bytes_before = link_bytes(fleet)
        time.sleep(seconds)
        sent = (link_bytes(fleet) - bytes_before) / seconds / 10
        for name in names:
            after = usage_of(fleet.processes[name].pid)
            share = (after.cpu_s - before[name].cpu_s) / seconds
            resident = f"{after.resident_mb:.0f} MB resident"
            print(f"idle {name}: {share:.2%} of a core, {resident}")
        print(f"idle payload on links: {sent:.0f} bytes/s per agent, both directions")


def link_bytes(fleet: Fleet) -> float:
    """Return the bytes on the loopback interface, a bound for the links."""
    with open("/proc/net/dev") as stream:
        for line in stream:
            if line.strip().startswith("lo:"):
                return float(line.split(":")[1].split()[0])
    return 0.0


if __name__ == "__main__":
    application()
