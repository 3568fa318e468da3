"""Tests of the processes beside clients that are not under our control.

Each guards against a process that exits, hangs, or exceeds its memory or descriptors
because of clients that stop before the end of what they send, or don't read. The
memory bound is the target of docs/design/load-and-limits.md: 80% of the machine's
memory by the test's own settings. Ordinary requests are sent while these clients are
still connected. Run one of these tests at a time.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import threading
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.deployed_fleet import make_configuration
from bench.deployed_fleet import submit_burst_job
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.hostile_traffic import chunked_body
from bench.hostile_traffic import incomplete_frame
from bench.hostile_traffic import open_clients
from bench.hostile_traffic import read_usage
from bench.hostile_traffic import request_head
from bench.hostile_traffic import sized_body
from bench.processes import make_job
from bench.processes import submit_job

if TYPE_CHECKING:
    from collections.abc import Iterator
    from subprocess import Popen

MEMORY_MB = 100
MIB = 1024 * 1024
BODY_BYTES = 262_144
HEARTBEAT_BYTES = 4 * MIB
# Time in which a process reads what the clients have sent.
SETTLE_S = 2.0
TIMEOUT_S = 30.0
SAMPLE_INTERVAL_S = 0.01
COMPLETED = (200, {"State": "completed"})
JOB = make_burst_job(2, 20)
SUBMIT_PATH = PATH_PREFIX + "00000000000000aa"
# A head of about 14,000 bytes; short headers take the most memory once parsed.
SHORT_HEADERS = "\r\n".join(f"{number:x}:" for number in range(2_500))


class Clients(NamedTuple):
    """Clients of one kind: how many, what each sends, and how."""

    number: int
    data: bytes
    piece_bytes: int = 65_536
    reads: bool = True


class Bounds(NamedTuple):
    """What a process may use at most, at any time of a test."""

    resident_mb: float = 0.8 * MEMORY_MB
    # There are up to 400 clients; the process itself has up to 30.
    descriptors: int = 450


BOUNDS = Bounds()


class PeakDescriptors:
    """Samples the open descriptors of a process and keeps the highest number."""

    def __init__(self, process_id: int) -> None:
        self.process_id = process_id
        self.peak = 0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self.sample, daemon=True)

    def __enter__(self) -> PeakDescriptors:
        """Start sampling."""
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop sampling."""
        self.done.set()
        self.thread.join()

    def sample(self) -> None:
        while not self.done.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(OSError):
                usage = read_usage(self.process_id)
                self.peak = max(self.peak, usage.descriptors)


@pytest.fixture
def fleet() -> Iterator[DeployedFleet]:
    with DeployedFleet(1, 1, memory_mb=MEMORY_MB) as started:
        yield started


@contextlib.contextmanager
def beside(
    process: Popen[bytes], address: str, clients: Clients, bounds: Bounds = BOUNDS
) -> Iterator[None]:
    """Run the body beside clients that have sent all they can; check the process."""
    with PeakDescriptors(process.pid) as descriptors:
        with open_clients(address, *clients):
            time.sleep(SETTLE_S)
            settled = read_usage(process.pid)
            print(f"measured: {settled}, most descriptors {descriptors.peak}")
            yield
        usage = read_usage(process.pid) if process.poll() is None else None
    assert usage is not None, "the process has exited"
    assert usage.peak_mb < bounds.resident_mb
    assert descriptors.peak < bounds.descriptors


def submission(size: int, chunk_bytes: int = 0) -> bytes:
    """Return a submission that stops before its end."""
    if chunk_bytes:
        return chunked_body("POST", SUBMIT_PATH, HOST_NAME, size, chunk_bytes)
    return sized_body("POST", SUBMIT_PATH, HOST_NAME, size)


def behind_an_unanswered_one(size: int) -> bytes:
    """Return a chunked body without end behind a job of 20 s."""
    job = json.dumps(make_burst_job(1, 20_000)).encode()
    head = request_head("POST", SUBMIT_PATH, HOST_NAME, f"Content-Length: {len(job)}")
    return head + job + submission(size, 65_536)


def padded_request(method: str, path: str, host: str) -> bytes:
    """Return a request whose size divides that of a read of the server.

    The server counts the heads of one read together if the last of them is cut off.
    """
    size = len(request_head(method, path, host, "X: "))
    return request_head(method, path, host, "X: " + "y" * (128 - size))


def get_status(address: str, path: str) -> int:
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request("GET", path)
        return connection.getresponse().status


def submit_ordinary_job(fleet: DeployedFleet) -> object:
    return submit_burst_job(fleet.entry_address(0), "00000000000000ee", JOB)


CALLERS = {
    "whole": Clients(250, submission(BODY_BYTES)),
    "pieces": Clients(250, submission(BODY_BYTES), 8_192),
    "large-chunks": Clients(250, submission(BODY_BYTES, 65_535)),
    "chunks-of-1-byte": Clients(30, submission(100_000, 1)),
    "behind-unanswered": Clients(5, behind_an_unanswered_one(16 * MIB)),
    "answers-not-read": Clients(
        40, padded_request("PATCH", SUBMIT_PATH, HOST_NAME) * 40_000, 8_192, False
    ),
    "heads": Clients(400, request_head("GET", "/", HOST_NAME, SHORT_HEADERS)[:-2]),
}


