"""The state of an entry for burst jobs: jobs, tasks and agents."""

from __future__ import annotations

import math
from collections import Counter
from collections import OrderedDict
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.charts import load_chart
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.config_relay import STORE_READ_MS
from sardineferry.decision.burst.config_relay import ConfigRelay
from sardineferry.decision.burst.configuration import NO_CONFIGURATION
from sardineferry.decision.burst.configuration import RouteTable
from sardineferry.decision.burst.evacuation import EvacuationRelay
from sardineferry.decision.burst.other_runs import KnownOtherRuns
from sardineferry.decision.burst.overload import ArrivalRates
from sardineferry.decision.burst.overload import WaitingJob
from sardineferry.decision.burst.overload.backlog import KnownBacklog
from sardineferry.decision.burst.overload.backlog import OwnStatement
from sardineferry.decision.burst.overload.left_capacity import LeftCapacity
from sardineferry.decision.burst.overload.left_capacity import TaskDurations
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.burst.run_limits import MAX_RUNS
from sardineferry.decision.burst.run_limits import MAX_STARTING_RUNS
from sardineferry.decision.burst.run_relay import RunRelay
from sardineferry.decision.burst.slowdown import WorkerSlowdowns
from sardineferry.decision.burst.worker_choice import DEFAULT_REMOTE_FACTOR
from sardineferry.decision.burst.worker_choice import JobTimes
from sardineferry.decision.burst.worker_choice import WorkerTrust
from sardineferry.decision.circuit_breaker import CircuitBreaker
from sardineferry.decision.moving_average import MovingAverage
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunRef

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from random import Random

    from returns.result import Result

    from sardineferry.decision.burst.configuration import Configuration
    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.decision.burst.entry_callers import WorkerRates
    from sardineferry.decision.burst.requests import BurstJob
    from sardineferry.decision.burst.requests import BurstStep
    from sardineferry.messages.burst import EntryEndpoint
    from sardineferry.messages.burst import WorkerProfile

__all__ = [
    "UNKNOWN_JOB",
    "ActiveJob",
    "ActiveTask",
    "AgentView",
    "BurstEntryState",
    "EarlyJob",
    "EndProof",
    "EndSource",
    "EndedJob",
    "PlacedRun",
]

# Within this time of its start an entry learns of all workers: agents connect
# within 120 ms, and a worker that has just started reports within 1 s.
WORKER_DISCOVERY_MS = 1_500
# From the first link on, within this time those of all agents should be open.
LINK_SETUP_MS = 150
# A measured offset between two clocks is used for this long: clocks that drift apart by
# 100 ppm then differ by 1 ms more.
CLOCK_OFFSET_VALID_MS = 10_000
# Ended jobs are remembered for this long: a copy of a request may arrive seconds after
# its response.
ENDED_JOB_RETENTION_MS = 60_000
# An entry knows of no earlier submissions when it starts. For this long it takes all
# jobs for copies, as those arrive seconds after an answer.
UNINFORMED_MS = 4_000
# Shared by all tasks, as an empty set takes more memory than the rest of a task.
NO_AGENTS: frozenset[str] = frozenset()
# The tasks that wait or run at an entry at most, unless it is told another limit.
DEFAULT_TASK_LIMIT = 100_000
# Bounds the memory for cancelled jobs that agents are told of when they link.
MAX_CANCELLATIONS = 512
# Bounds the memory for them, at about 300 bytes a job. An entry that ends more than a
# thousand jobs a second forgets them sooner.
MAX_REMEMBERED_JOBS = 65_536


# The average time of runs is assumed to be this until the first run has ended, and is
# then taken over about the last 100 runs.
INITIAL_RUN_MS = 100.0
RUN_TIME_WEIGHT = 0.01


class EndedJob(NamedTuple):
    """What is kept of an ended job, in case it is submitted again.

    ``attempt`` is its highest attempt number. ``may_have_run`` is true if a worker
    has started a task, or may have. ``outcome`` is what every later copy of the request
    is answered; None if the job may run again, as its caller got no answer.
    """

    attempt: int
    may_have_run: bool
    outcome: ReplyKind | None = None
    ended_ms: int = 0


UNKNOWN_JOB = EndedJob(0, may_have_run=False)


