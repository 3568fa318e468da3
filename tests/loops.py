"""Runs an event loop in the thread of a test."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.loop import IoLoop

TIMEOUT_S = 10.0


def run_until(loop: IoLoop, condition: Callable[[], object]) -> None:
    """Run passes of a loop until a condition holds.

    Raises:
        TimeoutError: It does not hold within ``TIMEOUT_S``.

    """
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError("the condition did not hold in time")
        loop.call_later(0.01, lambda: None)
        loop.run_once()


def run_for(loop: IoLoop, duration_s: float) -> None:
    """Run passes of a loop for a time in seconds."""
    deadline_s = time.monotonic() + duration_s
    run_until(loop, lambda: time.monotonic() >= deadline_s)
