"""Runs a job and a burst job through real processes and prints the results."""

from __future__ import annotations

import sys
import time

from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.deployed_fleet import submit_burst_job
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.fleet import call_json

ENTRIES = 2
TARGETS = 4
TASKS = 60


def make_demo_job() -> dict[str, object]:
    """Return a job of quotes, which are idempotent, and berth holds, which are not."""
    tasks = [
        {
            "id": f"task-{index}",
            "kind": "berth-hold" if index % 3 == 0 else "quote",
            "idempotent": index % 3 != 0,
            "run_ms": 50 + 10 * (index % 5),
        }
        for index in range(TASKS)
    ]
    return {
        "submission": f"demo-{time.time_ns()}",
        "team": "tanjung",
        "deadline_ms": 20_000,
        "resubmission": False,
        "tasks": tasks,
    }


def run_burst_job() -> bool:
    """Run a burst job on a deployed fleet; return whether it completed."""
    print("Starting a store, 2 entries, 3 agents with leased workers ...")
    with DeployedFleet(2, 3) as fleet:
        started_s = time.monotonic()
        status, answer = submit_burst_job(
            fleet.entry_address(0), "00000000000000d1", make_burst_job(16, 200)
        )
        elapsed_ms = 1_000 * (time.monotonic() - started_s)
        print(f"HTTP {status}: burst of 16 tasks {answer} in {elapsed_ms:.0f} ms")
    return bool(answer == {"State": "completed"})


def main() -> None:
    """Run both jobs and print their answers; exit with 1 if one did not complete."""
    print(f"Starting a log, {ENTRIES} entries, {TARGETS} agents with targets ...")
    with Fleet(ENTRIES, [TargetPlan()] * TARGETS) as fleet:
        started_s = time.monotonic()
        status, answer = call_json(
            fleet.http_addresses[0], "POST", "/v1/jobs", make_demo_job()
        )
        elapsed_ms = 1_000 * (time.monotonic() - started_s)
        print(f"HTTP {status}: job {answer['state']} in {elapsed_ms:.0f} ms")
        for outcome in answer["tasks"][:6]:
            print(f"  {outcome['id']}: {outcome['state']}: {outcome['answer']}")
        print(f"  ... {len(answer['tasks'])} tasks in all")
        print(f"Starts of the most started task: {fleet.max_task_starts()}")
    burst_completed = run_burst_job()
    if answer["state"] != "complete" or not burst_completed:
        sys.exit(1)


if __name__ == "__main__":
    main()