class EarlyJob(NamedTuple):
    """A job that waits for the configuration, and when it arrived."""

    event: SubmitJob
    arrived_ms: int


class EndSource(Enum):
    """Who said that a run has ended."""

    REPORTED = "reported"
    HELD_RUNS = "held runs list"
    # Nobody: the bound after which a silent agent's leases have lapsed is over.
    BOUND = "agent lost"
    RESTARTED = "agent restarted"
    NOT_SENT = "not sent"


class EndProof(NamedTuple):
    """On what a run counts as ended, so that its task may be ordered again.

    ``is_earlier`` is true for a run for an earlier submission of the job.
    """

    how: str
    reason: str
    source: EndSource
    agent: str
    attempt: int
    ordered_ms: int
    at_ms: int
    is_earlier: bool = False

    def describe(self, now_ms: int) -> str:
        """Return the proof as text for a log line, with ages instead of times."""
        prefix = "earlier submission: " if self.is_earlier else ""
        return (
            f"{prefix}{self.how}: {self.reason or '-'}, {now_ms - self.at_ms} ms ago, "
            f"{self.source.value}, run {self.attempt} at {self.agent}, "
            f"ordered {now_ms - self.ordered_ms} ms ago"
        )


class TaskCounts:
    """How many of a job's tasks wait or are done; its tasks keep the numbers."""

    __slots__ = ("done", "waiting")

    def __init__(self, waiting: int) -> None:
        """Create the numbers of a new job."""
        self.waiting = waiting
        self.done = 0


class ActiveTask:
    """One task of an active job."""

    __slots__ = (
        "agent",
        "attempt",
        "avoided_agents",
        "counts",
        "earlier_runs",
        "end_proof",
        "failures",
        "index",
        "stalled",
        "status",
    )

    def __init__(self, index: int, attempt: int, counts: TaskCounts) -> None:
        """Create a waiting task; attempt numbers up to ``attempt`` are used."""
        self.index = index
        self.counts = counts
        self.status = load_chart("burst_task").initial
        self.attempt = attempt
        self.agent = ""
        self.failures = 0
        # True once a run was stopped because it made too little or no progress.
        self.stalled = False
        # Runs for an earlier submission of the job that have not ended. The task must
        # not be placed before they have.
        self.earlier_runs = 0
        # On what the latest run counts as ended, until the task is ordered again.
        self.end_proof: EndProof | None = None
        # Agents where a run failed, was lost or was rejected by the worker.
        self.avoided_agents = NO_AGENTS

    def advance(self, event: str) -> None:
        """Change the status by the state chart of burst tasks.

        Raises:
            ChartError: The event is not allowed in the current status.

        """
        previous = self.status
        self.status = load_chart("burst_task").advance(previous, event)
        self.counts.waiting += (self.status == "waiting") - (previous == "waiting")
        self.counts.done += self.status == "done"

    def avoid(self, agent: str) -> None:
        """Prefer other agents than this one for the next run."""
        self.avoided_agents |= {agent}


