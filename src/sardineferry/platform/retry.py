"""Repeats a call to the platform's store until it is answered."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from returns.result import Failure

from sardineferry.futures import deliver
from sardineferry.logs import part_logger
from sardineferry.platform.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from returns.result import Result

    from sardineferry.loop import IoLoop

__all__ = ["RETRY_S", "UntilAnswered"]

# Between tries while the store fails; a new configuration has to be in force
# within 2 s.
RETRY_S = 0.2

logger = part_logger("store")


class UntilAnswered:
    """A call that may be repeated, however long the store is away."""

    def __init__(
        self,
        loop: IoLoop,
        what: str,
        call: Callable[[], Future[Result[Any, StoreError]]],
    ) -> None:
        """Name the call for the log; ``start`` makes it."""
        self.loop = loop
        self.what = what
        self.call = call
        self.failures = 0

    def start(self) -> None:
        """Make the call."""
        deliver(self.call(), self.take, self.fail)

    def fail(self, error: Exception) -> None:
        """Make the call again after an unexpected error."""
        self.take(Failure(StoreError(f"unexpected error: {error!r}")))

    def take(self, answer: Result[Any, StoreError]) -> None:
        """Make the call again after a failure."""
        if isinstance(answer, Failure):
            self.failures += 1
            if self.failures == 1:
                logger.warning("%s fails: %s.", self.what, answer.failure().reason)
            self.loop.call_later(RETRY_S, self.start)
            return
        logger.info("%s done after %d failures.", self.what, self.failures)
