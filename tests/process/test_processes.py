"""Tests of the entry and agent processes for the product's own jobs.

They run as real processes on loopback ports, with stand-ins for the log and the
targets.
"""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

import pytest
from bench.fleet import BIN_DIR
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.fleet import call_json
from bench.processes import count_states
from bench.processes import make_job
from bench.processes import max_hold_starts
from bench.processes import submit_job

from sardineferry.entry.requests import MAX_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(2, [TargetPlan()] * 2) as started:
        yield started


def wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(POLL_INTERVAL_S)
    pytest.fail("the condition did not hold in time")


def run_operator_command(*arguments: str) -> tuple[int, str]:
    process = subprocess.run(
        [str(BIN_DIR / "sardineferry"), *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    return process.returncode, process.stdout + process.stderr


def target_has_started_task(fleet: Fleet, index: int) -> Callable[[], bool]:
    """Return a condition: the target with this index has started a task."""

    def check() -> bool:
        _, body = call_json(fleet.target_addresses[index], "GET", "/starts")
        return bool(body["starts"])

    return check


def test_largest_job_completes(fleet: Fleet) -> None:
    status, answer, _ = submit_job(
        fleet.http_addresses[0], make_job("largest", 1_300, 2)
    )
    assert (status, answer["state"], len(answer["tasks"])) == (200, "complete", 1_300)
    assert fleet.max_task_starts() == 1


def test_every_task_has_an_outcome_after_agent_is_killed(fleet: Fleet) -> None:
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(
            submit_job, fleet.http_addresses[0], make_job("kill", 64, 300)
        )
        wait_until(target_has_started_task(fleet, 0))
        fleet.kill("agent-0")
        fleet.start_agent(0)
        _, answer, _ = future.result(TIMEOUT_S)
    outcomes = count_states(answer)
    assert sum(outcomes.values()) == 64
    assert set(outcomes) <= {"answered", "unknown"}
    # At most one task for each of the target's 8 slots.
    assert outcomes.get("unknown", 0) <= 8
    assert max_hold_starts(fleet) == 1


def test_other_entry_completes_job_of_killed_entry(fleet: Fleet) -> None:
    job = make_job("kill", 64, 300)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(submit_job, fleet.http_addresses[0], job)
        wait_until(target_has_started_task(fleet, 0))
        fleet.kill("entry-0")
        assert future.exception(TIMEOUT_S) is not None
    _, answer, _ = submit_job(fleet.http_addresses[1], {**job, "resubmission": True})
    assert answer["state"] == "complete"
    assert count_states(answer) == {"answered": 64}
    assert max_hold_starts(fleet) == 1


@pytest.mark.parametrize("name", ["agent-0", "entry-0"])
def test_job_completes_after_sigterm(fleet: Fleet, name: str) -> None:
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(
            submit_job, fleet.http_addresses[0], make_job("term", 64, 200)
        )
        wait_until(target_has_started_task(fleet, 0))
        fleet.kill(name, signal.SIGTERM)
        status, answer, _ = future.result(TIMEOUT_S)
    assert (status, answer["state"]) == (200, "complete")
    assert fleet.processes[name].wait(TIMEOUT_S) == 0
    assert fleet.max_task_starts() == 1


def test_one_of_concurrent_preset_changes_is_accepted(fleet: Fleet) -> None:
    with ThreadPoolExecutor(8) as pool:
        preset_names = ["peak", "maintenance"] * 4
        results = list(
            pool.map(
                lambda item: run_operator_command(
                    "preset",
                    "set",
                    fleet.http_addresses[item[0] % 2],
                    item[1],
                    "--expect",
                    "0",
                ),
                enumerate(preset_names),
            )
        )
    accepted = [text for code, text in results if code == 0]
    assert len(accepted) == 1
    preset = json.loads(accepted[0])
    assert preset["version"] == 1

    def is_in_force_everywhere() -> bool:
        presets = [
            call_json(item, "GET", "/v1/preset")[1] for item in fleet.http_addresses
        ]
        dumps = [
            call_json(fleet.http_addresses[0], "GET", f"/v1/agents/agent-{index}/dump")[
                1
            ]
            for index in range(2)
        ]
        in_force = [item["name"] for item in presets] + [
            item["preset"] for item in dumps
        ]
        return in_force == [preset["name"]] * 4

    wait_until(is_in_force_everywhere)


def test_restarted_entry_gets_preset_from_others_during_log_outage(
    fleet: Fleet,
) -> None:
    change = {"name": "peak", "expected_version": 0}
    assert call_json(fleet.http_addresses[0], "PUT", "/v1/preset", change)[0] == 200
    call_json(fleet.log_address, "POST", "/faults", {"outage": True})
    fleet.kill("entry-1")
    fleet.processes["entry-1"].wait(TIMEOUT_S)
    fleet.start_entry(1)
    fleet.wait_for_links(fleet.http_addresses[1], 2)
    expected = {"name": "peak", "version": 1}
    wait_until(
        lambda: call_json(fleet.http_addresses[1], "GET", "/v1/preset")[1] == expected
    )


def test_log_outage_refuses_bookings_but_not_quotes(fleet: Fleet) -> None:
    call_json(fleet.log_address, "POST", "/faults", {"outage": True})
    status, answer, _ = submit_job(fleet.http_addresses[0], make_job("hold", 4, 10))
    assert (status, answer["state"]) == (503, "not_run")
    _, answer, _ = submit_job(
        fleet.http_addresses[0], make_job("quote", 4, 10, hold_every=0)
    )
    assert answer["state"] == "complete"
    call_json(fleet.log_address, "POST", "/faults", {"outage": False})
    _, answer, _ = submit_job(fleet.http_addresses[0], make_job("hold", 4, 10))
    assert answer["state"] == "complete"


def test_operator_commands(fleet: Fleet, tmp_path: Any) -> None:
    path = tmp_path / "job.json"
    job = make_job("cli", 4, 10)
    path.write_text(json.dumps(job))
    entry = fleet.http_addresses[0]
    code, text = run_operator_command("submit", entry, str(path))
    assert (code, json.loads(text)["state"]) == (0, "complete")
    code, text = run_operator_command("status", entry, job["submission"])
    assert (code, json.loads(text)["state"]) == (0, "complete")
    code, text = run_operator_command("status", entry, "nobody")
    assert (code, json.loads(text)["state"]) == (1, "unknown")
    code, text = run_operator_command("dump", entry, "--agent", "agent-0")
    assert (code, json.loads(text)["agent"]) == (0, "agent-0")
    assert run_operator_command("drain", entry, "agent-0")[0] == 0
    assert fleet.processes["agent-0"].wait(TIMEOUT_S) == 0
    assert run_operator_command("preset", "get", "127.0.0.1:1")[0] == 1


def test_sigusr1_logs_the_state(fleet: Fleet) -> None:
    fleet.kill("entry-0", signal.SIGUSR1)
    wait_until(lambda: '"entry":"entry-0"' in fleet.log_tails())


def test_validate_command_lists_all_errors(tmp_path: Any) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"role": "entry", "name": "", "http_threads": 0}')
    code, text = run_operator_command("validate", str(path))
    assert code == 2
    assert "$.name" in text
    assert "$.http_threads" in text
    assert "'listen' is a required property" in text


def test_overcommitted_worker_throttles_checkpoints_and_stops() -> None:
    with Fleet(1, [TargetPlan(slots=4, kind="worker")]) as fleet:
        call_json(fleet.target_addresses[0], "POST", "/faults", {"usage_factor": 8.0})
        job = make_job("big", 2, 4_000, hold_every=0)
        _, answer, _ = submit_job(fleet.http_addresses[0], job)
        _, body = call_json(fleet.target_addresses[0], "GET", "/starts")
    assert set(body["controls"]) >= {"throttle", "checkpoint", "stop"}
    assert len(answer["tasks"]) == 2


def test_task_larger_than_any_worker_is_refused_at_once() -> None:
    with Fleet(1, [TargetPlan(slots=4, kind="worker")]) as fleet:
        job = make_job("huge", 1, 10, hold_every=0)
        job["tasks"][0]["memory_mb"] = 4_001
        status, answer, _ = submit_job(fleet.http_addresses[0], job)
    assert (status, answer["state"]) == (422, "not_run")
    assert "4001 MB" in answer["reason"]


def test_oversized_body_is_refused(fleet: Fleet) -> None:
    connection = http.client.HTTPConnection(fleet.http_addresses[0], timeout=TIMEOUT_S)
    try:
        connection.putrequest("POST", "/v1/jobs")
        connection.putheader("Content-Length", str(MAX_BODY_BYTES + 1))
        connection.endheaders()
        connection.send(b"{")
        assert connection.getresponse().status == 413
    finally:
        connection.close()
    assert call_json(fleet.http_addresses[0], "GET", "/health")[0] == 200
