"""Measures an ordinary caller's response time beside clients that stop early.

Run as ``python -m bench.hostile_clients``. The target is a median of at most 1.5 times
that without such clients. For each kind of them, both are measured one after the other,
with one entry and two workers; the clients run in a process of their own, and connect
again every second.
"""

from __future__ import annotations

import multiprocessing
import statistics
import time
from typing import NamedTuple

import cyclopts

from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.deployed_fleet import submit_burst_job
from bench.hostile_traffic import chunked_body
from bench.hostile_traffic import open_clients
from bench.hostile_traffic import read_usage
from bench.hostile_traffic import request_head
from bench.hostile_traffic import sized_body

__all__ = ["main"]

BODY_BYTES = 262_144
HOLD_S = 1.0
# The clients have sent what they can by then.
WARM_UP_S = 3.0
MS_PER_S = 1_000
SUBMIT_PATH = PATH_PREFIX + "00000000000000aa"

application = cyclopts.App(name="hostile_clients")


class Traffic(NamedTuple):
    """What each client sends, and in pieces of which size."""

    data: bytes
    piece_bytes: int = 65_536


def traffic_kinds() -> dict[str, Traffic]:
    """Return the kinds of clients."""
    target = ("POST", SUBMIT_PATH, HOST_NAME)
    body = sized_body(*target, BODY_BYTES)
    return {
        "whole": Traffic(body),
        "pieces": Traffic(body, 8_192),
        "large chunks": Traffic(chunked_body(*target, BODY_BYTES, 65_535)),
        "chunks of 1 byte": Traffic(chunked_body(*target, 100_000, 1)),
        "heads": Traffic(request_head(*target)[:-2]),
    }


def connect_repeatedly(address: str, clients: int, traffic: Traffic) -> None:
    """Connect clients and let them send, again and again, until terminated."""
    while True:
        with open_clients(address, clients, *traffic):
            time.sleep(HOLD_S)


def measure_ms(fleet: DeployedFleet, first_job: int, jobs: int) -> list[float]:
    """Submit jobs one after the other, and return their response times."""
    times_ms = []
    for number in range(first_job, first_job + jobs):
        started_s = time.monotonic()
        status, _ = submit_burst_job(
            fleet.entry_address(0), f"{number:016x}", make_burst_job(2, 20)
        )
        if status == 200:
            times_ms.append((time.monotonic() - started_s) * MS_PER_S)
    return times_ms


@application.default
def main(clients: int = 200, jobs: int = 100, memory_mb: int = 200) -> None:
    """Print the median with and without clients of each kind, and their ratio.

    Args:
        clients: How many such clients there are.
        jobs: How many jobs are measured for each median.
        memory_mb: The memory of the machines, by the programs' settings.

    """
    print("kind              without ms  with ms  ratio  slowest ms  answered  peak MB")
    for kind, traffic in traffic_kinds().items():
        with DeployedFleet(1, 2, memory_mb=memory_mb) as fleet:
            measure_ms(fleet, 1, 10)
            without_ms = measure_ms(fleet, 1_000, jobs)
            sender = multiprocessing.get_context("spawn").Process(
                target=connect_repeatedly,
                args=(fleet.entry_address(0), clients, traffic),
            )
            sender.start()
            time.sleep(WARM_UP_S)
            with_ms = measure_ms(fleet, 10_000, jobs)
            sender.terminate()
            sender.join()
            peak_mb = read_usage(fleet.processes["entry-0"].pid).peak_mb
        medians = statistics.median(without_ms), statistics.median(with_ms or [0.0])
        print(
            f"{kind:<16}  {medians[0]:10.1f}  {medians[1]:7.1f}  "
            f"{medians[1] / medians[0]:5.2f}  {max(with_ms, default=0.0):10.1f}  "
            f"{len(with_ms):5}/{jobs}  {peak_mb:7.1f}",
            flush=True,
        )


if __name__ == "__main__":
    application()
