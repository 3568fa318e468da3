"""Tests of the circuit breaker of a target."""

from __future__ import annotations

import pytest

from sardineferry.decision.circuit_breaker import INITIAL_COOLDOWN_MS
from sardineferry.decision.circuit_breaker import MAX_COOLDOWN_MS
from sardineferry.decision.circuit_breaker import CircuitBreaker


@pytest.mark.parametrize(
    ("failures", "may_open", "state"),
    [(2, True, "closed"), (3, True, "open"), (30, False, "closed")],
)
def test_third_failure_opens_the_breaker_if_it_may_open(
    failures: int, may_open: bool, state: str
) -> None:
    breaker = CircuitBreaker()
    for _ in range(failures):
        breaker.record_failure(now_ms=0, may_open=may_open)
    assert breaker.state == state


def make_open_breaker() -> CircuitBreaker:
    breaker = CircuitBreaker()
    for _ in range(3):
        breaker.record_failure(now_ms=0, may_open=True)
    return breaker


@pytest.mark.parametrize(
    ("now_ms", "allowed"),
    [(INITIAL_COOLDOWN_MS - 1, False), (INITIAL_COOLDOWN_MS, True)],
)
def test_allows_one_probe_after_cooldown(now_ms: int, allowed: bool) -> None:
    breaker = make_open_breaker()
    assert breaker.allows(now_ms) is allowed
    if allowed:
        breaker.record_sent()
        assert not breaker.allows(now_ms)


def test_failed_probes_double_the_cooldown_up_to_its_cap() -> None:
    breaker = make_open_breaker()
    for _ in range(20):
        breaker.record_sent()
        breaker.record_failure(now_ms=0, may_open=False)
    assert breaker.cooldown_ms == MAX_COOLDOWN_MS
    breaker.record_success()
    assert (breaker.state, breaker.cooldown_ms) == ("closed", INITIAL_COOLDOWN_MS)
