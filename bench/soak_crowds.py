"""Crowds of clients that misbehave, as a fault of a soak test, see ``bench.soak``."""

from __future__ import annotations

import json
import random
import socket
import struct
import threading
from typing import TYPE_CHECKING

from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import make_burst_job
from bench.hostile_traffic import chunked_body
from bench.hostile_traffic import open_each
from bench.hostile_traffic import read_usage
from bench.hostile_traffic import request_head
from bench.hostile_traffic import sized_body
from bench.hostile_traffic import whole_request
from sardineferry.loop import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.deployed_fleet import DeployedFleet

__all__ = ["Crowd", "find_exceeded_memory", "make_heartbeat", "make_submission"]

CLIENTS = 60
BODY_BYTES = 262_144
# Tasks of jobs that no fleet of a soak test could run in time.
WIDE_TASKS = (1_000, 5_000, 5_001, 10**6, 10**9)
BAD_NUMBERS = (-1, 2**31, 2**63, 2**64, 10**30)
NUMBER_FIELDS = ("Count", "Cpu", "MemMb", "EstimateMs", "AntiAffinity")
# Time for which the clients of a crowd stay connected before they are replaced.
HOLD_S = (0.05, 0.5)
MEMORY_SHARE = 0.8
# Closing a socket with this option resets its connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def make_submission(rng: random.Random) -> bytes:
    """Return a submission of a random kind, of legal size: whole or without its end."""
    path = f"{PATH_PREFIX}eeee{rng.getrandbits(48):012x}"
    target = ("POST", path, HOST_NAME)
    kind = rng.randrange(6)
    if kind == 0:
        return sized_body(*target, BODY_BYTES)
    if kind == 1:
        return chunked_body(*target, BODY_BYTES, rng.choice((1, 4_096, 65_535)))
    if kind == 2:
        return request_head(*target)[: rng.randint(1, 60)]
    cpu = rng.choice((1, 1_000))
    job = make_burst_job(1, 20, cpu)
    step: dict[str, object] = {"Count": 1, "Cpu": cpu, "MemMb": 1, "EstimateMs": 20}
    if kind == 3:
        step["Count"] = rng.choice(WIDE_TASKS)
    elif kind == 4:
        step[rng.choice(NUMBER_FIELDS)] = rng.choice(BAD_NUMBERS)
    else:
        step["DataRack"] = "x" * rng.choice((1_000, 200_000))
    body = json.dumps({**job, "Steps": [step]}).encode()
    return whole_request(*target, body)


def make_heartbeat(rng: random.Random) -> bytes:
    """Return a heartbeat of a worker that isn't there, without its end or invalid."""
    target = ("PUT", f"/v1/instances/x-{rng.getrandbits(32)}", "x")
    if rng.random() < 0.5:
        return sized_body(*target, rng.choice((1_000, 4 * 1024 * 1024)))
    document = {"Service": "desk", "State": "ready", "Seq": rng.choice(BAD_NUMBERS)}
    return whole_request(*target, json.dumps(document).encode())


class Crowd(threading.Thread):
    """Clients that connect to an address again and again until stopped.

    In between some connections are reset in series.
    """

    def __init__(
        self,
        address: str,
        seed: str,
        make_request: Callable[[random.Random], bytes],
    ) -> None:
        """Set the address, and how the requests are made."""
        super().__init__(daemon=True)
        self.address = address
        self.random = random.Random(seed)
        self.make_request = make_request
        self.stopped = threading.Event()

    def run(self) -> None:
        """Connect clients, let them send and hold them, until stopped."""
        while not self.stopped.is_set():
            requests = [self.make_request(self.random) for _ in range(CLIENTS)]
            with open_each(self.address, requests):
                self.stopped.wait(self.random.uniform(*HOLD_S))
            self.reset_in_series()

    def reset_in_series(self) -> None:
        """Open connections, send the beginning of a request and reset them."""
        for _ in range(self.random.randrange(CLIENTS)):
            request = self.make_request(self.random)
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                client.settimeout(1.0)
                try:
                    client.connect(split_address(self.address))
                    client.send(request[:4_096])
                except OSError:
                    return


def find_exceeded_memory(fleet: DeployedFleet) -> list[str]:
    """Return the running entries and agents that exceeded their share of memory."""
    limit_mb = MEMORY_SHARE * fleet.memory_mb
    exceeded = []
    for name, process in fleet.processes.items():
        if name.partition("-")[0] in ("entry", "agent") and process.poll() is None:
            peak_mb = read_usage(process.pid).peak_mb
            if peak_mb > limit_mb:
                exceeded.append(f"{name} took {peak_mb:.0f} MB of {limit_mb:.0f}")
    return exceeded
