"""What an agent knows of the work that waits at its entries, and whom it has told."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.decision.burst.overload.backlog import BACKLOG_VALID_MS
from sardineferry.messages.burst import EntryBacklog
from sardineferry.messages.burst import PriorityWork

__all__ = ["StatedBacklogs"]

# An agent tells an entry of another one's waiting work at most this often, unless
# it begins or ends. Each entry hears it from all agents that the two share, so that
# with 30 of them it hears something newer every 3 ms.
FORWARD_INTERVAL_MS = 100


class StatedBacklog(NamedTuple):
    """A statement, and the newest time at which it was not yet made."""

    stated_ms: int
    waiting: tuple[PriorityWork, ...]


class ForwardedBacklog(NamedTuple):
    """The last statement that an entry was sent, and when."""

    statement: StatedBacklog
    sent_ms: int


class StatedBacklogs:
    """The newest statement of each entry, on the agent's clock."""

    def __init__(self) -> None:
        """Create it without statements."""
        self.statements: dict[str, StatedBacklog] = {}
        # The last one that each receiver has been sent, by receiver and by entry.
        self.forwarded: dict[str, dict[str, ForwardedBacklog]] = {}

    def record(
        self, entry: str, echo_ms: int, waiting: tuple[PriorityWork, ...]
    ) -> None:
        """Record what an entry states in an echo of the timestamp ``echo_ms``.

        The echo may have been delayed, but it was sent after the timestamp. An empty
        statement is kept only to replace another one.
        """
        if waiting or entry in self.statements:
            self.statements[entry] = StatedBacklog(echo_ms, waiting)

    def forget(self, entry: str) -> None:
        """Drop what an entry stated before it restarted, and what it was sent."""
        self.statements.pop(entry, None)
        self.forwarded.pop(entry, None)

    def take_news(self, receiver: str, now_ms: int) -> tuple[EntryBacklog, ...]:
        """Return what to tell an entry of the others, and note that it is sent.

        That something waits no more is told once, to those that know otherwise.
        """
        if not self.statements:
            return ()
        self.expire(now_ms)
        forwarded = self.forwarded.setdefault(receiver, {})
        news: list[EntryBacklog] = []
        for entry, statement in self.statements.items():
            if entry == receiver or not is_due(statement, forwarded.get(entry), now_ms):
                continue
            forwarded[entry] = ForwardedBacklog(statement, now_ms)
            age_ms = max(0, now_ms - statement.stated_ms)
            news.append(EntryBacklog(entry, age_ms, statement.waiting))
        return tuple(news)

    def expire(self, now_ms: int) -> None:
        """Drop statements that are too old, and all notes about them."""
        for entry, statement in list(self.statements.items()):
            if now_ms - statement.stated_ms > BACKLOG_VALID_MS:
                del self.statements[entry]
                for forwarded in self.forwarded.values():
                    forwarded.pop(entry, None)


def is_due(
    statement: StatedBacklog, last: ForwardedBacklog | None, now_ms: int
) -> bool:
    """Return whether an entry has to be sent a statement, given the last one."""
    if last is None:
        return bool(statement.waiting)
    if bool(statement.waiting) != bool(last.statement.waiting):
        return True
    return (
        bool(statement.waiting)
        and statement.stated_ms > last.statement.stated_ms
        and now_ms - last.sent_ms >= FORWARD_INTERVAL_MS
    )
