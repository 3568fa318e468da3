"""The limits and the state of an agent's decisions."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.agent.table import StartTable
from sardineferry.decision.agent.usage import UsageModel
from sardineferry.decision.capacity_units import total_units
from sardineferry.decision.preset import Preset

if TYPE_CHECKING:
    from sardineferry.decision.agent.table import Row
    from sardineferry.decision.effects import Effect
    from sardineferry.messages.target import TargetShape

__all__ = ["AgentPolicy", "AgentState", "EntryLink"]


class AgentPolicy(NamedTuple):
    """Limits of an agent; times are in milliseconds.

    ``queue_units`` is how many capacity units may wait while the target is full;
    tasks beyond that are refused, so that they can run elsewhere. An entry may start
    tasks for ``lease_ms`` after a heartbeat that it echoes. This must be shorter than
    its ``lost_after_ms`` (``EntryPolicy``), so that an agent it takes for lost starts
    none of its tasks. ``table_limit`` is the largest number of rows in the start
    table. A row is kept until ``row_retention_ms`` after its task's deadline, or
    ``idempotent_row_retention_ms`` if the task is idempotent. An entry whose address
    came from another entry is dialled for ``learned_entry_timeout_ms`` without a
    link.
    """

    lease_ms: int = 4_000
    heartbeat_interval_ms: int = 1_000
    queue_units: int = 1
    table_limit: int = 50_000
    row_retention_ms: int = 600_000
    idempotent_row_retention_ms: int = 10_000
    max_known_entries: int = 6
    learned_entry_timeout_ms: int = 60_000


class EntryLink:
    """A link to an entry.

    The entry may start tasks until ``lease_until_ms`` of the agent's clock.
    """

    __slots__ = ("lease_until_ms",)

    def __init__(self, lease_until_ms: int) -> None:
        """Start with a lease until this time."""
        self.lease_until_ms = lease_until_ms


class AgentState:
    """All state of an agent's decisions; only one thread uses it."""

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
        # Capacity units that the target offers.
        self.units = total_units(shape)
        self.units_in_use = 0
        self.accelerators_in_use = 0
        self.queued_units = 0
        self.queue: deque[Row] = deque()
        # Rows of running tasks by submission and task.
        self.running: dict[tuple[str, str], Row] = {}
        self.table = StartTable(policy.table_limit)
        self.links: dict[str, EntryLink] = {}
        self.preset = Preset(0, "ordinary")
        self.usage = UsageModel()
        self.leaving = False
        self.next_heartbeat_ms = 0
        self.next_purge_ms = 0
        self.known_addresses: set[str] = set()
        # Addresses learned from entries, and when each was last linked or, if it
        # never was, learned.
        self.learned_last_linked_ms: dict[str, int] = {}
        self.counters: Counter[str] = Counter()
        self.effects: list[Effect] = []

    def load(self) -> int:
        """Return the capacity units of running and queued tasks."""
        return self.units_in_use + self.queued_units