@pytest.mark.parametrize("kind", CALLERS)
def test_entry_beside_hostile_callers(fleet: DeployedFleet, kind: str) -> None:
    entry = fleet.processes["entry-0"]
    with beside(entry, fleet.entry_address(0), CALLERS[kind]):
        assert submit_ordinary_job(fleet) == COMPLETED


def test_entry_beside_more_connections_than_descriptors() -> None:
    """Guards against connections that begin a request and take all descriptors."""
    clients = Clients(600, b"POST ")
    bounds = BOUNDS._replace(descriptors=300)
    with DeployedFleet(1, 1, memory_mb=MEMORY_MB, descriptors=700) as fleet:
        entry = fleet.processes["entry-0"]
        with beside(entry, fleet.entry_address(0), clients, bounds):
            assert submit_ordinary_job(fleet) == COMPLETED


def test_entry_beside_unidentified_links(fleet: DeployedFleet) -> None:
    clients = Clients(60, incomplete_frame(16 * MIB, MIB))
    address = f"{fleet.entry_ips[0]}:{fleet.link_port}"
    with beside(fleet.processes["entry-0"], address, clients):
        assert submit_ordinary_job(fleet) == COMPLETED


@pytest.mark.parametrize(
    ("role", "path", "clients"),
    [
        ("entry", "/v1/readyz", Clients(40, sized_body("POST", "/", "x", 1_000))),
        ("entry", "/metrics", Clients(24, sized_body("POST", "/", "x", 1_000))),
        ("entry", "/metrics", Clients(24, request_head("GET", "/", "x")[:-2])),
        (
            "entry",
            "/metrics",
            Clients(14, padded_request("GET", "/metrics", "x") * 6_000, 8_192, False),
        ),
        ("agent", "/metrics", Clients(24, request_head("GET", "/", "x")[:-2])),
    ],
    ids=["readiness", "bodies", "heads", "not-read", "agent"],
)
def test_checks_and_metrics_beside_requests_that_stop(
    fleet: DeployedFleet, role: str, path: str, clients: Clients
) -> None:
    ip = (fleet.entry_ips if role == "entry" else fleet.agent_ips)[0]
    port = fleet.metrics_port if path == "/metrics" else fleet.ready_port
    # The first request for metrics imports the library.
    assert get_status(f"{ip}:{port}", path) == 200
    with beside(fleet.processes[f"{role}-0"], f"{ip}:{port}", clients):
        assert get_status(f"{ip}:{port}", path) == 200
    assert submit_ordinary_job(fleet) == COMPLETED


@pytest.mark.parametrize(
    "data",
    [
        sized_body("PUT", "/v1/instances/w-0", "x", HEARTBEAT_BYTES),
        chunked_body("PUT", "/v1/instances/w-0", "x", HEARTBEAT_BYTES, 65_535),
    ],
    ids=["whole", "chunks"],
)
def test_agent_beside_heartbeats_that_stop(fleet: DeployedFleet, data: bytes) -> None:
    agent, ip = fleet.processes["agent-0"], fleet.agent_ips[0]
    with beside(agent, f"{ip}:{fleet.control_port}", Clients(28, data)):
        assert submit_ordinary_job(fleet) == COMPLETED


def test_entry_without_configuration_beside_hostile_callers() -> None:
    """Guards against limits before the first configuration that are too high."""
    clients = Clients(120, submission(MIB))
    with DeployedFleet(1, 1, memory_mb=MEMORY_MB, configured=False) as fleet:
        entry = fleet.processes["entry-0"]
        with beside(entry, fleet.entry_address(0), clients):
            fleet.publish_configuration(make_configuration(1))
            fleet.configured = True
            fleet.wait_entry_ready(0)
            assert submit_ordinary_job(fleet) == COMPLETED


@pytest.mark.parametrize(
    ("listener", "clients"),
    [
        ("http", Clients(20, sized_body("POST", "/v1/jobs", "x", 8 * MIB))),
        ("http", Clients(20, chunked_body("POST", "/v1/jobs", "x", 8 * MIB, 65_535))),
        ("links", Clients(60, incomplete_frame(16 * MIB, MIB))),
    ],
    ids=["whole", "chunks", "links"],
)
def test_own_entry_beside_hostile_clients(listener: str, clients: Clients) -> None:
    options: dict[str, object] = {"memory_mb": MEMORY_MB}
    with Fleet(1, [TargetPlan()], entry_options=options) as fleet:
        addresses = fleet.http_addresses if listener == "http" else fleet.link_addresses
        with beside(fleet.processes["entry-0"], addresses[0], clients):
            status, answer, _ = submit_job(
                fleet.http_addresses[0], make_job("ordinary", 2)
            )
            assert (status, answer["state"]) == (200, "complete")
