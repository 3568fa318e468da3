"""Computes from the claim stream of the log which entry owns each submission.

Entries append claims; every entry applies them in order of offset, so all
agree on the owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from sardineferry.decision.events import LogRecord

__all__ = ["CLAIM_STREAM", "Claim", "ClaimRecord", "ClaimTable"]

CLAIM_STREAM = "claims"


class ClaimRecord(msgspec.Struct, frozen=True):
    """A log record with a batch of claims by one entry.

    ``claims`` holds ``(submission, epoch)`` pairs. ``roster`` lists every
    agent, with its incarnation, that may start tasks under these claims.
    """

    entry: str
    incarnation: str
    claims: tuple[tuple[str, int], ...]
    roster: tuple[str, ...]


class Claim(NamedTuple):
    """The claim in force for a submission.

    ``roster`` is the union of the rosters of all epochs: no other agent can
    have started a task of the submission. ``current_roster`` is the roster of
    the current owner. ``read_at_ms`` is when the claim was read.
    """

    entry: str
    incarnation: str
    epoch: int
    roster: frozenset[str]
    current_roster: frozenset[str]
    read_at_ms: int


class ClaimTable:
    """The claims in force, by submission; old ones are purged."""

    def __init__(self, retention_ms: int) -> None:
        """Keep claims for ``retention_ms`` after they were read."""
        self.retention_ms = retention_ms
        self.claims: dict[str, Claim] = {}

    def apply_record(self, record: LogRecord, now_ms: int) -> list[str]:
        """Apply a log record, and return the submissions that it names.

        A malformed record is ignored.
        """
        try:
            batch = msgspec.json.decode(record.body, type=ClaimRecord)
        except msgspec.DecodeError:
            return []
        roster = frozenset(batch.roster)
        for submission, epoch in batch.claims:
            self.apply_claim(submission, epoch, batch, roster, now_ms)
        return [submission for submission, _ in batch.claims]

    def apply_claim(
        self,
        submission: str,
        epoch: int,
        record: ClaimRecord,
        roster: frozenset[str],
        now_ms: int,
    ) -> None:
        """Accept a claim if its epoch is one above that of the claim in force.

        Of several claims with the same epoch, the first in the log wins.
        """
        current = self.claims.get(submission)
        next_epoch = current.epoch + 1 if current else 1
        if epoch != next_epoch:
            return
        joined_roster = current.roster | roster if current else roster
        # Removed first to keep the claims ordered by ``read_at_ms`` for ``purge``.
        self.claims.pop(submission, None)
        self.claims[submission] = Claim(
            record.entry, record.incarnation, epoch, joined_roster, roster, now_ms
        )

    def find(self, submission: str) -> Claim | None:
        """Return the claim in force for a submission, if there is one."""
        return self.claims.get(submission)

    def purge(self, now_ms: int) -> None:
        """Remove claims that were read ``retention_ms`` ago or earlier."""
        expired = []
        for submission, claim in self.claims.items():
            if now_ms - claim.read_at_ms < self.retention_ms:
                break
            expired.append(submission)
        for submission in expired:
            del self.claims[submission]
