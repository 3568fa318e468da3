"""The state of an agent for burst jobs: entries, its worker and runs."""

from __future__ import annotations

from collections import Counter
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.charts import load_chart
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.config_relay import PART_BYTES
from sardineferry.decision.burst.config_relay import ConfigRelay
from sardineferry.decision.burst.evacuation import EvacuationRelay
from sardineferry.decision.burst.overload.agent_backlog import StatedBacklogs
from sardineferry.decision.burst.run_limits import MAX_RUNS
from sardineferry.decision.burst.run_limits import MAX_STARTING_RUNS
from sardineferry.decision.burst.run_limits import MIN_OFFERED_RUNS
from sardineferry.decision.burst.slowdown import SlowdownEstimator
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import RunRef

if TYPE_CHECKING:
    from sardineferry.decision.burst.dialled_entry import DialledEntry
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.decision.burst.link_selection import EntryRanking
    from sardineferry.decision.burst.worker import WorkerReported
    from sardineferry.messages.burst import EntryEndpoint
    from sardineferry.messages.burst import RelayedRuns

__all__ = [
    "BurstAgentState",
    "EntryView",
    "Run",
    "Succession",
    "WaitingOrder",
    "WorkerIncarnation",
]

# A worker that fails so many stop requests for a run gets no more runs, as no lease is
# extended meanwhile.
MAX_STOP_FAILURES = 3
# Ends of runs kept per entry, as it may have missed them while its link was down.
MAX_KEPT_ENDS = 512


class WaitingOrder(NamedTuple):
    """An order to run a task that waits until an earlier run of the task has ended."""

    ref: RunRef
    entry_name: str
    order: int


class Run:
    """One run of a task, from the entry's order until its end is reported."""

    __slots__ = (
        "confirmed_ms",
        "entry_name",
        "estimate_ms",
        "expires_ms",
        "is_reported",
        "lapsed_ms",
        "movable",
        "need",
        "order",
        "ordered_ms",
        "permitted_until_ms",
        "ref",
        "spec",
        "started_ms",
        "status",
        "stop_due_ms",
        "stop_failures",
        "stop_reason",
        "tries",
        "waiting_orders",
    )

    def __init__(
        self,
        ref: RunRef,
        entry_name: str,
        order: int,
        need: Resources,
        spec: str,
        estimate_ms: int,
        expires_ms: int,
        movable: bool,
    ) -> None:
        """Create a run as ordered by the entry of this name.

        ``order`` is the number of the order, which expires at ``expires_ms``.
        """
        self.ref = ref
        self.entry_name = entry_name
        self.order = order
        self.need = need
        self.spec = spec
        self.estimate_ms = estimate_ms
        self.expires_ms = expires_ms
        # The run is stopped after this time, unless its entry extends it by naming the
        # order as wanted.
        self.permitted_until_ms = expires_ms
        self.movable = movable
        self.status = load_chart("run").initial
        # When the order arrived. Answers to earlier requests are for a run of another
        # entry that had the same attempt number.
        self.ordered_ms = 0
        # Start requests that were sent to the worker.
        self.tries = 0
        self.started_ms = 0
        # When its lease must have lapsed, if another worker has replaced its worker.
        self.lapsed_ms: int | None = None
        # When the worker last confirmed that the run has started or stopped.
        self.confirmed_ms = 0
        self.stop_reason = ""
        # Whether other entries have been told of it, or are in this pass.
        self.is_reported = False
        # Later orders for the same task, typically of another entry to which the
        # caller has submitted the job again.
        self.waiting_orders: list[WaitingOrder] = []
        # When the stop request is sent again; None if that is not scheduled.
        self.stop_due_ms: int | None = None
        # Stop requests that the worker did not answer or refused.
        self.stop_failures = 0

    def advance(self, event: str) -> None:
        """Change the status by the state chart of runs.

        Raises:
            ChartError: The event is not allowed in the current status.

        """
        self.status = load_chart("run").advance(self.status, event)


