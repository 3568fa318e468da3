"""Tests that a fleet of processes is ready once it has been entered."""

from __future__ import annotations

import threading

import pytest
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.fleet import call_json
from bench.fleet import find_free_ports

START_DELAY_S = 1.5


class LateTargetFleet(Fleet):
    """A fleet whose target starts after entries and agents have linked."""

    def start_target(self, index: int) -> None:
        threading.Timer(START_DELAY_S, super().start_target, (index,)).start()


def test_fleet_waits_for_targets_that_start_late() -> None:
    """A test's first call to a target was refused beside load."""
    with LateTargetFleet(1, [TargetPlan(slots=4, kind="worker")]) as fleet:
        status, _ = call_json(fleet.target_addresses[0], "GET", "/starts")
    assert status == 200


def test_ports_that_are_in_use_are_not_found_again() -> None:
    """Guards against a soak whose programs could not start: one port had two uses."""

    class FirstOffered:
        """Contains the port that is asked about first."""

        offered: list[int] = []

        def __contains__(self, port: object) -> bool:
            assert isinstance(port, int)
            self.offered.append(port)
            return len(self.offered) == 1

    excluded = FirstOffered()
    found = find_free_ports(2, excluded)
    assert found == excluded.offered[1:]
    assert len({*excluded.offered}) == 3


def test_address_without_a_listener_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("bench.fleet.READY_TIMEOUT_S", 0.2)
    with pytest.raises(Exception, match="nothing listens"):
        Fleet(1, []).wait_for_listener("127.0.0.1:1")
