"""State of the entry's decisions."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from sardineferry.charts import load_chart
from sardineferry.decision.budget import Budget
from sardineferry.decision.claims import ClaimTable
from sardineferry.decision.cost import total_units
from sardineferry.decision.entry.queue import FairQueue
from sardineferry.decision.estimate import Estimate
from sardineferry.decision.health import Health
from sardineferry.decision.preset import Policy
from sardineferry.decision.preset import Preset
from sardineferry.decision.preset import policy_of

if TYPE_CHECKING:
    from random import Random

    from sardineferry.decision.effects import Effect
    from sardineferry.decision.entry.jobs import TrackedJob
    from sardineferry.decision.entry.jobs import TrackedTask
    from sardineferry.decision.entry.policy import EntryPolicy
    from sardineferry.messages.target import TargetShape

__all__ = ["ClaimBatch", "EntryState", "Member", "Peer", "PresetChange"]


# Weight of a new sample; speeds change seldom, single run times vary widely.
FACTOR_WEIGHT = 0.01
# Samples that the first assumption counts as: a new target whose first tasks
# happen to be long must not be shunned.
FACTOR_PRIOR = 10


class Member:
    """One agent as this entry sees it; times in milliseconds.

    ``own`` is the units this entry has in flight there and ``others`` what
    other entries had by the latest report. ``factor`` is
    the learned run time relative to what is expected of a task: 2.0 is a
    target half as fast as the mean. ``distance_ms`` is a round trip longer
    than one within the data centre.
    """

    __slots__ = (
        "capacity_units",
        "data_centre",
        "extra_round_trip_ms",
        "factor",
        "full_until_ms",
        "health",
        "in_flight",
        "incarnation",
        "last_heard_ms",
        "last_result_ms",
        "linked",
        "load_reported_at_ms",
        "name",
        "other_units",
        "own_units",
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
        """Start active, with nothing in flight."""
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.shape = shape
        self.state = load_chart("member").initial
        self.linked = True
        self.last_heard_ms = now_ms
        self.last_result_ms = 0
        self.capacity_units = total_units(shape)
        self.extra_round_trip_ms = 0.0
        self.full_until_ms = 0
        self.own_units = 0
        self.other_units = 0.0
        self.load_reported_at_ms = now_ms
        self.factor = Estimate(1.0, FACTOR_WEIGHT, FACTOR_PRIOR)
        self.health = Health()
        self.in_flight: dict[tuple[str, str], TrackedTask] = {}

    def identity(self) -> str:
        """Return the name that rosters use: one per incarnation."""
        return f"{self.name}#{self.incarnation}"

    def record_load(self, load: int, now_ms: int) -> None:
        """Learn from a reported load what other entries have in flight."""
        self.other_units = max(0.0, float(load - self.own_units))
        self.load_reported_at_ms = now_ms
        if load < self.capacity_units:
            self.full_until_ms = 0

    def estimate_other_units(self, now_ms: int, half_life_ms: int) -> float:
        """Return what others have in flight, if their tasks end unseen."""
        if half_life_ms == 0:
            return self.other_units
        age_ms = now_ms - self.load_reported_at_ms
        return self.other_units * math.exp2(-age_ms / half_life_ms)

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
        "running_by_team",
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
        self.running_by_team: dict[str, int] = {}


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
        self.fastest_first: list[Member] = []
        self.peers: dict[str, Peer] = {}
        self.jobs: dict[str, TrackedJob] = {}
        self.live_jobs: dict[str, TrackedJob] = {}
        self.queue = FairQueue()
        self.delayed_tasks: list[TrackedTask] = []
        self.claims = ClaimTable(policy.claim_horizon_ms)
        self.pending_claims: dict[str, int] = {}
        self.claim_batch: ClaimBatch | None = None
        self.next_claim_append_ms = 0
        self.last_tick_ms = 0
        self.claim_reads_needed = 0
        self.last_id = 0
        self.preset = Preset(0, "ordinary")
        self.preset_changes: dict[str, PresetChange] = {}
        self.next_republish_ms = 0
        self.retry_budget = Budget()
        self.hedge_budget = Budget(0.0)
        self.run_ms_by_kind: dict[str, Estimate] = {}
        self.completions_per_ms = Estimate(0.0, 0.05)
        self.completed_in_window = 0
        self.rate_window_start_ms = 0
        self.forward_tokens: dict[int, str] = {}
        self.success_rate_by_kind: dict[str, Estimate] = {}
        self.unsent_cancels: dict[str, set[str]] = {}
        self.dialled_links: set[str] = set()
        self.dump_tokens: set[int] = set()
        self.leaving = False
        self.next_digest_ms = 0
        self.next_member_scan_ms = 0
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []

    def preset_policy(self) -> Policy:
        """Return what the preset in force sets."""
        return policy_of(self.preset)

    def next_id(self) -> int:
        """Return a number that is unique within this incarnation."""
        self.last_id += 1
        return self.last_id
