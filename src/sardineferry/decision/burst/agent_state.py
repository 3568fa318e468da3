"""The state of an agent beside a leased worker."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from sardineferry.charts import load_chart
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.config_relay import ConfigRelay
from sardineferry.decision.burst.speed import SpeedEstimator
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunEnded

if TYPE_CHECKING:
    from sardineferry.decision.burst.agent_membership import DialledEntry
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.decision.burst.link_selection import EntryRanking
    from sardineferry.decision.burst.worker import WorkerSeen
    from sardineferry.messages.burst import EntryEndpoint
    from sardineferry.messages.burst import RunRef

__all__ = ["BurstAgentState", "Owner", "Run", "WorkerLife"]

# Ends that an entry may have missed while its link was down.
ENDS_KEPT = 512


class Run:
    """One run at the worker, from the order until its end is listed."""

    __slots__ = (
        "confirmed_ms",
        "estimate_ms",
        "expires_ms",
        "movable",
        "need",
        "owner",
        "ref",
        "spec",
        "started_ms",
        "status",
        "stop_due_ms",
        "stop_reason",
        "tries",
    )

    def __init__(
        self,
        ref: RunRef,
        owner: str,
        need: Resources,
        spec: str,
        estimate_ms: int,
        expires_ms: int,
        movable: bool,
    ) -> None:
        """Begin as ordered; ``owner`` is the name of the entry."""
        self.ref = ref
        self.owner = owner
        self.need = need
        self.spec = spec
        self.estimate_ms = estimate_ms
        self.expires_ms = expires_ms
        self.movable = movable
        self.status = load_chart("run").initial
        self.tries = 0
        self.started_ms = 0
        self.confirmed_ms = 0
        self.stop_reason = ""
        # When a stop without an answer is sent again.
        self.stop_due_ms: int | None = None

    def advance(self, event: str) -> None:
        """Move along the chart."""
        self.status = load_chart("run").advance(self.status, event)


class Owner:
    """An entry, across the links that it has had."""

    def __init__(
        self, name: str, incarnation: str, link: str, near: bool, now_ms: int
    ) -> None:
        """Begin on its first link; ``near`` is in the agent's data centre."""
        self.name = name
        self.near = near
        self.incarnation = incarnation
        self.link = link
        self.linked = True
        # Without a newer echo of our stamps its runs are stopped after this.
        self.alive_until_ms = now_ms + timing.SILENCE_MS
        self.heard_ms = now_ms
        self.last_order = 0
        # When the newest stamp was sent, in whatever message.
        self.stamp_sent_ms = 0
        # Pushes of room: often until this time, as it has work for the worker.
        self.watches_until_ms = 0
        self.room_sent: tuple[Resources, bool] | None = None
        self.room_sent_ms = 0
        self.ends: deque[tuple[int, RunEnded]] = deque(maxlen=ENDS_KEPT)


class WorkerLife:
    """One life of the worker, from its own reports and answers."""

    def __init__(self, seen: WorkerSeen, now_ms: int) -> None:
        """Begin with the first report."""
        self.report = seen
        self.clock_ms = seen.clock_ms
        self.clock_read_ms = now_ms

    def clock_at(self, now_ms: int) -> int:
        """Return a lower bound of the worker's clock."""
        return self.clock_ms + max(0, now_ms - self.clock_read_ms)

    def note_clock(self, clock_ms: int, now_ms: int) -> None:
        """Take a newer reading of the worker's clock."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_ms = now_ms


class BurstAgentState:
    """All that the agent's rules read and change."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        data_centre: str,
        service: str,
        fencing_token: int,
        grace_ms: int,
    ) -> None:
        """Begin without a worker or links."""
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.service = service
        self.fencing_token = fencing_token
        self.grace_ms = grace_ms
        self.effects: list[BurstEffect] = []
        self.counters: Counter[str] = Counter()
        self.config = ConfigRelay()
        self.owners: dict[str, Owner] = {}
        self.link_owners: dict[str, str] = {}
        # Entries by name, how the agent prefers them, and the addresses that it
        # keeps links to.
        self.places: dict[str, EntryEndpoint] = {}
        self.ranking: EntryRanking = {}
        self.dialled: dict[str, DialledEntry] = {}
        self.next_review_ms = 0
        self.worker: WorkerLife | None = None
        # Lives of the worker that entries know to be draining.
        self.drained_births: set[int] = set()
        # Room and labels stay with the machine across lives of its worker.
        self.total: Resources | None = None
        self.labels: tuple[str, ...] = ()
        self.speed = SpeedEstimator()
        self.runs: dict[RunRef, Run] = {}
        # What they take, also those that are being stopped.
        self.taken = Resources()
        # Runs at the worker that nobody here ordered, being stopped.
        self.strays: set[RunRef] = set()
        self.inventoried = False
        self.hold_pending = False
        self.next_hold_ms = 0
        self.acknowledged = 0
        self.ends_to_acknowledge = False
        self.lease_sent_ms = 0
        self.worker_answer_ms = 0
        # An entry may not know the room, or is to be told at a time.
        self.room_dirty = False
        self.room_due_ms: int | None = None
        self.leaving_ms: int | None = None
        # When the process last went on after a pause.
        self.resumed_ms = 0
        self.last_end_ms = 0

    def add_run(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.ref] = run
        self.taken = self.taken.plus(run.need)

    def remove_run(self, run: Run) -> None:
        """Free a run's room, once."""
        if self.runs.pop(run.ref, None) is not None:
            self.taken = self.taken.minus(run.need)

    def free(self) -> Resources:
        """Return the room that no run takes; what is stopped still counts."""
        return (self.total or Resources()).minus(self.taken)

    def accepting(self) -> bool:
        """Tell whether runs may be started."""
        return (
            self.leaving_ms is None
            and self.total is not None
            # Without its clock no lease can be named.
            and self.worker is not None
            and self.inventoried
            and not self.strays
            and not self.worker.report.draining
        )

    def runs_of(self, owner: str) -> list[Run]:
        """Return the runs of an entry."""
        return [run for run in self.runs.values() if run.owner == owner]