class ActiveJob:
    """A job that has not ended and whose callers wait for the answer."""

    def __init__(
        self,
        job: BurstJob,
        route: Route,
        token: int,
        now_ms: int,
        earlier: EndedJob,
        *,
        is_prioritised: bool = False,
    ) -> None:
        """Create the job with all tasks waiting; ``earlier`` is its last submission.

        ``is_prioritised`` is true if the service's routes have different priorities.
        """
        self.job = job
        self.route = route
        self.tokens = {token}
        self.arrived_ms = now_ms
        self.attempt = earlier.attempt
        self.earlier_attempt = earlier.attempt
        self.goal_ms = response_time_goal_ms(route, self.step.estimate_ms)
        self.times = job_times(route, self.step)
        self.latest_start_ms = 0
        self.is_prioritised = is_prioritised
        # Jobs of other services are served as equally urgent.
        self.priority = route.priority if is_prioritised else 0
        self.counts = TaskCounts(self.step.tasks)
        self.tasks = [
            ActiveTask(index, earlier.attempt, self.counts)
            for index in range(self.step.tasks)
        ]
        # True once a run has ended that a worker started or may have started.
        self.had_run = False
        # True if another submission, here or at another entry, may have run.
        self.ran_before = earlier.may_have_run
        # True if this may be a copy of a request, so that others may be about.
        self.may_be_copy = earlier.attempt > 0
        # True while another entry runs tasks of the job, and until that time after.
        self.is_held = False
        self.release_due_ms: int | None = None
        # True if a limit on runs, not the workers' capacity, keeps its tasks waiting.
        self.is_run_limited = False
        # True if its runs were stopped meanwhile, in favour of the other entry's.
        self.has_yielded = False

    @property
    def step(self) -> BurstStep:
        """The job's only step; jobs with several are refused."""
        return self.job.steps[0]

    @property
    def started(self) -> bool:
        """Return whether any task has run, runs or may run because it was ordered."""
        return self.had_run or self.counts.waiting < self.step.tasks

    @property
    def may_have_run(self) -> bool:
        """Return whether this or an earlier submission has run or may have."""
        return self.ran_before or self.started

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.counts.done == self.step.tasks

    def placeable_tasks(self) -> Iterator[ActiveTask]:
        """Yield the tasks that are not placed and may be placed now."""
        if self.is_held or not self.counts.waiting:
            return
        for task in self.tasks:
            if task.status == "waiting" and not task.earlier_runs:
                yield task

    def has_placeable_task(self) -> bool:
        """Return whether any task may be placed now."""
        return any(True for _ in self.placeable_tasks())

    def forget_tasks(self) -> None:
        """Free the tasks of an ended job; those with runs are known by the runs."""
        self.tasks = []

    def mark_done(self, indexes: Iterable[int]) -> None:
        """Mark waiting tasks as done that another entry has run."""
        for index in indexes:
            if index < len(self.tasks) and self.tasks[index].status == "waiting":
                self.tasks[index].advance("done")
                self.ran_before = True

    def count_earlier_run(self, index: int) -> None:
        """Count a run for an earlier submission, unless this one has no such task."""
        if index < len(self.tasks):
            self.tasks[index].earlier_runs += 1

    def forget_earlier_run(self, index: int, proof: EndProof) -> None:
        """Discount a run for an earlier submission that has ended, if it was counted.

        It was not if the earlier submission had already been forgotten.
        """
        if index < len(self.tasks) and self.tasks[index].earlier_runs:
            self.tasks[index].earlier_runs -= 1
            self.tasks[index].end_proof = proof._replace(is_earlier=True)

    def describe_proof(self, task: ActiveTask, now_ms: int) -> str:
        """Return on what a task that was ordered before may be ordered again."""
        if task.end_proof is not None:
            return task.end_proof.describe(now_ms)
        if self.earlier_attempt and task.attempt == self.earlier_attempt:
            return "earlier submission"
        return "unknown"

    def waiting_work(self) -> float:
        """Return the work of the waiting tasks, in thousandths of a core times ms.

        A held job needs no capacity.
        """
        if self.is_held:
            return 0.0
        step = self.step
        return self.counts.waiting * step.need.cpu * step.estimate_ms

    def is_too_late_to_start(self, now_ms: int) -> bool:
        """Return whether the job has not started and can't end in time any more.

        It is refused with the next tick. Jobs of services without different
        priorities are started until then.
        """
        return (
            self.is_prioritised and now_ms > self.latest_start_ms and not self.started
        )

    def waiting_job(self) -> WaitingJob:
        """Return what the order of service and shedding depend on."""
        started = self.started
        return WaitingJob(
            self.job.job_id,
            self.priority,
            self.arrived_ms,
            self.latest_start_ms,
            self.waiting_work(),
            started,
            self.is_prioritised and not started and not self.is_held,
        )

    def run_ref(self, task: ActiveTask) -> RunRef:
        """Return the reference to the current run of a task."""
        return RunRef(f"{self.job.job_id}.0.0.{task.index}", task.attempt)


def response_time_goal_ms(route: Route, estimate_ms: int) -> float:
    """Return a job's response-time goal for the estimated work of one of its tasks."""
    return route.slack_factor * estimate_ms + route.goal_ms


def job_times(route: Route, step: BurstStep) -> JobTimes:
    """Return what is known of the times of a job."""
    return JobTimes(step.estimate_ms, route.slack_factor, route.goal_ms)


