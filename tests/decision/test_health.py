"""Tests of the circuit breaker of a target."""

from __future__ import annotations

import pytest

from sardineferry.decision.health import INITIAL_COOLDOWN_MS
from sardineferry.decision.health import MAX_COOLDOWN_MS
from sardineferry.decision.health import Health


@pytest.mark.parametrize(
    ("failures", "may_trip", "state"),
    [(2, True, "closed"), (3, True, "open"), (30, False, "closed")],
)
def test_third_failure_opens_the_breaker_if_it_may_trip(
    failures: int, may_trip: bool, state: str
) -> None:
    health = Health()
    for _ in range(failures):
        health.note_failure(now_ms=0, may_trip=may_trip)
    assert health.state == state


def make_open_breaker() -> Health:
    health = Health()
    for _ in range(3):
        health.note_failure(now_ms=0, may_trip=True)
    return health


@pytest.mark.parametrize(
    ("now_ms", "allowed"),
    [(INITIAL_COOLDOWN_MS - 1, False), (INITIAL_COOLDOWN_MS, True)],
)
def test_allows_one_probe_after_cooldown(now_ms: int, allowed: bool) -> None:
    health = make_open_breaker()
    assert health.allows(now_ms) is allowed
    if allowed:
        health.note_sent()
        assert not health.allows(now_ms)


def test_failed_probes_double_the_cooldown_up_to_its_cap() -> None:
    health = make_open_breaker()
    for _ in range(20):
        health.note_sent()
        health.note_failure(now_ms=0, may_trip=False)
    assert health.cooldown_ms == MAX_COOLDOWN_MS
    health.note_success()
    assert (health.state, health.cooldown_ms) == ("closed", INITIAL_COOLDOWN_MS)
