"""Tests of the memory that received bytes take before a process has read them.

Such bytes count as memory of the machine. Each test suspends the process while clients
send, so that how much waits does not depend on the speed of the machine: it is bounded
by the connections and their receive buffers. The bound is the target of
docs/design/load-and-limits.md: 80% of the machine's memory by the test's own settings,
resident and unread bytes together. Run one of these tests at a time.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest
from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import submit_burst_job
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.hostile_traffic import chunked_body
from bench.hostile_traffic import incomplete_frame
from bench.hostile_traffic import open_clients
from bench.hostile_traffic import read_unread_bytes
from bench.hostile_traffic import read_usage
from bench.hostile_traffic import request_head
from bench.hostile_traffic import sized_body
from bench.processes import make_job
from bench.processes import submit_job

from tests.process.test_hostile_clients import BODY_BYTES
from tests.process.test_hostile_clients import COMPLETED
from tests.process.test_hostile_clients import HEARTBEAT_BYTES
from tests.process.test_hostile_clients import JOB
from tests.process.test_hostile_clients import MEMORY_MB
from tests.process.test_hostile_clients import MIB
from tests.process.test_hostile_clients import SUBMIT_PATH
from tests.process.test_hostile_clients import Clients
from tests.process.test_hostile_clients import behind_an_unanswered_one
from tests.process.test_hostile_clients import submission
from tests.process.test_hostile_requests import suspended

if TYPE_CHECKING:
    from subprocess import Popen

MAX_MB = 0.8 * MEMORY_MB
SAMPLE_INTERVAL_S = 0.02


class PeakMemory:
    """Samples a process's memory with the unread bytes on its port; keeps the peak."""

    def __init__(self, process: Popen[bytes], address: str) -> None:
        self.process_id = process.pid
        self.port = int(address.rpartition(":")[2])
        self.peak_mb = 0.0
        self.peak_unread_mb = 0.0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self.sample_repeatedly, daemon=True)

    def __enter__(self) -> PeakMemory:
        """Start sampling."""
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop sampling."""
        self.done.set()
        self.thread.join()
        print(f"measured: {self.peak_mb:.1f} MB, {self.peak_unread_mb:.1f} MB unread")

    def sample_repeatedly(self) -> None:
        while not self.done.wait(SAMPLE_INTERVAL_S):
            unread_mb = read_unread_bytes([self.port]) / MIB
            resident_mb = read_usage(self.process_id).resident_mb
            self.peak_mb = max(self.peak_mb, resident_mb + unread_mb)
            self.peak_unread_mb = max(self.peak_unread_mb, unread_mb)


def stay_within_memory(process: Popen[bytes], address: str, clients: Clients) -> None:
    """Let clients send while the process is suspended, then let it go on."""
    with PeakMemory(process, address) as memory:
        with suspended(process):
            sending = open_clients(address, *clients)
            sending.__enter__()
        # The process reads what has arrived while the clients are still connected.
        memory.done.wait(2.0)
        sending.__exit__(None, None, None)
    assert process.poll() is None, "the process has exited"
    assert memory.peak_mb < MAX_MB


CALLERS = {
    "whole": Clients(900, submission(BODY_BYTES)),
    "pieces": Clients(900, submission(BODY_BYTES), 8_192),
    "chunks": Clients(900, submission(BODY_BYTES, 65_535)),
    "behind-unanswered": Clients(900, behind_an_unanswered_one(MIB)),
    "answers-not-read": Clients(
        900, request_head("PATCH", SUBMIT_PATH, HOST_NAME) * 4_000, 65_536, False
    ),
}


@pytest.mark.parametrize("kind", CALLERS)
def test_unread_bytes_of_callers(kind: str) -> None:
    with DeployedFleet(1, 1, memory_mb=MEMORY_MB) as fleet:
        address = fleet.entry_address(0)
        stay_within_memory(fleet.processes["entry-0"], address, CALLERS[kind])
        fleet.wait_entry_ready(0)
        assert submit_burst_job(address, "00000000000000ee", JOB) == COMPLETED


@pytest.mark.parametrize(
    ("role", "port_name", "clients"),
    [
        ("entry", "link_port", Clients(900, incomplete_frame(16 * MIB, MIB))),
        ("entry", "ready_port", Clients(900, sized_body("POST", "/", "x", MIB))),
        ("entry", "metrics_port", Clients(900, sized_body("POST", "/", "x", MIB))),
        (
            "agent",
            "control_port",
            Clients(900, sized_body("PUT", "/v1/instances/w", "x", HEARTBEAT_BYTES)),
        ),
        (
            "agent",
            "control_port",
            Clients(900, chunked_body("PUT", "/v1/instances/w", "x", MIB, 65_535)),
        ),
        ("agent", "metrics_port", Clients(900, sized_body("POST", "/", "x", MIB))),
    ],
    ids=["links", "readiness", "metrics", "heartbeats", "chunks", "agent-metrics"],
)
def test_unread_bytes_of_other_listeners(
    role: str, port_name: str, clients: Clients
) -> None:
    with DeployedFleet(1, 1, memory_mb=MEMORY_MB) as fleet:
        ip = (fleet.entry_ips if role == "entry" else fleet.agent_ips)[0]
        address = f"{ip}:{getattr(fleet, port_name)}"
        stay_within_memory(fleet.processes[f"{role}-0"], address, clients)
        fleet.wait_entry_ready(0)
        answer = submit_burst_job(fleet.entry_address(0), "00000000000000ee", JOB)
        assert answer == COMPLETED


@pytest.mark.parametrize(
    ("listener", "clients"),
    [
        ("http", Clients(900, sized_body("POST", "/v1/jobs", "x", 8 * MIB))),
        ("links", Clients(900, incomplete_frame(16 * MIB, MIB))),
    ],
    ids=["http", "links"],
)
def test_unread_bytes_of_own_entry(listener: str, clients: Clients) -> None:
    options: dict[str, object] = {"memory_mb": MEMORY_MB}
    with Fleet(1, [TargetPlan()], entry_options=options) as fleet:
        addresses = fleet.http_addresses if listener == "http" else fleet.link_addresses
        stay_within_memory(fleet.processes["entry-0"], addresses[0], clients)
        status, answer, _ = submit_job(fleet.http_addresses[0], make_job("ordinary", 2))
        assert (status, answer["state"]) == (200, "complete")
