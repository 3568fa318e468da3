"""Repeats a call to the platform's store until it is answered."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import TypeVar

from returns.result import Failure

from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from sardineferry.platform.store import StoreError

__all__ = ["RETRY_S", "until_answered"]

# Between tries while the store fails; a new configuration has to be in force
# within 2 s.
RETRY_S = 0.2

T = TypeVar("T")

logger = part_logger("store")


def until_answered(what: str, call: Callable[[], Result[T, StoreError]]) -> T:
    """Make a call that may be repeated, however long the store is away."""
    failures = 0
    while isinstance(answer := call(), Failure):
        failures += 1
        if failures == 1:
            logger.warning("{} fails: {}.", what, answer.failure().reason)
        time.sleep(RETRY_S)
    logger.info("{} done after {} failures.", what, failures)
    return answer.unwrap()
