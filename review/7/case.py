"""Resets the channels on which the responses of short jobs are on their way.

Each requester sends its job again, to an entry of another zone, and a late copy of its
first request arrives at the next entry of that zone, within the time of a task. Without
the disruption, the requesters get their responses, and only the late copies come.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

from standins import GROWN  # noqa: E402
from standins import Deployment  # noqa: E402
from standins import is_troubled  # noqa: E402
from standins import new_job_id  # noqa: E402
from standins import run_case  # noqa: E402

ENTRIES = [
    ("edge-gresik-1", "gresik"),
    *((f"edge-cilacap-{number}", "cilacap") for number in (1, 2, 3)),
]
AGENTS = [
    ("side-gresik-1", "gresik"),
    *((f"side-cilacap-{number}", "cilacap") for number in (1, 2, 3)),
]
JOBS = 4
WORK_MS = 150
STEP = {"Count": 2, "Cpu": 1_000, "MemMb": 64, "EstimateMs": WORK_MS}
RETRANSMIT_S = GROWN["RetransmitMs"] / 1_000
COPY_DELAY_S = RETRANSMIT_S + 0.06


async def play(deployment: Deployment) -> list[str]:
    """Play the jobs one after the other."""
    await deployment.start()

    async def send(delay_s: float, entry: str, job_id: str) -> None:
        await asyncio.sleep(delay_s)
        await deployment.submit(entry, job_id, STEP, WORK_MS)

    for _ in range(JOBS):
        job_id = new_job_id()
        await deployment.submit(
            "edge-gresik-1", job_id, STEP, WORK_MS, loses_response=is_troubled()
        )
        arrivals = [send(COPY_DELAY_S, "edge-cilacap-3", job_id)]
        if is_troubled():
            arrivals.append(send(RETRANSMIT_S, "edge-cilacap-2", job_id))
        await asyncio.gather(*arrivals)
    return deployment.overlapping_runs()


run_case(FOLDER, ENTRIES, AGENTS, GROWN, play)
