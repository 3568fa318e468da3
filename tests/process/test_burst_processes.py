"""Tests of the entry and agent processes for burst jobs.

They run as a platform starts them. The platform's store and the workers are
stand-ins on loopback addresses.
"""

from __future__ import annotations

import http.client
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

import pytest
from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.deployed_fleet import make_configuration
from bench.deployed_fleet import submit_burst_job
from bench.fleet import call_json

if TYPE_CHECKING:
    from collections.abc import Iterator

# Callers whose connection broke submit their job again after this time.
RESUBMIT_DELAY_S = 1.3
HOST_HEADER = {"Host": HOST_NAME}
COMPLETED = (200, {"State": "completed"})


@pytest.fixture
def fleet() -> Iterator[DeployedFleet]:
    with DeployedFleet(2, 3) as started:
        yield started


def make_job_id(number: int) -> str:
    return f"{number:016x}"


def wait_for_start_at_worker(fleet: DeployedFleet, index: int) -> None:
    fleet.wait_until(
        lambda: call_json(fleet.worker_address(index), "GET", "/starts")[1]
    )


def submit_with_retry(fleet: DeployedFleet, job: dict[str, object]) -> Any:
    """Submit a job; if the connection breaks, submit it once more to another entry."""
    try:
        return submit_burst_job(fleet.entry_address(0), make_job_id(1), job)
    except OSError:
        time.sleep(RESUBMIT_DELAY_S)
        return submit_burst_job(fleet.entry_address(1), make_job_id(1), job)


def test_each_entry_completes_concurrent_jobs(fleet: DeployedFleet) -> None:
    with ThreadPoolExecutor(20) as pool:
        answers = list(
            pool.map(
                lambda number: submit_burst_job(
                    fleet.entry_address(number % 2),
                    make_job_id(number),
                    make_burst_job(4, 50),
                ),
                range(1, 21),
            )
        )
    assert answers == [COMPLETED] * 20
    assert fleet.breaches() == []


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ({"Spec": "x", "Steps": [{"Count": 1}], "Burstable": False}, 503),
        ({**make_burst_job(1, 1), "Times": 3}, 503),
        ({**make_burst_job(1, 1), "Steps": [{"Count": 1, "Gang": True}]}, 503),
        ({**make_burst_job(1, 1), "Steps": []}, 400),
        ({**make_burst_job(1, 1), "Steps": [{"Count": -1}]}, 400),
        ({**make_burst_job(1, 1), "Steps": "many"}, 400),
        ({**make_burst_job(1, 1), "Spec": "x" * 4_001}, 400),
        ({**make_burst_job(1, 1), "Spec": 7}, 400),
        ({**make_burst_job(1, 1), "Steps": [{"Count": 1, "Cpu": 10**9}]}, 503),
        ([], 400),
        ("text", 400),
    ],
)
def test_invalid_or_unsupported_job_is_refused_at_once(
    fleet: DeployedFleet, body: object, status: int
) -> None:
    started_s = time.monotonic()
    path = PATH_PREFIX + make_job_id(1)
    actual, _ = call_json(fleet.entry_address(0), "POST", path, body, 30.0, HOST_HEADER)
    assert actual == status
    assert time.monotonic() - started_s < 0.5


@pytest.mark.parametrize(
    ("method", "path", "host", "status"),
    [
        ("GET", PATH_PREFIX, HOST_NAME, 200),
        ("GET", "/other/", HOST_NAME, 404),
        ("GET", PATH_PREFIX, "other.example", 404),
        ("GET", PATH_PREFIX + make_job_id(9), HOST_NAME, 410),
        ("DELETE", PATH_PREFIX + make_job_id(9), HOST_NAME, 410),
        ("POST", "/other/" + make_job_id(9), HOST_NAME, 404),
        ("POST", PATH_PREFIX + "no-id", HOST_NAME, 400),
        ("PATCH", PATH_PREFIX, HOST_NAME, 405),
    ],
)
def test_requests_are_routed_by_host_and_path(
    fleet: DeployedFleet, method: str, path: str, host: str, status: int
) -> None:
    body = make_burst_job(1, 1) if method == "POST" else None
    actual, _ = call_json(
        fleet.entry_address(0), method, path, body, 30.0, {"Host": host}
    )
    assert actual == status


def test_draining_entry_completes_its_jobs(fleet: DeployedFleet) -> None:
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            submit_burst_job,
            fleet.entry_address(0),
            make_job_id(1),
            make_burst_job(3, 1_500),
        )
        fleet.wait_until(lambda: has_any_start(fleet))
        fleet.kill("entry-0", signal.SIGTERM)
        assert answer.result(30) == COMPLETED
    assert fleet.processes["entry-0"].wait(10) == 0
    assert fleet.breaches() == []


