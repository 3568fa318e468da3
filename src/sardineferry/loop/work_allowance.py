"""How much work on very small pieces of input a process does in one pass."""

from __future__ import annotations

__all__ = ["WorkAllowance", "chargeable_pieces"]

# Pieces of one request that are never charged: the headers of ordinary requests.
FREE_PIECES = 96
# Pieces of at least this size are not charged.
FREE_PIECE_BYTES = 256


def chargeable_pieces(pieces: int, body_bytes: int) -> int:
    """Return how many of a request's pieces so far count as very small ones."""
    return max(0, pieces - FREE_PIECES - body_bytes // FREE_PIECE_BYTES)


class WorkAllowance:
    """Small pieces that may still be handled in this pass, for all connections."""

    def __init__(self, pieces_per_pass: int) -> None:
        """Allow the pieces of one pass."""
        self.pieces_per_pass = pieces_per_pass
        self.left = pieces_per_pass

    def charge(self, pieces: int) -> None:
        """Count handled pieces; the last slice of a pass may overdraw."""
        self.left -= pieces

    def is_spent(self) -> bool:
        """Return whether no more small pieces may be handled in this pass."""
        return self.left <= 0

    def renew(self) -> None:
        """Allow the pieces of the next pass."""
        self.left = self.pieces_per_pass
