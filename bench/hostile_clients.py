"""Measures what clients that are not under the system's control cost others.

``python -m bench.hostile_clients`` measures an ordinary caller's response time beside
clients that stop early or send costly requests. The target is a median of at most 1.5
times that without such clients. For each kind of them, both are measured one after the
other, with one entry and two workers; the clients run in a process of their own, and
connect again every second.

``python -m bench.hostile_clients hold`` measures how long requests of legal size hold
the loop while they are decoded and decided on. The target is 10 ms on a whole core.
"""

from __future__ import annotations

import json
import multiprocessing
import random
import statistics
import time
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts
from returns.result import Success

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
from bench.hostile_traffic import whole_request
from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.configuration import Route
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.burst import WorkerProfile
from sardineferry.messages.burst import WorkerRoom
from sardineferry.platform.callers import parse_job
from sardineferry.platform.heartbeats import parse_heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["main"]

BODY_BYTES = 262_144
HOLD_S = 1.0
# The clients have sent what they can by then.
WARM_UP_S = 3.0
MS_PER_S = 1_000
SUBMIT_PATH = PATH_PREFIX + "00000000000000aa"
HEARTBEAT_BYTES = 4 * 1024 * 1024
REPEATS = 20

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
        **{
            name: Traffic(whole_request(*target, body))
            for name, body in costly_bodies().items()
        },
    }


def fill_list(member: bytes, before: bytes, after: bytes, size: int) -> bytes:
    """Return a document of this size with as many members as fit into a list."""
    count = (size - len(before) - len(after)) // (len(member) + 1)
    return before + b",".join([member] * count) + after


def costly_bodies() -> dict[str, bytes]:
    """Return bodies of legal size that would take much memory or time."""
    steps = {"Count": 10**6, "Cpu": 1_000, "MemMb": 1, "EstimateMs": 20}
    tiny = {"Count": 5_000, "Cpu": 1, "EstimateMs": 1}
    return {
        "wide jobs": json.dumps({"Burstable": True, "Steps": [steps]}).encode(),
        "tiny tasks": json.dumps({"Burstable": True, "Steps": [tiny]}).encode(),
        "many steps": fill_list(b"{}", b'{"Steps":[', b"]}", BODY_BYTES),
        "unknown members": fill_list(b"[{}]", b'{"X":[', b"]}", BODY_BYTES),
        "long name": b'{"Steps":[{"DataRack":"' + b"x" * 250_000 + b'"}]}',
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


@application.command
def hold() -> None:
    """Print the longest and the median time that each request holds the loop."""
    print("request           median ms  longest ms")
    for name, body in costly_bodies().items():
        print_times(name, partial(decide_on, body))
    labels = fill_list(b'""', b'{"Labels":[', b"]}", HEARTBEAT_BYTES)
    print_times("heartbeat", lambda: parse_heartbeat("w", labels))


def print_times(name: str, process: Callable[[], object]) -> None:
    """Print the times of a number of calls."""
    times_ms = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        process()
        times_ms.append((time.perf_counter() - started_s) * MS_PER_S)
    print(f"{name:<16}  {statistics.median(times_ms):9.2f}  {max(times_ms):10.2f}")


def decide_on(body: bytes) -> None:
    """Decode a submission, and let an entry with two workers decide on it."""
    core = make_entry()
    parsed = parse_job("00000000000000aa", body)
    job = parsed.value_or(None)
    if job is not None:
        core.handle(SubmitJob(1, HOST_NAME, SUBMIT_PATH, job), "", 20_100)
        core.conclude(20_100, 20_100)


def make_entry() -> BurstEntryCore:
    """Return an entry to which two large workers are linked."""
    route = Route(
        "holds", HOST_NAME, PATH_PREFIX, "desk", 0, 1_000, 3, 2.0, 0, needs_advice=False
    )
    configuration = Configuration(1, (route,), EdgeLimits(), b"1")
    state = BurstEntryState(
        "e", "i", "dc", 6_000, lambda _: Success(configuration), random.Random(1)
    )
    core = BurstEntryCore(state)
    core.tick(10_000)
    core.handle(ConfigurationRead(b"1"), "", 10_000)
    core.tick(19_900)
    core.conclude(19_900, 19_900)
    total = Resources(64_000, 65_536, 0)
    for name in "ab":
        core.handle(WorkerAnnounce(name, "1", "dc"), name, 19_900)
        core.handle(WorkerProfile("desk", total, ("a",), 1, False), name, 19_900)
        core.handle(WorkerRoom(19_900, total, True, 0, 0.0, 1), name, 19_900)
    return core


if __name__ == "__main__":
    application()