def has_any_start(fleet: DeployedFleet) -> bool:
    return any(
        call_json(fleet.worker_address(index), "GET", "/starts")[1]
        for index in range(len(fleet.agent_ips))
    )


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_runs_of_lost_entry_end_before_resubmission(
    fleet: DeployedFleet, signal_number: int
) -> None:
    with ThreadPoolExecutor(1) as pool:
        job = make_burst_job(6, 2_500)
        first = pool.submit(
            submit_burst_job, fleet.entry_address(0), make_job_id(1), job
        )
        fleet.wait_until(lambda: has_any_start(fleet))
        fleet.kill("entry-0", signal_number)
        time.sleep(RESUBMIT_DELAY_S)
        second = submit_burst_job(fleet.entry_address(1), make_job_id(1), job)
        assert second == COMPLETED
        fleet.kill("entry-0")
        with pytest.raises(OSError, match=r".*"):
            first.result(30)
    assert fleet.breaches() == []


@pytest.mark.parametrize(
    "signal_number", [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM]
)
def test_job_completes_after_loss_of_agent(
    fleet: DeployedFleet, signal_number: int
) -> None:
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            submit_burst_job,
            fleet.entry_address(0),
            make_job_id(1),
            make_burst_job(18, 1_000),
        )
        wait_for_start_at_worker(fleet, 0)
        fleet.kill("agent-0", signal_number)
        assert answer.result(30) == COMPLETED
    assert fleet.breaches() == []


def test_restarted_agent_stops_earlier_runs_first(fleet: DeployedFleet) -> None:
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            submit_burst_job,
            fleet.entry_address(0),
            make_job_id(1),
            make_burst_job(24, 1_200),
        )
        wait_for_start_at_worker(fleet, 0)
        fleet.kill("agent-0")
        fleet.processes["agent-0"].wait(10)
        fleet.start_agent(0)
        assert answer.result(30) == COMPLETED
    assert fleet.breaches() == []


def test_start_without_answer_is_retried_but_runs_once(fleet: DeployedFleet) -> None:
    for index in range(3):
        call_json(
            fleet.worker_address(index),
            "POST",
            "/faults",
            {"lose_starts": 2, "late_ms": 900},
        )
    job = make_burst_job(12, 300)
    assert submit_burst_job(fleet.entry_address(0), make_job_id(1), job) == COMPLETED
    time.sleep(1.0)
    assert fleet.breaches() == []


def test_disconnected_callers_job_frees_its_capacity(fleet: DeployedFleet) -> None:
    with pytest.raises(OSError, match=r".*"):
        submit_burst_job(
            fleet.entry_address(0), make_job_id(1), make_burst_job(24, 20_000), 1.0
        )
    answer = submit_burst_job(
        fleet.entry_address(1), make_job_id(2), make_burst_job(24, 50)
    )
    assert answer == COMPLETED
    assert fleet.breaches() == []


def test_resubmission_joins_the_running_job(fleet: DeployedFleet) -> None:
    with ThreadPoolExecutor(2) as pool:
        answers = [
            pool.submit(
                submit_burst_job,
                fleet.entry_address(0),
                make_job_id(1),
                make_burst_job(4, 800),
            )
            for _ in range(2)
        ]
        assert [answer.result(30) for answer in answers] == [COMPLETED] * 2
    starts = [
        row
        for index in range(3)
        for row in call_json(fleet.worker_address(index), "GET", "/starts")[1]
    ]
    assert len(starts) == 4


def test_failed_task_is_retried_on_another_worker(fleet: DeployedFleet) -> None:
    call_json(fleet.worker_address(0), "POST", "/faults", {"fail": True})
    answers = [
        submit_burst_job(
            fleet.entry_address(0), make_job_id(number), make_burst_job(12, 50)
        )
        for number in range(1, 4)
    ]
    assert answers == [COMPLETED] * 3
    assert fleet.breaches() == []


def test_job_fails_after_its_last_attempt(fleet: DeployedFleet) -> None:
    for index in range(3):
        call_json(fleet.worker_address(index), "POST", "/faults", {"fail": True})
    answer = submit_burst_job(
        fleet.entry_address(0), make_job_id(1), make_burst_job(2, 50)
    )
    assert answer == (200, {"State": "failed"})


def test_newer_configuration_takes_effect_within_2_s(
    fleet: DeployedFleet,
) -> None:
    fleet.publish_configuration(make_configuration(7, PathPrefix="/quotes/"))
    time.sleep(2.0)
    for index in range(2):
        address = fleet.entry_address(index)
        new_path_response = call_json(
            address, "GET", "/quotes/", None, 30.0, HOST_HEADER
        )
        old_path_response = call_json(
            address, "GET", PATH_PREFIX, None, 30.0, HOST_HEADER
        )
        assert (new_path_response[0], old_path_response[0]) == (200, 404)


