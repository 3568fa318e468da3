"""Tests of the processes beside clients that send whole requests of legal size.

Each guards against a process that exits, hangs, exceeds its memory, or loses an
ordinary caller's job because of what such requests contain: very many tasks, numbers
out of any range, long lists, or long strings. The memory bound is the target of
docs/design/load-and-limits.md: 80% of the machine's memory by the test's own settings.
The ordinary request is sent while these clients are still connected. Run one of these
tests at a time.
"""

from __future__ import annotations

import contextlib
import json
import signal
import threading
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.deployed_fleet import submit_burst_job
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.hostile_traffic import open_each
from bench.hostile_traffic import read_usage
from bench.hostile_traffic import whole_request
from bench.processes import make_job
from bench.processes import submit_job

from tests.process.test_hostile_clients import BODY_BYTES
from tests.process.test_hostile_clients import COMPLETED
from tests.process.test_hostile_clients import HEARTBEAT_BYTES
from tests.process.test_hostile_clients import MEMORY_MB
from tests.process.test_hostile_clients import MIB
from tests.process.test_hostile_clients import SETTLE_S
from tests.process.test_hostile_clients import PeakDescriptors

if TYPE_CHECKING:
    from collections.abc import Iterator
    from subprocess import Popen

MAX_RESIDENT_MB = 0.8 * MEMORY_MB
# There are up to 400 clients; the process itself has up to 30.
MAX_DESCRIPTORS = 450
ORDINARY_ID = "00000000000000ee"
JOB = make_burst_job(2, 20)
BAD_NUMBERS = (2**31, 2**53 + 1, 2**63, 2**64, 10**30, -1)
NUMBER_FIELDS = ("Cpu", "MemMb", "EstimateMs", "AntiAffinity", "Gpu", "TargetMs")
LONG_TEXT = "x" * 248_000
# Requests that arrive in this time are read in one pass afterwards.
SUSPEND_S = 0.2


class Crowd(NamedTuple):
    """Whole requests, each sent on a connection of its own.

    At most ``at_once`` are under way together, so that none is refused because others
    are incomplete.
    """

    requests: Sequence[bytes]
    at_once: int = 400


def submissions(bodies: Sequence[bytes], at_once: int = 400) -> Crowd:
    """Return a submission of its own for each body."""
    return Crowd(
        [
            whole_request("POST", f"{PATH_PREFIX}{number:016x}", HOST_NAME, body)
            for number, body in enumerate(bodies)
        ],
        at_once,
    )


@contextlib.contextmanager
def connected(address: str, crowd: Crowd) -> Iterator[None]:
    """Connect the clients, let them send, and keep them connected."""
    with contextlib.ExitStack() as clients:
        for first in range(0, len(crowd.requests), crowd.at_once):
            requests = crowd.requests[first : first + crowd.at_once]
            clients.enter_context(open_each(address, requests))
        yield


def job_body(work_ms: int = 20, **step: object) -> bytes:
    """Return a job of one step; ``step`` overrides its fields."""
    fields = {"Count": 1, "Cpu": 1_000, "MemMb": 1, "EstimateMs": work_ms, **step}
    spec = json.dumps({"work_ms": work_ms, "cpu": fields["Cpu"]})
    return json.dumps({"Spec": spec, "Burstable": True, "Steps": [fields]}).encode()


def padded_list(member: str, before: str, after: str, size: int) -> bytes:
    """Return a body of this size whose list has as many members as fit."""
    count = (size - len(before) - len(after)) // (len(member) + 1)
    return (before + ",".join([member] * count) + after).encode()


def empty_steps() -> bytes:
    """Return a body with about 87,000 steps."""
    return padded_list("{}", '{"Burstable":true,"Steps":[', "]}", BODY_BYTES)


def heartbeat(**fields: object) -> bytes:
    """Return the heartbeat of another worker of the same service."""
    document: dict[str, object] = {
        "Service": "desk",
        "State": "ready",
        "Seq": 1,
        "Room": {"Cpu": 8_000, "MemMb": 65_536, "Gpu": 0},
        "Labels": ["a", "r1"],
        "ClockMs": 1,
        "born": 1,
        **fields,
    }
    return json.dumps(document).encode()


def many_labels() -> bytes:
    """Return the largest heartbeat, with about 1,400,000 labels."""
    before, _, after = heartbeat(Labels=["?"]).decode().partition('"?"')
    return padded_list('""', before, after, HEARTBEAT_BYTES)


def heartbeats(bodies: Sequence[bytes]) -> Crowd:
    """Return a heartbeat for each body, of a worker that isn't there."""
    return Crowd(
        [whole_request("PUT", "/v1/instances/w-x", "x", body) for body in bodies]
    )


@pytest.fixture
def deployed() -> Iterator[DeployedFleet]:
    with DeployedFleet(1, 1, memory_mb=MEMORY_MB) as started:
        yield started


@contextlib.contextmanager
def beside(process: Popen[bytes], address: str, crowd: Crowd) -> Iterator[None]:
    """Run the body beside clients that have sent their requests; check the process."""
    with PeakDescriptors(process.pid) as descriptors:
        with connected(address, crowd):
            time.sleep(SETTLE_S)
            print(f"measured: {read_usage(process.pid)}")
            yield
        usage = read_usage(process.pid) if process.poll() is None else None
    print(f"measured: {usage}, most descriptors {descriptors.peak}")
    assert usage is not None, "the process has exited"
    assert usage.peak_mb < MAX_RESIDENT_MB
    assert descriptors.peak < MAX_DESCRIPTORS


