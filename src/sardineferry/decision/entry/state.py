"""State of the entry's decisions."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sardineferry.charts import load_chart
from sardineferry.decision.budget import Budget
from sardineferry.decision.claims import ClaimTable
from sardineferry.decision.entry.queue import FairQueue
from sardineferry.decision.estimate import Estimate
from sardineferry.decision.health import Health
from sardineferry.decision.preset import Policy
from sardineferry.decision.preset import Preset
from sardineferry.decision.preset import policy_of

if TYPE_CHECKING:
    from random import Random

    from sardineferry.decision.effects import Effect
    from sardineferry.decision.entry.jobs import JobEntry
    from sardineferry.decision.entry.jobs import TaskEntry
    from sardineferry.decision.entry.policy import EntryPolicy
    from sardineferry.messages.target import TargetShape

__all__ = ["ClaimBatch", "EntryState", "Member", "Peer", "PresetChange"]


class Member:
    """One agent as this entry sees it; times in milliseconds.

    ``factor`` is the learned run time relative to what is expected of a
    task: 2.0 is a target half as fast as the mean.
    """

    __slots__ = (
        "credits",
        "data_centre",
        "demand_sent_ms",
        "factor",
        "health",
        "in_flight",
        "incarnation",
        "last_heard_ms",
        "linked",
        "name",
        "shape",
        "state",
    )

    def __init__(
        self,
        name: str,
        incarnation: str,
        data_centre: str,
        shape: TargetShape,
        now_ms: int,
    ) -> None:
        """Start active, without credits."""
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.shape = shape
        self.state = load_chart("member").initial
        self.linked = True
        self.last_heard_ms = now_ms
        self.demand_sent_ms = -1_000_000
        self.credits = 0
        self.factor = Estimate(1.0)
        self.health = Health()
        self.in_flight: dict[tuple[str, str], TaskEntry] = {}

    def identity(self) -> str:
        """Return the name that rosters use: one per incarnation."""
        return f"{self.name}#{self.incarnation}"

    def advance(self, event: str) -> None:
        """Move along the chart."""
        self.state = load_chart("member").advance(self.state, event)


class Peer:
    """Another entry; ``link`` is empty while no link to it is open."""

    __slots__ = (
        "address",
        "data_centre",
        "incarnation",
        "last_heard_ms",
        "leaving",
        "link",
        "name",
        "running",
    )

    def __init__(self, name: str, now_ms: int) -> None:
        """Start without a link."""
        self.name = name
        self.incarnation = ""
        self.address = ""
        self.data_centre = ""
        self.link = ""
        self.last_heard_ms = now_ms
        self.leaving = False
        self.running: dict[str, int] = {}


class PresetChange:
    """An operator's change that waits to be read back from the log."""

    __slots__ = ("body", "deadline_ms", "record_id", "retry_at_ms", "token", "version")

    def __init__(
        self, token: int, record_id: str, body: str, version: int, deadline_ms: int
    ) -> None:
        """Name the record and until when the operator waits."""
        self.token = token
        self.record_id = record_id
        self.body = body
        self.version = version
        self.deadline_ms = deadline_ms
        self.retry_at_ms = 0


class ClaimBatch:
    """The claims in an append that is under way."""

    __slots__ = ("body", "claims", "failures", "record_id", "retry_at_ms")

    def __init__(
        self, record_id: str, body: str, claims: frozenset[tuple[str, int]]
    ) -> None:
        """Name the record of the batch and its (submission, epoch) pairs."""
        self.record_id = record_id
        self.body = body
        self.claims = claims
        self.failures = 0
        self.retry_at_ms = 0


class EntryState:
    """Everything an entry decides from; one thread owns it."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        address: str,
        data_centre: str,
        policy: EntryPolicy,
        random: Random,
    ) -> None:
        """Start without members, peers or jobs."""
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.data_centre = data_centre
        self.policy = policy
        self.random = random
        self.members: dict[str, Member] = {}
        self.creditors: dict[str, Member] = {}
        self.peers: dict[str, Peer] = {}
        self.jobs: dict[str, JobEntry] = {}
        self.live_jobs: dict[str, JobEntry] = {}
        self.queue = FairQueue()
        self.delayed: list[TaskEntry] = []
        self.claims = ClaimTable(policy.claim_horizon_ms)
        self.unclaimed: dict[str, int] = {}
        self.claim_batch: ClaimBatch | None = None
        self.next_claim_ms = 0
        self.sequence = 0
        self.preset = Preset(0, "ordinary")
        self.preset_changes: dict[str, PresetChange] = {}
        self.next_republish_ms = 0
        self.retry_budget = Budget()
        self.hedge_budget = Budget(0.0)
        self.kind_ms: dict[str, Estimate] = {}
        self.completions_per_ms = Estimate(0.0, 0.05)
        self.completed_since_tick = 0
        self.last_rate_ms = 0
        self.forward_tokens: dict[int, str] = {}
        self.kind_success: dict[str, Estimate] = {}
        self.cancels: dict[str, set[str]] = {}
        self.dialled: set[str] = set()
        self.dumps: set[int] = set()
        self.leaving = False
        self.next_digest_ms = 0
        self.next_member_scan_ms = 0
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []

    def policy_in_force(self) -> Policy:
        """Return what the preset in force sets."""
        return policy_of(self.preset)

    def next_id(self) -> int:
        """Return a number that is unique within this incarnation."""
        self.sequence += 1
        return self.sequence

    def add_credits(self, member: Member, units: int) -> None:
        """Change what a member has granted, never below zero."""
        member.credits = max(0, member.credits + units)
        if member.credits > 0 and member.linked:
            self.creditors[member.name] = member
        else:
            self.creditors.pop(member.name, None)