class Reservation(NamedTuple):
    """What an order takes of an agent until a report includes it."""

    need: Resources
    runs: int


class PlacedRun:
    """A run that an agent was ordered to start."""

    __slots__ = ("is_reported", "job", "order", "ordered_ms", "task")

    def __init__(
        self,
        job: ActiveJob,
        task: ActiveTask,
        order: int,
        ordered_ms: int,
        *,
        is_reported: bool,
    ) -> None:
        """Record the task, the number of the order and when it was sent.

        ``is_reported`` is true if other entries are told of the run at once.
        """
        self.job = job
        self.task = task
        self.ordered_ms = ordered_ms
        self.order = order
        self.is_reported = is_reported


class AgentView:
    """What the entry knows of an agent and its worker."""

    def __init__(self, name: str, data_centre: str) -> None:
        """Create the view of an agent without a link."""
        self.name = name
        self.data_centre = data_centre
        self.incarnation = ""
        self.linked = False
        self.profile: WorkerProfile | None = None
        # The worker is slow after its start until this time.
        self.cold_until_ms = 0
        # Free capacity in the agent's last report, and what later orders leave of it.
        self.reported_free = Resources()
        self.available = Resources()
        self.accepting = False
        # By order number, the needs and numbers of runs of orders that the last report
        # does not include.
        self.reservations: dict[int, Reservation] = {}
        # The latest timestamp of the agent's clock, and when it arrived on this
        # entry's clock.
        self.agent_timestamp_ms = 0
        self.timestamp_received_ms = 0
        # A lower bound of what the agent's clock is ahead of this entry's, and when it
        # was measured.
        self.clock_offset_ms = 0
        self.clock_offset_measured_ms: int | None = None
        self.last_heard_ms = 0
        # When its timestamp was last echoed, or its only runs were ordered.
        self.last_echo_ms = 0
        self.last_order_sent_ms = 0
        # The next list of held runs includes no order from this number on.
        self.first_unlisted_order = 0
        self.runs: dict[RunRef, PlacedRun] = {}
        # Runs of an earlier incarnation, which the worker may still be running.
        self.orphans: dict[RunRef, PlacedRun] = {}
        self.orphans_expire_ms = 0
        # When all runs that an earlier process reported have ended; None if it has not
        # restarted since.
        self.earlier_reports_expire_ms: int | None = None
        self.health = CircuitBreaker()
        self.trust = WorkerTrust()
        # The agent need not be asked again for capacity updates before this time.
        self.updates_requested_until_ms = 0

    def update_capacity(self, free: Resources, last_order: int) -> bool:
        """Record reported free capacity that includes orders up to ``last_order``.

        Return whether more of any resource is available than before.
        """
        previous = self.available
        self.reported_free = free
        self.reservations = {
            order: reservation
            for order, reservation in self.reservations.items()
            if order > last_order
        }
        self.available = free
        for reservation in self.reservations.values():
            self.available = self.available.minus(reservation.need)
        return not previous.covers(self.available)

    def reserve(self, order: int, need: Resources, runs: int) -> None:
        """Reserve the need of an order until a report includes the order."""
        self.reservations[order] = Reservation(need, runs)
        self.available = self.available.minus(need)

    def orderable_runs(self) -> int:
        """Return how many more runs the agent can be ordered to start."""
        unreported = sum(reservation.runs for reservation in self.reservations.values())
        return max(0, min(MAX_STARTING_RUNS - unreported, MAX_RUNS - len(self.runs)))

    def cancel_reservation(self, order: int) -> None:
        """Remove the reservation of an order that was not sent."""
        reservation = self.reservations.pop(order, None)
        if reservation is not None:
            self.available = self.available.plus(reservation.need)

    def clear_reservations(self) -> None:
        """Remove all reservations, as the next report includes all orders."""
        self.reservations.clear()
        self.available = self.reported_free

    def record_timestamp(self, timestamp_ms: int, now_ms: int) -> None:
        """Record contact with the agent, and its timestamp unless out of order."""
        self.last_heard_ms = now_ms
        if timestamp_ms > self.agent_timestamp_ms:
            self.agent_timestamp_ms = timestamp_ms
            self.timestamp_received_ms = now_ms
            self.measure_clock_offset(timestamp_ms, now_ms)

    def measure_clock_offset(self, timestamp_ms: int, now_ms: int) -> None:
        """Keep the highest offset measured lately: that timestamp was delayed least."""
        offset_ms = timestamp_ms - now_ms
        measured_ms = self.clock_offset_measured_ms
        if (
            measured_ms is None
            or offset_ms >= self.clock_offset_ms
            or now_ms - measured_ms > CLOCK_OFFSET_VALID_MS
        ):
            self.clock_offset_ms = offset_ms
            self.clock_offset_measured_ms = now_ms

    def runs_expire_ms(self) -> int:
        """Return when all runs ordered here have surely ended if the agent is lost.

        The agent counts this entry as alive until its echo of a timestamp is too
        old, or until its newest order expires, whichever is later.
        """
        newest_ms = max(self.timestamp_received_ms, self.last_order_sent_ms)
        return newest_ms + timing.RUNS_ENDED_AFTER_MS

    def current_profile(self, now_ms: int) -> WorkerProfile | None:
        """Return the worker's profile with how long the worker now stays cold."""
        cold_left_ms = max(0, self.cold_until_ms - now_ms)
        return self.profile and self.profile._replace(cold_left_ms=cold_left_ms)

    def kind(self) -> str:
        """Return the worker's kind: its first label."""
        if self.profile is None or not self.profile.labels:
            return ""
        return self.profile.labels[0]


