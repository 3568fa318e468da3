"""Tests of which entry's claim is in force."""

from __future__ import annotations

import msgspec
import pytest

from sardineferry.decision.claims import ClaimRecord
from sardineferry.decision.claims import ClaimTable
from sardineferry.decision.events import LogRecord


def record(entry: str, epoch: int, *roster: str) -> LogRecord:
    body = ClaimRecord(entry, "run0", (("job", epoch),), roster)
    return LogRecord(0, entry, msgspec.json.encode(body).decode())


@pytest.mark.parametrize(
    ("records", "owner", "epoch", "roster"),
    [
        ([record("a", 1, "x")], "a", 1, {"x"}),
        ([record("a", 1, "x"), record("b", 1, "y")], "a", 1, {"x"}),
        ([record("a", 1, "x"), record("a", 1, "y")], "a", 1, {"x"}),
        ([record("a", 1, "x"), record("b", 2, "y")], "b", 2, {"x", "y"}),
        (
            [record("a", 1, "x"), record("b", 2, "y"), record("c", 2, "z")],
            "b",
            2,
            {"x", "y"},
        ),
        ([record("a", 1, "x"), record("b", 3, "y")], "a", 1, {"x"}),
    ],
)
def test_first_claim_of_the_next_epoch_is_accepted(
    records: list[LogRecord], owner: str, epoch: int, roster: set[str]
) -> None:
    table = ClaimTable(retention_ms=1_000)
    for item in records:
        assert table.apply_record(item, now_ms=0) == ["job"]
    claim = table.find("job")
    assert claim is not None
    assert (claim.entry, claim.epoch, set(claim.roster)) == (owner, epoch, roster)


@pytest.mark.parametrize(("now_ms", "kept"), [(999, True), (1_000, False)])
def test_purge_removes_claims_past_their_retention(now_ms: int, kept: bool) -> None:
    table = ClaimTable(retention_ms=1_000)
    table.apply_record(record("a", 1), now_ms=0)
    table.purge(now_ms)
    assert (table.find("job") is not None) is kept


def test_malformed_record_is_ignored() -> None:
    table = ClaimTable(retention_ms=1_000)
    assert table.apply_record(LogRecord(0, "x", "[]"), now_ms=0) == []
