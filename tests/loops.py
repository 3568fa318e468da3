"""Runs a loop for tests: in the test's thread until something holds."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.loop import IoLoop

LIMIT_S = 10.0


def run_until(loop: IoLoop, holds: Callable[[], object]) -> None:
    """Run passes of a loop until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.

    """
    until_s = time.monotonic() + LIMIT_S
    while not holds():
        if time.monotonic() > until_s:
            raise TimeoutError("the condition did not hold in time")
        loop.call_later(0.01, lambda: None)
        loop.run_once()


def run_for(loop: IoLoop, duration_s: float) -> None:
    """Run passes of a loop for a while."""
    until_s = time.monotonic() + duration_s
    run_until(loop, lambda: time.monotonic() >= until_s)