class EntryView:
    """What the agent knows of an entry, kept while the entry has no link."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        link: str,
        same_data_centre: bool,
        now_ms: int,
    ) -> None:
        """Create the view of a linked entry.

        ``same_data_centre`` is true if it is in the agent's data centre.
        """
        self.name = name
        self.same_data_centre = same_data_centre
        self.incarnation = incarnation
        self.link = link
        self.linked = True
        self.last_heard_ms = now_ms
        # The highest number of an order received from it.
        self.last_order = 0
        # When it was last sent a timestamp, in a heartbeat or a capacity update.
        self.last_timestamp_sent_ms = 0
        # It gets frequent capacity updates until this time, as it has tasks to place.
        self.frequent_updates_until_ms = 0
        # The last capacity update: free capacity, and whether the entry may order.
        self.capacity_sent: tuple[Resources, bool] | None = None
        self.capacity_sent_ms = 0
        # The latest ends of its runs, each with the time when it was reported.
        self.ends: deque[tuple[int, RunEnded]] = deque(maxlen=MAX_KEPT_ENDS)


class Succession(Enum):
    """How a worker incarnation has followed the one before."""

    # Under the same id: the one before has ended, with its runs.
    RESTARTED = "restarted"
    # Under another id: the one before may go on with its runs until their lease lapses.
    REPLACED = "replaced"


class WorkerIncarnation:
    """What the agent knows of one worker process, from its reports and answers."""

    def __init__(self, report: WorkerReported, now_ms: int) -> None:
        """Create it from its first report, or from a placeholder for that."""
        self.report = report
        self.clock_ms = report.clock_ms
        self.clock_updated_ms = now_ms
        self.adopted_ms = now_ms
        # True from when it refused a request that named its id until it answers one.
        self.is_doubted = False
        # How it followed the incarnation before, until the answer to a hold that was
        # sent since has told which of that one's runs are left.
        self.succession: Succession | None = None
        # When the lease of the one before must have lapsed.
        self.predecessor_lapsed_ms = now_ms
        # When its latest answer to a start or a hold arrived; None before the first.
        self.answered_ms: int | None = None

    def clock_at(self, now_ms: int) -> int:
        """Return a lower bound of the worker's clock at the agent's ``now_ms``.

        The clock may be slow, so it has advanced less than the agent's clock.
        """
        elapsed_ms = max(0, now_ms - self.clock_updated_ms)
        return self.clock_ms + int(elapsed_ms * (1 - timing.MAX_CLOCK_SLOWNESS))

    def update_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record a reading of the worker's clock, unless a later one is known."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_updated_ms = now_ms


class BurstAgentState:
    """All state that the agent's event handlers read and change."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        data_centre: str,
        service: str,
        fencing_token: int,
        grace_ms: int,
    ) -> None:
        """Create the state without a worker or links."""
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.service = service
        self.fencing_token = fencing_token
        self.grace_ms = grace_ms
        self.effects: list[BurstEffect] = []
        self.counters: Counter[str] = Counter()
        # A restarted entry that can't read the store gets a short configuration from
        # any agent. A long one is kept only by agents that passed it on.
        self.config_relay = ConfigRelay(0, max_unasked_bytes=PART_BYTES)
        self.evacuation = EvacuationRelay()
        self.entry_views: dict[str, EntryView] = {}
        self.entry_names_by_link: dict[str, str] = {}
        # All known entries by name, their order of preference for this agent, and
        # the addresses that it keeps links to.
        self.known_entries: dict[str, EntryEndpoint] = {}
        self.ranking: EntryRanking = {}
        self.dialled: dict[str, DialledEntry] = {}
        self.review_due_ms = 0
        self.worker: WorkerIncarnation | None = None
        # A reported incarnation that the worker has not confirmed to be by answering.
        self.candidate: WorkerReported | None = None
        # Ids and start times of incarnations that another one has followed.
        self.past_incarnations: set[tuple[str, int]] = set()
        # When incarnations were reported that were not at the worker, by id and start.
        self.rejected_candidates: dict[tuple[str, int], int] = {}
        # Ids and start times of incarnations whose ignored reports were logged once.
        self.ignored_reports: dict[tuple[str, int], None] = {}
        # Start times of worker incarnations that, according to entries, drain.
        self.draining_incarnations: set[int] = set()
        # Resources and labels of the machine, kept when its worker restarts.
        self.total: Resources | None = None
        self.labels: tuple[str, ...] = ()
        self.slowdown_estimator = SlowdownEstimator()
        # The worker is slow after its start until this time. What was learned before is
        # kept for when it no longer is; None if it is not cold.
        self.cold_until_ms = 0
        self.warm_slowdown_estimator: SlowdownEstimator | None = None
        self.runs: dict[RunRef, Run] = {}
        # Runs that other entries are to be told of, ended ones that they were told of,
        # and short ones that have ended, each with its outcome.
        self.unreported_runs: list[Run] = []
        self.unreported_ends: list[tuple[Run, str]] = []
        # Whether copies of the requests of unreported runs may be about.
        self.is_report_urgent = False
        self.unreported_short_runs: list[tuple[Run, str]] = []
        # When the oldest of these is due; None if there are none.
        self.short_runs_due_ms: int | None = None
        # The latest runs that are done, with the times of their ends: the reports may
        # have been lost with a link.
        self.recent_done: deque[tuple[int, Run]] = deque(maxlen=MAX_KEPT_ENDS)
        # The resources of all runs, also of those that are being stopped.
        self.reserved = Resources()
        # Runs, being stopped, that the worker lists but that are not in ``runs``:
        # an earlier agent process started them, or they were given up as lost.
        self.unknown_runs: set[RunRef] = set()
        # True once the worker has listed no unknown run since this process learned
        # of its incarnation or gave up its runs because it was silent.
        self.reconciled = False
        self.hold_pending = False
        # The id that the pending hold names, and the reported incarnation that it asks
        # for, if any.
        self.hold_worker_id = ""
        self.hold_candidate: WorkerReported | None = None
        self.hold_due_ms = 0
        # Holds in a row that got no answer, since the worker's last report or answer.
        self.unanswered_holds = 0
        # The highest number of an end that the worker listed, whether it is still to be
        # acknowledged, and whether the last hold was answered by this incarnation.
        self.acknowledged = 0
        self.ack_due = False
        self.ack_is_fresh = False
        # When the latest lease was sent, and when the latest request that the
        # worker answered was sent or, if that is later, when its incarnation was
        # adopted. The worker does not count as silent for LEASE_MS from then on.
        self.lease_sent_ms = 0
        # The end of that lease on the worker's clock.
        self.lease_until_ms = 0
        self.worker_answer_ms = 0
        # Whether the free capacity may have changed since the last update, and when
        # the next delayed update is due; None if none is delayed.
        self.capacity_changed = False
        self.capacity_update_due_ms: int | None = None
        # The latest cancelled jobs, for entries that link later, with the times.
        self.cancelled_jobs: deque[tuple[int, str]] = deque(maxlen=MAX_KEPT_ENDS)
        # What entries have relayed since their last complete lists, by entry, each
        # with the time when it arrived.
        self.relayed: dict[str, deque[tuple[int, RelayedRuns]]] = {}
        # What waits at the entries, and what was sent of it to others.
        self.stated_backlogs = StatedBacklogs()
        self.drain_started_ms: int | None = None
        # When the process last resumed after a pause; 0 if it never paused.
        self.resumed_ms = 0
        self.last_end_ms = 0

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.ref] = run
        self.reserved = self.reserved.plus(run.need)

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its resources, unless that was done before."""
        if self.runs.pop(run.ref, None) is not None:
            self.reserved = self.reserved.minus(run.need)

    def free(self) -> Resources:
        """Return the resources that no run uses, not even one being stopped."""
        return (self.total or Resources()).minus(self.reserved)

    def startable_runs(self) -> int:
        """Return how many more runs may be started now, whatever they need.

        Runs that are being stopped count, too, until the worker has confirmed it: else
        a worker that does not answer would be ordered ever more.
        """
        unconfirmed = sum(
            run.status in ("starting", "stopping") for run in self.runs.values()
        )
        return max(0, min(MAX_STARTING_RUNS - unconfirmed, MAX_RUNS - len(self.runs)))

    def offered(self) -> Resources:
        """Return the resources that entries may use: none while few runs may start."""
        # Fewer runs can't all be starting, which saves counting them.
        may_start = (
            len(self.runs) <= MAX_STARTING_RUNS - MIN_OFFERED_RUNS
            or self.startable_runs() >= MIN_OFFERED_RUNS
        )
        return self.free() if may_start else Resources()

    def accepting(self) -> bool:
        """Return whether runs may be started."""
        return (
            self.drain_started_ms is None
            and self.total is not None
            # Leases end by the worker's clock, which must be known.
            and self.worker is not None
            and self.reconciled
            and self.candidate is None
            and not self.unknown_runs
            and not self.worker.report.draining
            and all(run.stop_failures < MAX_STOP_FAILURES for run in self.runs.values())
        )

    def is_evacuated(self) -> bool:
        """Return whether no run may be started in this data centre."""
        return self.evacuation.is_evacuated(self.data_centre)

    def runs_of(self, entry_name: str) -> list[Run]:
        """Return the runs that an entry ordered."""
        return [run for run in self.runs.values() if run.entry_name == entry_name]

    def waiting_orders_of(self, entry_name: str) -> list[WaitingOrder]:
        """Return an entry's orders that wait for the ends of earlier runs."""
        return [
            waiting
            for run in self.runs.values()
            for waiting in run.waiting_orders
            if waiting.entry_name == entry_name
        ]
