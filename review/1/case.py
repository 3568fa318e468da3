"""Large jobs come at once; jobs of the usual size go on before and after them."""

from __future__ import annotations

import os
import time
from pathlib import Path

from fleet import BOUNDS
from fleet import CannotRunError
from fleet import Fleet
from fleet import Request
from fleet import make_config
from fleet import make_job
from fleet import run_case

WORKERS = 3
WORKER_CPU = 64_000
# The pages: "jobs of up to 1,300 tasks".
LARGE_TASKS = 1_300
LARGE_CPU = 48
LARGE_WORK_MS = 200
LARGE_JOBS = WORKERS
USUAL_TASKS = 3
USUAL_WORK_MS = 120
USUAL_JOBS = 30
INTERVAL_S = 0.2
DEADLINE_MS = 1_500
SERVED_SHARE = 0.25


def case(fleet: Fleet, trouble: bool) -> list[str]:
    """Compare the share of usual jobs that is served before and after large jobs."""
    record = fleet.record
    fleet.worker_cpu = WORKER_CPU
    fleet.start(["a,r1-1", "a,r1-2", "a,r1-3"], make_config(1))
    before = served_share(fleet, 0xA000_0000_0000_0000, "before")
    if before < SERVED_SHARE:
        raise CannotRunError("the usual jobs were not served at first")
    if trouble:
        job = make_job(LARGE_TASKS, LARGE_WORK_MS, Cpu=LARGE_CPU)
        large = [
            Request(
                record,
                f"large {number}",
                fleet.front_address(number % 2),
                "POST",
                f"{0xB000_0000_0000_0000 + number:016x}",
                job,
                DEADLINE_MS,
            )
            for number in range(LARGE_JOBS)
        ]
        for request in large:
            request.join()
    else:
        time.sleep(DEADLINE_MS / 1_000)
    record.add("the large jobs are over, and their requesters have left")
    time.sleep(BOUNDS["RecoveryS"])
    note_processor_time(fleet)
    after = served_share(fleet, 0xC000_0000_0000_0000, "after")
    note_processor_time(fleet)
    if after >= SERVED_SHARE:
        return []
    return [
        f"RECOVER: {after:.0%} of the usual jobs are served later than RecoveryS after"
        f" the large jobs, {before:.0%} were before them"
    ]


def served_share(fleet: Fleet, first_id: int, name: str) -> float:
    """Submit usual jobs one after the other; return the share that is completed."""
    requests = []
    for number in range(USUAL_JOBS):
        job = make_job(USUAL_TASKS, USUAL_WORK_MS)
        entry = fleet.front_address(number % 2)
        job_id = f"{first_id + number:016x}"
        requests.append(
            Request(
                fleet.record,
                f"{name} {number}",
                entry,
                "POST",
                job_id,
                job,
                DEADLINE_MS,
            )
        )
        time.sleep(INTERVAL_S)
    for request in requests:
        request.join()
    served = sum(
        request.status == 200 and request.answer == {"State": "completed"}
        for request in requests
    )
    fleet.record.add(f"{name}: {served} of {USUAL_JOBS} usual jobs were served")
    return served / USUAL_JOBS


def note_processor_time(fleet: Fleet) -> None:
    """Note each agent's processor time so far, for information only."""
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    for name, process in fleet.processes.items():
        if name.startswith("agent"):
            stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2]
            ticks = sum(int(field) for field in stat.split()[11:13])
            fleet.record.add(f"{name} has used {ticks / ticks_per_s:.1f} processor s")


run_case(case, Path(__file__).resolve().parent, entries=2, workers=WORKERS)
