"""Test of an evacuation with the real processes and a stand-in of the store."""

from __future__ import annotations

import itertools
import time

from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.deployed_fleet import submit_burst_job
from bench.fleet import call_json

# An agent that restarts, and all lists on their way, are there after this time.
SETTLED_S = 1.0


def count_starts(fleet: DeployedFleet, data_centre: str) -> int:
    """Return how many tasks have started at the workers of a data centre."""
    return sum(
        len(call_json(fleet.worker_address(index), "GET", "/starts")[1])
        for index, ip in enumerate(fleet.agent_ips)
        if fleet.data_centre_of(ip) == data_centre
    )


def submit_jobs(fleet: DeployedFleet, first_number: int) -> list[int]:
    """Submit a job at each entry in turn; return the statuses of the answers."""
    return [
        submit_burst_job(
            fleet.entry_address(number % 2),
            f"{first_number + number:016x}",
            make_burst_job(4, 20),
        )[0]
        for number in range(4)
    ]


def submit_until_started(fleet: DeployedFleet, data_centre: str, starts: int) -> None:
    """Submit jobs until more tasks than this have started in a data centre.

    Its agents may not have linked yet, and the others suit the jobs as well.
    """
    numbers = itertools.count(10_000 * (starts + 1), 10)

    def has_started() -> bool:
        assert submit_jobs(fleet, next(numbers)) == [200] * 4
        return count_starts(fleet, data_centre) > starts

    fleet.wait_until(has_started)


def wait_for_log(fleet: DeployedFleet, names: list[str], text: str) -> None:
    """Wait until each of these processes has logged a text."""
    fleet.wait_until(lambda: all(text in fleet.read_log(name) for name in names))


def test_evacuated_data_centre_gets_no_starts_until_the_revocation() -> None:
    """Guards against an evacuation that is read but not carried out, or for ever.

    The store's history is deleted at once, and the store is down when an agent starts
    again, so that agent learns of the evacuation from the entries.
    """
    with DeployedFleet(2, 4) as fleet:
        evacuated, other = fleet.data_centres
        entries = ["entry-0", "entry-1"]
        agents = [f"agent-{index}" for index in range(4)]
        submit_until_started(fleet, evacuated, 0)
        before = count_starts(fleet, evacuated)
        call_json(fleet.store_address, "POST", "/faults", {"retention": 1})
        fleet.evacuate(evacuated)
        fleet.evacuate("nowhere")
        wait_for_log(fleet, entries + agents, '"nowhere"')
        assert submit_jobs(fleet, 11) == [200] * 4
        call_json(fleet.store_address, "POST", "/faults", {"outage": True})
        for index, ip in enumerate(fleet.agent_ips):
            if fleet.data_centre_of(ip) == evacuated:
                fleet.kill(agents[index])
                fleet.processes[agents[index]].wait(10)
                fleet.start_agent(index)
        time.sleep(SETTLED_S)
        assert submit_jobs(fleet, 21) == [200] * 4
        assert count_starts(fleet, evacuated) == before
        assert count_starts(fleet, other) > 0
        unknown = "evacuation of an unknown data centre"
        wait_for_log(fleet, entries, unknown)
        assert [fleet.read_log(name).count(unknown) for name in entries] == [1, 1]
        call_json(fleet.store_address, "POST", "/faults", {"outage": False})
        fleet.revoke_evacuation(evacuated)
        wait_for_log(fleet, entries, f'"revoked":["{evacuated}"]')
        submit_until_started(fleet, evacuated, before)
        assert fleet.breaches() == []
