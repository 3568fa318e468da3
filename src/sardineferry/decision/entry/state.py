"""The state of an entry's decisions: agents, peers, jobs, claims and preset."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from sardineferry.charts import load_chart
from sardineferry.decision.capacity_units import total_units
from sardineferry.decision.circuit_breaker import CircuitBreaker
from sardineferry.decision.claims import ClaimTable
from sardineferry.decision.entry.queue import FairQueue
from sardineferry.decision.moving_average import MovingAverage
from sardineferry.decision.preset import Preset
from sardineferry.decision.preset import PresetPolicy
from sardineferry.decision.preset import policy_of_preset
from sardineferry.decision.retry_limits import RetryBudget

if TYPE_CHECKING:
    from random import Random

    from sardineferry.decision.effects import Effect
    from sardineferry.decision.entry.jobs import TrackedJob
    from sardineferry.decision.entry.jobs import TrackedTask
    from sardineferry.decision.entry.policy import EntryPolicy
    from sardineferry.messages.target import TargetShape

__all__ = ["AgentView", "ClaimBatch", "EntryState", "Peer", "PresetChange"]


# Weight of one run in a target's run-time factor. It is small because targets
# seldom change their speed while single run times vary widely.
RUN_TIME_FACTOR_WEIGHT = 0.01
# Number of runs that the initial factor of 1.0 counts as, so that a new target
# whose first tasks happen to be long is not taken for a slow one.
RUN_TIME_FACTOR_PRIOR_RUNS = 10


class AgentView:
    """One agent and its target, as this entry knows them.

    ``own_units`` are the capacity units of this entry's tasks in flight there
    and ``other_units`` those of other entries, by the agent's latest report.
    ``run_time_factor`` is the learned ratio of the target's run times to the
    expected ones: 2.0 means half as fast as the mean. ``extra_round_trip_ms``
    is by how much a round trip exceeds one within the data centre. Until
    ``full_until_ms`` the agent gets no tasks, as it refused one for lack of
    capacity. ``health`` is the circuit breaker of the target. ``in_flight`` is
    keyed by submission and task id.
    """

    __slots__ = (
        "capacity_units",
        "data_centre",
        "extra_round_trip_ms",
        "full_until_ms",
        "health",
        "in_flight",
        "incarnation",
        "last_heard_at_ms",
        "last_result_at_ms",
        "linked",
        "load_reported_at_ms",
        "name",
        "other_units",
        "own_units",
        "run_time_factor",
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
        """Create a linked, active agent with nothing in flight."""
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.shape = shape
        self.state = load_chart("agent").initial
        self.linked = True
        self.last_heard_at_ms = now_ms
        self.last_result_at_ms = 0
        self.capacity_units = total_units(shape)
        self.extra_round_trip_ms = 0.0
        self.full_until_ms = 0
        self.own_units = 0
        self.other_units = 0.0
        self.load_reported_at_ms = now_ms
        self.run_time_factor = MovingAverage(
            1.0, RUN_TIME_FACTOR_WEIGHT, RUN_TIME_FACTOR_PRIOR_RUNS
        )
        self.health = CircuitBreaker()
        self.in_flight: dict[tuple[str, str], TrackedTask] = {}

    def identity(self) -> str:
        """Return the name in rosters, which is unique to this incarnation."""
        return f"{self.name}#{self.incarnation}"

    def record_load(self, load: int, now_ms: int) -> None:
        """Derive the units of other entries from the target's reported load."""
        self.other_units = max(0.0, float(load - self.own_units))
        self.load_reported_at_ms = now_ms
        if load < self.capacity_units:
            self.full_until_ms = 0

    def estimate_other_units(self, now_ms: int, half_life_ms: int) -> float:
        """Estimate the units that other entries have in flight now.

        This entry gets no message when their tasks end, so the last report
        decays with ``half_life_ms``; 0 means no decay.
        """
        if half_life_ms == 0:
            return self.other_units
        age_ms = now_ms - self.load_reported_at_ms
        return self.other_units * math.exp2(-age_ms / half_life_ms)

    def advance(self, event: str) -> None:
        """Apply an event of the agent state chart.

        The event ``lapse`` means that the agent was silent for too long and counts
        as lost.

        Raises:
            ChartError: The event is not allowed in the current state.

        """
        self.state = load_chart("agent").advance(self.state, event)


