"""Resets the channel on which a job's response is on its way.

The requester then sends the job again, to an entry of another zone, and a late copy of
the first request arrives at an entry of a third zone. Without the disruption, the
requester gets its response, and only the late copy comes.
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
    *((f"edge-semarang-{number}", "semarang") for number in (1, 2, 3)),
]
AGENTS = [(f"side-{zone}-1", zone) for zone in ("gresik", "cilacap", "semarang")]
WORK_MS = 2_000
STEP = {"Count": 2, "Cpu": 1_000, "MemMb": 64, "EstimateMs": WORK_MS}
RETRANSMIT_S = GROWN["RetransmitMs"] / 1_000
COPY_DELAY_S = 2.0


async def play(deployment: Deployment) -> list[str]:
    """Lose a response, send the job again, and let a late copy arrive."""
    await deployment.start()
    job_id = new_job_id()

    async def send_again() -> None:
        await asyncio.sleep(RETRANSMIT_S)
        await deployment.submit("edge-cilacap-3", job_id, STEP, WORK_MS)

    async def arrive_late() -> None:
        await asyncio.sleep(COPY_DELAY_S)
        await deployment.submit("edge-semarang-3", job_id, STEP, WORK_MS)

    await deployment.submit(
        "edge-gresik-1", job_id, STEP, WORK_MS, loses_response=is_troubled()
    )
    if is_troubled():
        await asyncio.gather(send_again(), arrive_late())
    else:
        await arrive_late()
    return deployment.overlapping_runs()


run_case(FOLDER, ENTRIES, AGENTS, GROWN, play)
