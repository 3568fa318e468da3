"""The byte budget of a process: what its clients' unfinished input and answers take.

A pure decision: times are passed in, and the caller disconnects what is chosen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Account", "ByteBudget", "Holder", "choose_evictions"]

# After an overrun, holders are evicted until this share of the budget is held, so
# that they are not ranked again for the next bytes.
TARGET_SHARE = 0.9
# A second without any progress counts as much as this many seconds of a slow sender.
SILENCE_WEIGHT = 4.0
# Keeps the sizes of senders that have just begun comparable.
MIN_AGE_S = 0.01


class Holder(Protocol):
    """A connection whose unfinished input or unread output can be dropped."""

    def evict(self) -> None:
        """Drop what is unfinished, and refuse or close the connection."""


class Account:
    """The bytes that one connection holds, and whether it can be evicted.

    ``unfinished_since_s`` is the time of the first byte of an incomplete request or
    frame, or of the first unread byte of an answer; None if nothing is unfinished.
    An identified holder, such as the link of an agent, is evicted after all others.
    """

    __slots__ = (
        "has_large_buffer",
        "held_bytes",
        "holder",
        "is_identified",
        "progress_s",
        "unfinished_since_s",
    )

    def __init__(self, holder: Holder, now_s: float) -> None:
        """Start with nothing held."""
        self.holder = holder
        self.held_bytes = 0
        self.is_identified = False
        # Whether the connection's receive buffer was enlarged.
        self.has_large_buffer = False
        self.unfinished_since_s: float | None = None
        # When the last byte was received or accepted by the other end.
        self.progress_s = now_s

    def rank(self, now_s: float) -> float:
        """Return how early the account is evicted: a higher rank goes first.

        The rank is the size times the time for which it has been held, with more
        weight on time without progress. A sender that has stopped ranks before one of
        the same size that goes on, and a slow one before a fast one.
        """
        if self.unfinished_since_s is None:
            return 0.0
        age_s = now_s - self.unfinished_since_s
        silence_s = now_s - self.progress_s
        return self.held_bytes * (MIN_AGE_S + age_s + SILENCE_WEIGHT * silence_s)


def choose_evictions(
    accounts: Iterable[Account], excess_bytes: int, now_s: float
) -> list[Account]:
    """Return the accounts to evict, in order, to free so many bytes.

    Accounts without anything unfinished are never chosen, even if too few remain.
    """
    chosen = []
    unfinished = [
        item
        for item in accounts
        if item.unfinished_since_s is not None and item.held_bytes
    ]
    unfinished.sort(key=lambda item: (item.is_identified, -item.rank(now_s)))
    for account in unfinished:
        if excess_bytes <= 0:
            break
        chosen.append(account)
        excess_bytes -= account.held_bytes
    return chosen


class ByteBudget:
    """The sum of what all accounts of a process hold, and its limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Start without accounts."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.accounts: set[Account] = set()

    def open(self, holder: Holder, now_s: float) -> Account:
        """Add and return the account of a new connection."""
        account = Account(holder, now_s)
        self.accounts.add(account)
        return account

    def close(self, account: Account) -> None:
        """Remove an account; what it holds is freed."""
        self.hold(account, 0)
        self.accounts.discard(account)

    def hold(self, account: Account, held_bytes: int) -> None:
        """Set the number of bytes that an account holds."""
        if account in self.accounts:
            self.held_bytes += held_bytes - account.held_bytes
            account.held_bytes = held_bytes

    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self.held_bytes > self.limit_bytes

    def overrun(self, now_s: float) -> list[Account]:
        """Return the accounts to evict now, in order; empty within the limit."""
        if not self.is_exceeded():
            return []
        excess_bytes = self.held_bytes - int(TARGET_SHARE * self.limit_bytes)
        return choose_evictions(self.accounts, excess_bytes, now_s)