class Peer:
    """Another entry, as this entry knows it.

    ``link`` is the open link that this entry dialled to it, or empty.
    ``running_by_team`` is from its latest digest.
    """

    __slots__ = (
        "address",
        "data_centre",
        "incarnation",
        "last_heard_at_ms",
        "leaving",
        "link",
        "name",
        "running_by_team",
    )

    def __init__(self, name: str, now_ms: int) -> None:
        """Create a peer of which only the name is known yet."""
        self.name = name
        self.incarnation = ""
        self.address = ""
        self.data_centre = ""
        self.link = ""
        self.last_heard_at_ms = now_ms
        self.leaving = False
        self.running_by_team: dict[str, int] = {}


class PresetChange:
    """An operator's preset change, until it is read back from the shared log."""

    __slots__ = ("body", "deadline_ms", "record_id", "retry_at_ms", "token", "version")

    def __init__(
        self, token: int, record_id: str, body: str, version: int, deadline_ms: int
    ) -> None:
        """Keep the appended record; the operator is answered by ``deadline_ms``."""
        self.token = token
        self.record_id = record_id
        self.body = body
        self.version = version
        self.deadline_ms = deadline_ms
        self.retry_at_ms = 0


class ClaimBatch:
    """Claims that are being appended to the shared log as one record."""

    __slots__ = ("body", "claims", "failures", "record_id", "retry_at_ms")

    def __init__(
        self, record_id: str, body: str, claims: frozenset[tuple[str, int]]
    ) -> None:
        """Keep the appended record and its ``(submission, epoch)`` pairs."""
        self.record_id = record_id
        self.body = body
        self.claims = claims
        self.failures = 0
        self.retry_at_ms = 0


class EntryState:
    """All state of an entry's decisions; only one thread uses it.

    ``jobs`` holds all known jobs by submission and ``live_jobs`` those without
    a final state. ``fastest_first`` lists the linked, active agents by speed.
    ``delayed_tasks`` wait for the end of their retry delay. ``pending_claims``
    maps submissions to the epochs to be claimed by the next append. The known
    claims may be outdated until the claim stream has been read
    ``claim_reads_needed`` more times. ``preset_changes`` is keyed by record id.
    ``run_time_by_kind`` is in milliseconds, or relative to the declared run time
    for kinds whose tasks declare one. ``completed_in_window`` counts tasks
    answered since ``rate_window_start_ms``. ``unsent_cancels`` maps agents to
    the submissions for the next cancel message to them. ``forward_tokens`` maps
    the tokens of forwarded jobs to submissions. ``dialled_links`` are the links
    that this entry opened, ``dump_tokens`` the unanswered requests for an
    agent's state.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        address: str,
        data_centre: str,
        policy: EntryPolicy,
        random: Random,
    ) -> None:
        """Create a state without agents, peers or jobs."""
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.data_centre = data_centre
        self.policy = policy
        self.random = random
        self.agents: dict[str, AgentView] = {}
        self.fastest_first: list[AgentView] = []
        self.peers: dict[str, Peer] = {}
        self.jobs: dict[str, TrackedJob] = {}
        self.live_jobs: dict[str, TrackedJob] = {}
        # About how much memory these take.
        self.job_bytes = 0
        self.queue = FairQueue()
        self.delayed_tasks: list[TrackedTask] = []
        self.claims = ClaimTable(policy.claim_retention_ms)
        self.pending_claims: dict[str, int] = {}
        self.claim_batch: ClaimBatch | None = None
        self.next_claim_append_ms = 0
        self.last_tick_at_ms = 0
        self.claim_reads_needed = 0
        self.last_id = 0
        self.preset = Preset(0, "ordinary")
        self.preset_changes: dict[str, PresetChange] = {}
        self.next_republish_ms = 0
        self.retry_budget = RetryBudget()
        self.hedge_budget = RetryBudget(0.0)
        self.run_time_by_kind: dict[str, MovingAverage] = {}
        self.completions_per_ms = MovingAverage(0.0, 0.05)
        self.completed_in_window = 0
        self.rate_window_start_ms = 0
        self.forward_tokens: dict[int, str] = {}
        self.success_rate_by_kind: dict[str, MovingAverage] = {}
        self.unsent_cancels: dict[str, set[str]] = {}
        self.dialled_links: set[str] = set()
        self.dump_tokens: set[int] = set()
        self.leaving = False
        self.next_digest_ms = 0
        self.next_agent_check_ms = 0
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []

    def preset_policy(self) -> PresetPolicy:
        """Return the policy of the preset in force."""
        return policy_of_preset(self.preset)

    def next_id(self) -> int:
        """Return a number that is unique within this incarnation."""
        self.last_id += 1
        return self.last_id
