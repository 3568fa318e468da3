"""What all listeners of a process share to withstand clients that misbehave."""

from __future__ import annotations

import sys
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from sardineferry.clock import now_s
from sardineferry.logs import part_logger
from sardineferry.loop.byte_budget import ByteBudget
from sardineferry.loop.receive_buffers import LargeBuffers
from sardineferry.loop.work_allowance import WorkAllowance

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sardineferry.loop.byte_budget import Account
    from sardineferry.loop.byte_budget import Holder
    from sardineferry.loop.connection import Connection
    from sardineferry.loop.loop import IoLoop

__all__ = ["ClientGuard"]

# A piece takes about 4 us, so small pieces add 1 ms to a pass.
PIECES_PER_PASS = 256
# Refusals are logged together, this long after the first of a burst.
LOG_DELAY_S = 5.0

logger = part_logger("clients")


class ClientGuard:
    """A byte budget, an allowance of work for each pass, and counts of refusals."""

    def __init__(
        self,
        loop: IoLoop,
        limit_bytes: int = sys.maxsize,
        counters: Counter[str] | None = None,
        pieces_per_pass: int = PIECES_PER_PASS,
        large_buffers_bytes: int = sys.maxsize,
    ) -> None:
        """Share these limits; refusals are counted in ``counters``, if given.

        ``large_buffers_bytes`` limits what large receive buffers may hold.
        """
        self.loop = loop
        self.budget = ByteBudget(limit_bytes)
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.allowance = WorkAllowance(pieces_per_pass)
        self.large_buffers = LargeBuffers(large_buffers_bytes)
        # Called in turn, in later passes: connections with small pieces left.
        self.deferred: deque[Callable[[], object]] = deque()
        # Refusals since the last log line, by reason.
        self.refusals: Counter[str] = Counter()

    def open_account(self, holder: Holder) -> Account:
        """Add and return the account of a new connection."""
        return self.budget.open(holder, now_s())

    def close_account(self, account: Account) -> None:
        """Remove the account of a closed connection."""
        self.budget.close(account)
        if account.has_large_buffer:
            account.has_large_buffer = False
            self.large_buffers.give_back()

    def enlarge_buffer(self, account: Account, connection: Connection) -> None:
        """Give a connection a large receive buffer, if there is memory for one."""
        if not account.has_large_buffer and self.large_buffers.take():
            account.has_large_buffer = True
            connection.set_receive_buffer(large=True)

    def restore_buffer(self, account: Account, connection: Connection) -> None:
        """Give a connection its small receive buffer again.

        What has already been received stays, so its owner must be going to read it.
        """
        if account.has_large_buffer:
            account.has_large_buffer = False
            self.large_buffers.give_back()
            connection.set_receive_buffer(large=False)

    def hold(self, account: Account, held_bytes: int, unfinished: bool) -> None:
        """Set what a connection holds after progress; evict if that is too much.

        The connection itself may be evicted.
        """
        account.progress_s = now_s()
        if not unfinished:
            account.unfinished_since_s = None
        elif account.unfinished_since_s is None:
            account.unfinished_since_s = account.progress_s
        self.budget.hold(account, held_bytes)
        if self.budget.is_exceeded():
            self.evict()

    def evict(self) -> None:
        """Evict the connections that the budget chooses."""
        for account in self.budget.overrun(now_s()):
            self.budget.hold(account, 0)
            account.unfinished_since_s = None
            self.count_refusal("memory")
            account.holder.evict()

    def defer(self, action: Callable[[], object]) -> None:
        """Run an action in turn, once there is allowance for small pieces again."""
        if not self.deferred:
            self.loop.call_soon(self.run_deferred)
        self.deferred.append(action)

    def run_deferred(self) -> None:
        """Renew the allowance, and run deferred actions until it is spent."""
        self.allowance.renew()
        for _ in range(len(self.deferred)):
            if self.allowance.is_spent():
                break
            self.loop.call_guarded(self.deferred.popleft())
        if self.deferred:
            self.loop.call_soon(self.run_deferred)

    def count_refusal(self, reason: str) -> None:
        """Count a refused or closed connection; log a burst of them as one line."""
        self.counters[f"clients_refused_{reason}"] += 1
        if not self.refusals:
            self.loop.call_later(LOG_DELAY_S, self.log_refusals)
        self.refusals[reason] += 1

    def log_refusals(self) -> None:
        """Log the refusals since the last line, by reason."""
        refusals, self.refusals = self.refusals, Counter()
        fields = {**refusals, **self.gauges()}
        logger.warning("clients refused", extra={"fields": fields})

    def gauges(self) -> Mapping[str, int]:
        """Return the present values for the metrics page."""
        return {
            "client_bytes_held": self.budget.held_bytes,
            "client_bytes_limit": self.budget.limit_bytes,
            "client_connections": len(self.budget.accounts),
            "clients_deferred": len(self.deferred),
            "client_large_buffers": self.large_buffers.count,
        }
