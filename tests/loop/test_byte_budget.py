"""Tests of the decisions on who is evicted, and on the work in one pass."""

from __future__ import annotations

import functools
from collections import Counter

import pytest

from sardineferry.client_budget import client_budget
from sardineferry.loop import ClientGuard
from sardineferry.loop import IoLoop
from sardineferry.loop.byte_budget import ByteBudget
from sardineferry.loop.work_allowance import chargeable_pieces

NOW_S = 100.0
KIB = 1_024
MIB = KIB * KIB


class Sender:
    """A holder that counts its evictions."""

    def __init__(self) -> None:
        self.evictions = 0

    def evict(self) -> None:
        self.evictions += 1


def evicted(limit: int, accounts: dict[str, tuple[int, float | None, float]]) -> str:
    """Return the names of evicted accounts, each given by size, begin and progress."""
    budget = ByteBudget(limit)
    names = {}
    for name, (size, since_s, progress_s) in accounts.items():
        account = budget.open(Sender(), NOW_S)
        account.is_identified = name == "agent"
        account.unfinished_since_s, account.progress_s = since_s, progress_s
        budget.hold(account, size)
        names[account] = name
    return " ".join(names[account] for account in budget.overrun(NOW_S))


@pytest.mark.parametrize(
    ("limit", "accounts", "names"),
    [
        # Within the limit, nobody is evicted, however slow.
        (100, {"slow": (100, 0.0, 0.0)}, ""),
        # A sender that has stopped goes before one that goes on since the same time.
        (100, {"going": (60, 90.0, 100.0), "stopped": (60, 90.0, 91.0)}, "stopped"),
        # A slow sender goes before a fast one.
        (100, {"fast": (60, 99.9, 100.0), "slow": (60, 90.0, 100.0)}, "slow"),
        # A small request that has just begun is spared.
        (100, {"new": (10, 99.99, 100.0), "large": (100, 99.0, 99.5)}, "large"),
        # A complete request is never evicted, even if nothing else can be.
        (100, {"complete": (150, None, 50.0)}, ""),
        (100, {"complete": (95, None, 50.0), "begun": (10, 99.9, 100.0)}, "begun"),
        # Enough go to reach 90% of the limit.
        (100, {"a": (40, 0, 0), "b": (40, 1, 1), "c": (40, 2, 2)}, "a"),
        (100, {"a": (20, 0, 0), "b": (60, 99, 99), "c": (60, 98, 98)}, "a c"),
        # An agent's link goes after unidentified senders.
        (100, {"agent": (60, 0, 0), "new": (60, 99.9, 100.0)}, "new"),
        # Accounts that hold nothing are left alone.
        (100, {"empty": (0, 0, 0), "c": (120, 99, 99)}, "c"),
    ],
)
def test_slowest_and_stopped_senders_are_evicted_first(
    limit: int, accounts: dict[str, tuple[int, float | None, float]], names: str
) -> None:
    assert evicted(limit, accounts) == names


def test_closed_account_frees_what_it_held() -> None:
    budget = ByteBudget(100)
    account = budget.open(Sender(), NOW_S)
    budget.hold(account, 90)
    budget.close(account)
    budget.hold(account, 50)
    assert (budget.held_bytes, budget.accounts) == (0, set())


@pytest.mark.parametrize(
    ("pieces", "body_bytes", "charged"),
    [
        # Ordinary requests: 30 headers; a body in pieces of 1 KiB.
        (30, 0, 0),
        (256 + 30, 256 * KIB, 0),
        # One-byte chunks.
        (1_096, 1_000, 997),
    ],
)
def test_only_very_small_pieces_are_charged(
    pieces: int, body_bytes: int, charged: int
) -> None:
    assert chargeable_pieces(pieces, body_bytes) == charged


def test_guard_evicts_and_counts_and_defers_in_turn() -> None:
    counters: Counter[str] = Counter()
    guard = ClientGuard(IoLoop(), 100, counters, pieces_per_pass=10)
    first, second = Sender(), Sender()
    guard.hold(guard.open_account(first), 80, unfinished=True)
    guard.hold(guard.open_account(second), 30, unfinished=True)
    assert (first.evictions, second.evictions) == (1, 0)
    assert counters == {"clients_refused_memory": 1}
    assert guard.gauges()["client_bytes_held"] == 30
    ran: list[int] = []

    def run(number: int) -> None:
        ran.append(number)
        guard.allowance.charge(6)

    for number in range(3):
        guard.defer(functools.partial(run, number))
    guard.run_deferred()
    assert ran == [0, 1]
    guard.run_deferred()
    assert ran == [0, 1, 2]


@pytest.mark.parametrize(
    ("memory_mb", "connections", "largest", "budget_mb"),
    [
        # The smallest and the largest entry, and the agent of the deployments.
        (200, 4_000, 256 * KIB, 21),
        (552, 4_000, 256 * KIB, 162),
        (168, 32, 4 * MIB, 46),
        # Too little memory: two of the largest bodies are possible nonetheless.
        (60, 32, 4 * MIB, 8),
        (60, 500, 256 * KIB, 4),
    ],
)
def test_budget_leaves_room_for_the_program_and_its_callers(
    memory_mb: int, connections: int, largest: int, budget_mb: int
) -> None:
    budget = client_budget(memory_mb, connections, largest)
    assert budget.held_bytes // MIB == budget_mb