class BurstEntryState:
    """All state that the entry's event handlers read and change."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        data_centre: str,
        grace_ms: int,
        decode_configuration: Callable[[bytes], Result[Configuration, str]],
        random: Random,
        remote_factor: float = DEFAULT_REMOTE_FACTOR,
        task_limit: int = DEFAULT_TASK_LIMIT,
    ) -> None:
        """Create the state without a configuration, agents or jobs.

        ``task_limit`` bounds the tasks of all active jobs.
        """
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.grace_ms = grace_ms
        self.decode_configuration = decode_configuration
        self.random = random
        self.effects: list[BurstEffect] = []
        self.counters: Counter[str] = Counter()
        # Names of the agents whose timestamp is echoed at the end of the pass.
        self.due_echoes: dict[str, None] = {}
        self.config_relay = ConfigRelay(STORE_READ_MS, max_unasked_bytes=None)
        self.configuration = NO_CONFIGURATION
        self.route_table = RouteTable(())
        self.known_entries: tuple[EntryEndpoint, ...] = ()
        # Whether other entries may be in this data centre.
        self.has_peers = False
        self.agents: dict[str, AgentView] = {}
        self.jobs: dict[str, ActiveJob] = {}
        # The tasks of all active jobs, and their limit.
        self.task_count = 0
        self.task_limit = task_limit
        self.job_ids_by_token: dict[int, str] = {}
        # When callers that have a deadline stop waiting, by token.
        self.deadlines_by_token: dict[int, int] = {}
        # Jobs that came before the configuration, by token.
        self.early_jobs: dict[int, EarlyJob] = {}
        # Jobs with waiting tasks.
        self.queue: list[ActiveJob] = []
        # True if a waiting task may fit that was new or did not fit at the last
        # placement.
        self.placement_due = False
        # True if the last placement stopped at a limit, and the next one goes on soon.
        self.placement_unfinished = False
        self.other_runs = KnownOtherRuns()
        self.run_relay = RunRelay()
        self.evacuation = EvacuationRelay()
        # True if an evacuation may keep waiting jobs from being started in time.
        self.evacuation_review_due = False
        # Evacuated data centres that no known process has, and that were logged.
        self.unknown_data_centres: set[str] = set()
        self.ended_jobs: OrderedDict[str, EndedJob] = OrderedDict()
        # The latest jobs that were cancelled here, with the times.
        self.cancellations: deque[tuple[int, str]] = deque(maxlen=MAX_CANCELLATIONS)
        self.own_statement = OwnStatement()
        self.task_durations = TaskDurations()
        self.left_capacity = LeftCapacity()
        self.known_backlog = KnownBacklog()
        # The entries and agents from which the shared agents were computed.
        self.shared_agents_basis: tuple[object, object] = ((), ())
        self.worker_slowdowns = WorkerSlowdowns()
        self.arrival_rates = ArrivalRates()
        # When the rates of the workers were last estimated for forecasts.
        self.known_rates: tuple[int, WorkerRates] | None = None
        # When the next waiting job of a service with priorities has to be refused.
        self.next_refusal_ms = math.inf
        # Names of agents whose worker was distrusted at some time.
        self.once_distrusted: set[str] = set()
        # By which factor runs outside the rack of their data take longer.
        self.remote_factor = remote_factor
        # The average time of the runs that this entry ordered.
        self.run_time = MovingAverage(INITIAL_RUN_MS, RUN_TIME_WEIGHT)
        self.next_order = 1
        self.started_ms: int | None = None
        # When the first agent linked.
        self.first_link_ms: int | None = None
        # What had arrived by this time has been applied.
        self.inputs_ms = 0
        # When the process last resumed after a pause; 0 if it never paused.
        self.resumed_ms = 0
        # When it first read what had arrived during that pause; None if it has yet to.
        self.caught_up_ms: int | None = 0
        self.drain_started_ms: int | None = None
        # True once the process is about to exit: no job is admitted any more.
        self.exiting = False

    def record_contact(self, link: str, now_ms: int) -> AgentView | None:
        """Record that a message came from an agent; return the agent if known."""
        view = self.agents.get(link)
        if view is not None:
            view.last_heard_ms = now_ms
        return view

    def is_remote(self, view: AgentView) -> bool:
        """Return whether an agent is in another data centre."""
        return view.data_centre != self.data_centre

    def set_known_entries(self, entries: tuple[EntryEndpoint, ...]) -> None:
        """Record all entries, of which at first only the addresses may be known."""
        self.known_entries = entries
        self.has_peers = any(
            entry.name != self.name and entry.data_centre in ("", self.data_centre)
            for entry in entries
        )

    def count_earlier_runs(self, job: ActiveJob) -> None:
        """Count the runs for earlier submissions of a job, which is not active yet."""
        for view in self.agents.values():
            for placed in (*view.runs.values(), *view.orphans.values()):
                if placed.job.job.job_id == job.job.job_id:
                    job.count_earlier_run(placed.task.index)

    def wanted_orders(self, view: AgentView) -> tuple[int, ...]:
        """Return the numbers of the orders to an agent whose runs may go on."""
        return tuple(
            sorted(
                {
                    placed.order
                    for placed in view.runs.values()
                    if self.is_active(placed.job)
                }
            )
        )

    def remember_job(self, job_id: str, ended: EndedJob) -> None:
        """Keep what matters of an ended job, in case it is submitted again."""
        self.ended_jobs[job_id] = ended
        self.ended_jobs.move_to_end(job_id)
        while self.ended_jobs:
            oldest = next(iter(self.ended_jobs.values()))
            if (
                len(self.ended_jobs) <= MAX_REMEMBERED_JOBS
                and ended.ended_ms - oldest.ended_ms <= ENDED_JOB_RETENTION_MS
            ):
                return
            self.ended_jobs.popitem(last=False)

    def is_active(self, job: ActiveJob) -> bool:
        """Return whether a job has not ended; a later submission is another job."""
        return self.jobs.get(job.job.job_id) is job

    def is_awaiting_links(self, now_ms: int) -> bool:
        """Return whether agents may yet have to link after the start."""
        return self.first_link_ms is None or now_ms - self.first_link_ms < LINK_SETUP_MS

    def is_discovering_workers(self, now_ms: int) -> bool:
        """Return whether workers may still be unknown because of the recent start."""
        return self.started_ms is None or now_ms - self.started_ms < WORKER_DISCOVERY_MS

    def may_be_copy(self, job_id: str, now_ms: int) -> bool:
        """Return whether a job that arrives now may have been submitted before."""
        is_uninformed = (
            self.started_ms is None or now_ms - self.started_ms < UNINFORMED_MS
        )
        return is_uninformed or self.other_runs.has_ended_runs(job_id)

    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this entry."""
        return (
            self.drain_started_ms is None
            and self.configuration.version >= 0
            and any(view.linked and view.accepting for view in self.agents.values())
        )
