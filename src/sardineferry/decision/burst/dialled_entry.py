"""An address that an agent has dialled."""

from __future__ import annotations

__all__ = ["DialledEntry"]


class DialledEntry:
    """An address that the agent has dialled, until its link is closed as unneeded."""

    __slots__ = (
        "incarnation",
        "link_changed_ms",
        "linked",
        "retire_due_ms",
        "was_linked",
    )

    def __init__(self, now_ms: int, incarnation: str = "") -> None:
        """Create it without a link."""
        self.incarnation = incarnation
        self.linked = False
        self.was_linked = False
        # When the link was last established or lost, or when ``dial`` dialled the
        # address if that is later. An entry without a link that has restarted is
        # dialled again, and so counts as absent only ``ABSENT_AFTER_MS`` after that.
        self.link_changed_ms = now_ms
        # When the link may be closed; None while it is needed.
        self.retire_due_ms: int | None = None