def test_older_configuration_is_never_adopted(fleet: DeployedFleet) -> None:
    fleet.publish_configuration(make_configuration(0, PathPrefix="/quotes/"))
    time.sleep(1.5)
    assert (
        call_json(fleet.entry_address(0), "GET", PATH_PREFIX, None, 30.0, HOST_HEADER)[
            0
        ]
        == 200
    )


def test_entry_gets_configuration_from_agents_during_store_outage(
    fleet: DeployedFleet,
) -> None:
    call_json(fleet.store_address, "POST", "/faults", {"outage": True})
    fleet.kill("entry-0")
    fleet.processes["entry-0"].wait(10)
    fleet.start_entry(0)
    fleet.wait_entry_ready(0)
    answer = submit_burst_job(
        fleet.entry_address(0), make_job_id(1), make_burst_job(2, 20)
    )
    assert answer == COMPLETED


def test_draining_worker_gets_no_new_runs(fleet: DeployedFleet) -> None:
    call_json(fleet.worker_address(0), "POST", "/faults", {"draining": True})
    time.sleep(1.5)
    for number in range(1, 6):
        submit_burst_job(
            fleet.entry_address(0), make_job_id(number), make_burst_job(4, 20)
        )
    assert call_json(fleet.worker_address(0), "GET", "/starts")[1] == []


def test_sighup_reloads_settings(fleet: DeployedFleet) -> None:
    for name in ("entry-0", "agent-0"):
        fleet.kill(name, signal.SIGHUP)
        fleet.wait_until(lambda name=name: "Settings reloaded" in fleet.read_log(name))
    answer = submit_burst_job(
        fleet.entry_address(0), make_job_id(1), make_burst_job(2, 20)
    )
    assert answer == COMPLETED


def test_log_shows_failed_job_by_its_id(fleet: DeployedFleet) -> None:
    for index in range(3):
        call_json(fleet.worker_address(index), "POST", "/faults", {"fail": True})
    submit_burst_job(fleet.entry_address(0), make_job_id(77), make_burst_job(1, 50))
    events = ["job admitted", "runs ordered", "attempts used up"]

    def are_all_logged() -> bool:
        lines = [
            line
            for line in fleet.read_log("entry-0").splitlines()
            if make_job_id(77) in line
        ]
        return all(any(event in line for line in lines) for event in events)

    # A separate thread writes log lines, so they may appear after the answer.
    fleet.wait_until(are_all_logged)


def test_log_and_metrics_show_a_stop_that_was_not_sent(fleet: DeployedFleet) -> None:
    caller = http.client.HTTPConnection(fleet.entry_address(0), timeout=30)
    body = json.dumps(make_burst_job(24, 20_000))
    caller.request("POST", PATH_PREFIX + make_job_id(1), body, HOST_HEADER)
    for index in range(3):
        wait_for_start_at_worker(fleet, index)
    fleet.kill("agent-0")
    fleet.wait_until(lambda: "agent link lost" in fleet.read_log("entry-0"))
    caller.close()
    fleet.wait_until(lambda: "messages dropped" in fleet.read_log("entry-0"))
    lines = [json.loads(line) for line in fleet.read_log("entry-0").splitlines()]
    stops = {
        line["agent"]: line["linked"]
        for line in lines
        if line["event"] == "runs stop ordered"
    }
    assert stops == {"agent-0": False, "agent-1": True, "agent-2": True}
    dropped = [
        (line["link"], line["messages"])
        for line in lines
        if line["event"] == "messages dropped"
    ]
    assert dropped == [("agent-0", {"StopRuns": 1})]
    metrics = fetch_text(f"{fleet.entry_ips[0]}:{fleet.metrics_port}", "/metrics")
    assert "sardineferry_messages_dropped_total 1.0" in metrics


def test_metrics_are_served_in_prometheus_format(fleet: DeployedFleet) -> None:
    submit_burst_job(fleet.entry_address(0), make_job_id(1), make_burst_job(1, 20))
    address = f"{fleet.entry_ips[0]}:{fleet.metrics_port}"
    text = fetch_text(address, "/metrics")
    assert "sardineferry_jobs_completed_total 1.0" in text
    assert 'sardineferry_latency_seconds_count{outcome="completed",what="job"}' in text
    assert 'sardineferry_latency_seconds_count{outcome="late",what="tick"}' in text


def fetch_text(address: str, path: str) -> str:
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", path)
    return connection.getresponse().read().decode()
