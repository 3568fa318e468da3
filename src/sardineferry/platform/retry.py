"""Retries a call to the platform's store until it succeeds."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from returns.result import Failure

from sardineferry.futures import when_done
from sardineferry.logs import part_logger
from sardineferry.platform.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from returns.result import Result

    from sardineferry.loop import IoLoop

__all__ = ["RETRY_DELAY_S", "RetriedCall"]

# The delay between tries while the store fails. It is short because a new
# configuration has to be in force within 2 s; reads of the entries and the
# registration of an entry share it.
RETRY_DELAY_S = 0.2

logger = part_logger("store")


class RetriedCall:
    """Retries a call without limit; the call must be safe to repeat."""

    def __init__(
        self,
        loop: IoLoop,
        what: str,
        call: Callable[[], Future[Result[Any, StoreError]]],
    ) -> None:
        """Prepare a call, described by ``what`` in log lines."""
        self.loop = loop
        self.what = what
        self.call = call
        self.failures = 0

    def start(self) -> None:
        """Make the call."""
        when_done(self.call(), self.handle_result, self.handle_error)

    def handle_error(self, error: Exception) -> None:
        """Treat an unexpected error as a failed call."""
        self.handle_result(Failure(StoreError(f"unexpected error: {error!r}")))

    def handle_result(self, result: Result[Any, StoreError]) -> None:
        """Retry after a failure; log the first failure and the success."""
        if isinstance(result, Failure):
            self.failures += 1
            if self.failures == 1:
                logger.warning(
                    "%s failed, retrying: %s.", self.what, result.failure().reason
                )
            self.loop.call_later(RETRY_DELAY_S, self.start)
            return
        logger.info("%s succeeded after %d failures.", self.what, self.failures)
