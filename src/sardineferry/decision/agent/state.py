"""State of the agent's decisions."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.agent.table import StartTable
from sardineferry.decision.agent.usage import UsageModel
from sardineferry.decision.cost import total_units
from sardineferry.decision.preset import Preset

if TYPE_CHECKING:
    from sardineferry.decision.agent.table import Row
    from sardineferry.decision.effects import Effect
    from sardineferry.messages.target import TargetShape

__all__ = ["AgentPolicy", "AgentState", "EntryLink"]


class AgentPolicy(NamedTuple):
    """Limits of an agent; times are in milliseconds.

    ``queue_units`` may queue beyond the target's units; what exceeds them is
    refused, so that it can run elsewhere. Rows of non-idempotent tasks are
    kept for ``horizon_ms``, of idempotent ones for ``short_horizon_ms`` past
    their deadline.
    """

    lease_ms: int = 4_000
    heartbeat_ms: int = 1_000
    queue_units: int = 1
    table_limit: int = 50_000
    horizon_ms: int = 600_000
    short_horizon_ms: int = 10_000
    max_entries: int = 6
    forget_ms: int = 60_000


class EntryLink:
    """What the agent knows of one linked entry; times in milliseconds."""

    __slots__ = ("lease_until_ms",)

    def __init__(self, lease_until_ms: int) -> None:
        """Start with a lease."""
        self.lease_until_ms = lease_until_ms


class AgentState:
    """Everything an agent decides from; one thread owns it."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        data_centre: str,
        shape: TargetShape,
        policy: AgentPolicy,
    ) -> None:
        """Start with an idle target and no links."""
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.shape = shape
        self.policy = policy
        self.units = total_units(shape)
        self.in_use = 0
        self.accelerators_in_use = 0
        self.queued_units = 0
        self.queue: deque[Row] = deque()
        self.running: dict[tuple[str, str], Row] = {}
        self.table = StartTable(policy.table_limit)
        self.links: dict[str, EntryLink] = {}
        self.preset = Preset(0, "ordinary")
        self.usage = UsageModel()
        self.leaving = False
        self.next_heartbeat_ms = 0
        self.next_purge_ms = 0
        self.known_addresses: set[str] = set()
        self.learned: dict[str, int] = {}
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []

    def load(self) -> int:
        """Return the units that run or queue."""
        return self.in_use + self.queued_units
