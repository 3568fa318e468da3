"""Claims of submissions, folded from the log in order of offset."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from sardineferry.decision.events import LogRecord

__all__ = ["CLAIM_STREAM", "Claim", "ClaimRecord", "ClaimTable"]

CLAIM_STREAM = "claims"


class ClaimRecord(msgspec.Struct, frozen=True):
    """A batch of claims by one entry.

    ``claims`` holds ``(submission, epoch)`` pairs. ``roster`` names every
    agent, with its incarnation, that may start tasks under these claims.
    """

    entry: str
    incarnation: str
    claims: tuple[tuple[str, int], ...]
    roster: tuple[str, ...]


class Claim(NamedTuple):
    """The valid claim of a submission.

    ``roster`` joins the rosters of all epochs: no other agent can have
    started a task of the submission. ``current_roster`` is the owner's.
    """

    entry: str
    incarnation: str
    epoch: int
    roster: frozenset[str]
    current_roster: frozenset[str]
    seen_at_ms: int


class ClaimTable:
    """Valid claims by submission, kept for a bounded time."""

    def __init__(self, horizon_ms: int) -> None:
        """Keep claims for ``horizon_ms`` after they were read."""
        self.horizon_ms = horizon_ms
        self.claims: dict[str, Claim] = {}

    def fold(self, record: LogRecord, now_ms: int) -> list[str]:
        """Apply a record and return the submissions that it names."""
        try:
            body = msgspec.json.decode(record.body, type=ClaimRecord)
        except msgspec.DecodeError:
            return []
        roster = frozenset(body.roster)
        for submission, epoch in body.claims:
            self.apply(submission, epoch, body, roster, now_ms)
        return [submission for submission, _ in body.claims]

    def apply(
        self,
        submission: str,
        epoch: int,
        record: ClaimRecord,
        roster: frozenset[str],
        now_ms: int,
    ) -> None:
        """Accept a claim when its epoch follows the one in force."""
        held = self.claims.get(submission)
        following = held.epoch + 1 if held else 1
        if epoch != following:
            return
        joined = held.roster | roster if held else roster
        self.claims.pop(submission, None)
        self.claims[submission] = Claim(
            record.entry, record.incarnation, epoch, joined, roster, now_ms
        )

    def find(self, submission: str) -> Claim | None:
        """Return the valid claim of a submission."""
        return self.claims.get(submission)

    def purge(self, now_ms: int) -> None:
        """Forget claims older than the horizon."""
        expired = []
        for submission, claim in self.claims.items():
            if now_ms - claim.seen_at_ms < self.horizon_ms:
                break
            expired.append(submission)
        for submission in expired:
            del self.claims[submission]