CALLERS = {
    "one-job-of-1000000-tasks": submissions([job_body(Count=1_000_000)]),
    "jobs-of-10000-tasks": submissions([job_body(Count=10_000)] * 40),
    "jobs-of-rising-width": submissions(
        [job_body(Count=10**power) for power in range(4, 10)]
    ),
    "tiny-tasks": submissions([job_body(Count=100_000, Cpu=1, MemMb=0)]),
    "tiny-tasks-in-many-jobs": submissions(
        [job_body(Count=1_300, Cpu=1, MemMb=0, EstimateMs=1)] * 20
    ),
    "steps-of-87000-members": submissions([empty_steps()] * 250),
    # Jobs that take little of the worker's capacity, and for a long time.
    "long-racks": submissions(
        [job_body(20_000, Cpu=10, DataRack=LONG_TEXT)] * 400, at_once=8
    ),
    "long-labels": submissions([job_body(Requires=LONG_TEXT)] * 400, at_once=8),
}
NUMBERS_OUT_OF_RANGE = submissions(
    [job_body(**{field: number}) for field in NUMBER_FIELDS for number in BAD_NUMBERS]
)


@pytest.mark.parametrize("kind", CALLERS)
def test_entry_beside_whole_requests(deployed: DeployedFleet, kind: str) -> None:
    entry = deployed.processes["entry-0"]
    with beside(entry, deployed.entry_address(0), CALLERS[kind]):
        answer = submit_burst_job(deployed.entry_address(0), ORDINARY_ID, JOB)
        assert answer == COMPLETED
    assert deployed.processes["agent-0"].poll() is None


@contextlib.contextmanager
def suspended(process: Popen[bytes]) -> Iterator[None]:
    """Suspend a process while the body runs."""
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def test_numbers_out_of_range_beside_an_ordinary_job(deployed: DeployedFleet) -> None:
    """Guards against a message that can't be encoded and takes others with it.

    All requests are processed in one pass, as the entry is suspended while they arrive.
    """
    entry, address = deployed.processes["entry-0"], deployed.entry_address(0)
    answers: list[object] = []
    with beside(entry, address, Crowd([])), contextlib.ExitStack() as clients:
        ordinary = threading.Thread(
            target=lambda: answers.append(submit_burst_job(address, ORDINARY_ID, JOB))
        )
        with suspended(entry):
            clients.enter_context(connected(address, NUMBERS_OUT_OF_RANGE))
            ordinary.start()
            time.sleep(SUSPEND_S)
        ordinary.join()
    assert answers == [COMPLETED]
    assert submit_burst_job(address, "00000000000000ef", JOB) == COMPLETED


def test_agent_is_not_overrun_by_tiny_tasks(deployed: DeployedFleet) -> None:
    """Guards against so many runs at once that the agent neglects its links."""
    crowd = CALLERS["tiny-tasks"]
    agent = deployed.processes["agent-0"]
    with connected(deployed.entry_address(0), crowd):
        time.sleep(SETTLE_S)
    usage = read_usage(agent.pid)
    print(f"measured: {usage}")
    assert usage.peak_mb < MAX_RESIDENT_MB
    assert "agent silent" not in deployed.read_log("entry-0")
    answer = submit_burst_job(deployed.entry_address(0), ORDINARY_ID, JOB)
    assert answer == COMPLETED


HEARTBEATS = {
    "many-labels": heartbeats([many_labels()] * 8),
    "numbers-out-of-range": heartbeats(
        [
            heartbeat(**{field: number})
            for field in ("Seq", "ClockMs", "ColdLeftMs", "born")
            for number in BAD_NUMBERS
        ]
        + [
            heartbeat(Room={"Cpu": 8_000, "MemMb": 65_536, "Gpu": 0, field: number})
            for field in ("Cpu", "MemMb", "Gpu")
            for number in BAD_NUMBERS
        ]
    ),
}


@pytest.mark.parametrize("kind", HEARTBEATS)
def test_agent_beside_whole_heartbeats(deployed: DeployedFleet, kind: str) -> None:
    address = f"{deployed.agent_ips[0]}:{deployed.control_port}"
    with beside(deployed.processes["agent-0"], address, HEARTBEATS[kind]):
        answer = submit_burst_job(deployed.entry_address(0), ORDINARY_ID, JOB)
        assert answer == COMPLETED


def test_own_entry_beside_jobs_that_wait_with_large_payloads() -> None:
    """Guards against payloads that leave the byte budget once they are parsed."""
    tasks = [
        {
            "id": f"t{index}",
            "kind": "large",
            "idempotent": True,
            "payload": "x" * 65_000,
            "run_ms": 3_000,
        }
        for index in range(MIB * 7 // 65_000)
    ]
    bodies = [
        json.dumps(
            {
                "submission": f"large-{number}",
                "team": "tanjung",
                "deadline_ms": 60_000,
                "wait": False,
                "tasks": tasks,
            }
        ).encode()
        for number in range(30)
    ]
    requests = [whole_request("POST", "/v1/jobs", "x", body) for body in bodies]
    crowd = Crowd(requests, at_once=2)
    options: dict[str, object] = {"memory_mb": MEMORY_MB}
    ordinary = {**make_job("ordinary", 2), "team": "svidetel"}
    with (
        Fleet(1, [TargetPlan()], entry_options=options) as fleet,
        beside(fleet.processes["entry-0"], fleet.http_addresses[0], crowd),
    ):
        status, answer, _ = submit_job(fleet.http_addresses[0], ordinary)
        assert (status, answer["state"]) == (200, "complete")
