"""Simulates loads of burst jobs under virtual time.

Entries and agents run the cores of the deployed programs; links, workers and
callers are simulated. Workers differ in speed and size as the users' do, and
callers' estimates are inaccurate. Whether a job is in time is decided by its
true work, which the cores don't know. ``python -m bench.virtual.burst_load
--help`` shows how to run the loads by hand.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections import Counter
from collections import deque
from enum import Enum
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import cyclopts
import msgspec
from returns.result import Result
from returns.result import Success

from sardineferry.core_loop import MAX_EVENTS_PER_PASS
from sardineferry.core_loop import MAX_INPUT_AGE_MS
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.agent import BurstAgentState
from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.configuration import Route
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.decision.burst.link_selection import rank_entries
from sardineferry.decision.burst.link_selection import select_entries
from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.burst.requests import BurstJob
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import BurstStep
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.burst.worker import HoldAnswered
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import ListedEnd
from sardineferry.decision.burst.worker import ListedRun
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.burst.worker import StartAnswered
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopAnswered
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.burst.worker import WorkerReported
from sardineferry.decision.burst.worker_choice import data_factor
from sardineferry.decision.common_effects import Connect
from sardineferry.decision.common_effects import Send
from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunRef

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

__all__ = [
    "DEFAULT_HETEROGENEITY",
    "EXACT_WORKERS",
    "LOADS",
    "MAX_REDIAL_DELAY_MS",
    "SLOWEST_WORKERS",
    "AgentNode",
    "Burst",
    "BurstSimulation",
    "CancelPolicy",
    "Choke",
    "CopyPolicy",
    "DeploymentSize",
    "EntryNode",
    "Fault",
    "Heterogeneity",
    "JobKind",
    "LinkBreak",
    "LoadResult",
    "Node",
    "PassPause",
    "PastRun",
    "PausePoint",
    "WorkerLimits",
    "find_overlapping_runs",
    "find_simultaneous_runs",
    "find_unasked_runs",
    "run_load",
    "run_simulation",
]

# One-way delays of messages between entries and agents.
SAME_DATA_CENTRE_DELAY_MS = 0.3
CROSS_DATA_CENTRE_DELAY_MS = 1.2
WORKER_ROUND_TRIP_MS = 1.0
WARM_UP_MS = 2_000
HOST = "desk.example"
GOAL_MS = 60
# A job's response-time goal is SLACK_FACTOR times its longest task plus GOAL_MS.
SLACK_FACTOR = 1.6
# A late answer has part of its worth up to this multiple of its goal, and none
# after that.
MAX_LATE_GOALS = 3
DRAIN_GRACE_MS = 6_000
# An agent that learns of a break dials again within this time.
MAX_REDIAL_DELAY_MS = 120
# Time that such a pass takes.
PASS_MS = 5
# Delay before a killed entry or a paused agent is tried again.
RETRY_DELAY_MS = 10
# Tokens from this one on are of jobs that were submitted again.
FIRST_TOKEN_OF_RETURNS = 1_000_000_000
# The first report of a worker to a restarted agent may take this long.
MAX_REPORT_DELAY_MS = 1_000
# The platform shortens longer leases to this.
MAX_HOLD_MS = 1_000
WORKER_ID = "w"
# An agent takes a start request for lost after this time.
START_TIMEOUT_MS = 40
# Copies of a request may arrive after these replies.
ANSWERED_ONCE = (ReplyKind.COMPLETED, ReplyKind.FAILED, ReplyKind.CANCELLED)
# These acknowledge a cancellation.
CANCELLATION_ACKNOWLEDGED = (ReplyKind.CANCELLED, ReplyKind.NO_JOB)


class JobKind(NamedTuple):
    """A kind of job: its mean number of tasks and mean work of each task.

    Jobs of a kind are submitted at a rate proportional to ``relative_rate``.
    """

    name: str
    tasks: int
    work_ms: int
    relative_rate: float
    priority: int = 0

    @property
    def path(self) -> str:
        """The path prefix of the kind's route."""
        return f"/{self.name}/"


# The users' kinds of jobs at Tanjung: berth hold, quote, cancellation.
JOB_KINDS = (
    JobKind("hold", 8, 120, 309.0),
    JobKind("quote", 4, 1_800, 56.2),
    JobKind("cancel", 2, 400, 900.0),
)


class Burst(NamedTuple):
    """A time with a higher rate of jobs; an empty ``kind`` means all kinds."""

    start_ms: int
    duration_ms: int
    rate_factor: float
    kind: str = ""


LOADS: dict[str, tuple[Burst, ...]] = {
    "calm": (),
    "all 1.3": (Burst(4_000, 4_000, 1.3),),
    "all 2": (Burst(4_000, 4_000, 2.0),),
    "holds 1.6": (Burst(4_000, 4_000, 1.6, "hold"),),
    "quotes 1.8": (Burst(4_000, 4_000, 1.8, "quote"),),
    "cancels 1.6": (Burst(4_000, 4_000, 1.6, "cancel"),),
}


class DeploymentSize(NamedTuple):
    """The size of a deployment and of its load.

    ``utilization`` is the share of the workers' capacity that the load uses on
    average, without bursts. ``task_cpu`` is the mean need of a task, in
    thousandths of a core. ``job_kinds`` are the jobs that are submitted.
    """

    data_centres: int = 3
    entries: int = 3
    workers: int = 11
    utilization: float = 0.7
    task_cpu: int = 6_200
    job_kinds: tuple[JobKind, ...] = JOB_KINDS


class Heterogeneity(NamedTuple):
    """How workers and jobs differ from each other, as the users' do.

    Workers take the factors of ``size_factors`` and ``speed_factors`` in turn;
    at size 1 a worker has ``cpu`` thousandths of a core. ``work_sigma`` and
    ``estimate_sigma`` are the standard deviations of the logarithms of a job's
    work and of the caller's estimate of it. The work of each task differs from
    that of its job by a share of up to ``task_variation``. A share of the jobs has its
    data in a rack; in other racks, runs of these take ``remote_factor`` times as long.
    """

    size_factors: tuple[float, ...] = (1.0, 1.0, 1.5)
    speed_factors: tuple[float, ...] = (0.6, 1.0, 1.6)
    cpu: int = 64_000
    work_sigma: float = 0.4
    task_variation: float = 0.15
    estimate_sigma: float = 0.4
    data_share: float = 0.0
    remote_factor: float = 1.0
    rack_size: int = 8


DEFAULT_SIZE = DeploymentSize()
DEFAULT_HETEROGENEITY = Heterogeneity()


class Choke(NamedTuple):
    """A time in which messages to entries, or from them, take longer, by this much."""

    start_ms: int
    duration_ms: int
    to_entries_ms: int
    from_entries_ms: int


class Fault(Protocol):
    """A fault at a time that counts from the start of the load."""

    @property
    def start_ms(self) -> int:
        """When the fault happens."""

    def apply(self, simulation: BurstSimulation) -> None:
        """Let the fault happen."""


class LinkBreak(NamedTuple):
    """When the ends of a broken link learn of it, and when the agent dials again.

    The delays of the ends count from the break; that of the new link counts from when
    the agent learns of the break.
    """

    agent_delay_ms: float
    entry_delay_ms: float
    redial_delay_ms: float


class WorkerLimits(NamedTuple):
    """How slow the clocks of workers are, and how long they take to end a run."""

    clock_slowness: float
    kill_ms: int


EXACT_WORKERS = WorkerLimits(0.0, 0)
# The limits that the platform guarantees.
SLOWEST_WORKERS = WorkerLimits(timing.MAX_CLOCK_SLOWNESS, timing.MAX_KILL_MS)


class LoadResult(NamedTuple):
    """The result of a load: shares of the jobs by kind, and their worth.

    ``refused`` includes jobs that failed or got no answer. ``worth`` is the
    achieved share of the possible worth: a job in time has its full worth, a late
    one a part of it, and the worth of a job is inverse to the relative rate of
    its kind. ``worst_window`` is the worth of the jobs submitted in the worst two
    seconds.
    ``start_messages`` counts the messages that order starts.
    """

    in_time: dict[str, float]
    late: dict[str, float]
    refused: dict[str, float]
    worth: float
    worst_window: float
    median_ms: float
    start_messages: int


class VirtualClock:
    """Virtual time and the queue of actions, in the order of their due times."""

    def __init__(self) -> None:
        """Start at an arbitrary time, without actions."""
        self.now_ms = 10_000.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def run_after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        item = (self.now_ms + delay_ms, next(self.sequence), action)
        heapq.heappush(self.queue, item)

    def run_until_ms(self, end_ms: float) -> None:
        """Run the actions due by a time, then set the clock to it."""
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.queue)
            action()
        self.now_ms = end_ms


class WaitingEvent(NamedTuple):
    """An event of a paused process; those of one channel keep their order."""

    event: object
    sender: str
    channel: str


class PausePoint(Enum):
    """Where in a pass of its loop a process pauses.

    The pass has read one event. What arrives during the pause is read by the next one.
    """

    AFTER_POLL = "poll"
    AFTER_TICK = "tick"
    AFTER_EVENTS = "events"
    AFTER_DECISION = "decision"


class PassPause(NamedTuple):
    """A pause within the pass that reads the next event."""

    point: PausePoint
    duration_ms: float


class Node:
    """A process that runs a core."""

    def __init__(
        self,
        simulation: BurstSimulation,
        name: str,
        core: BurstEntryCore | BurstAgentCore,
    ) -> None:
        """Start the ticks of the core."""
        self.simulation = simulation
        self.name = name
        self.core = core
        self.next_tick_ms = 0.0
        self.is_killed = False
        self.incarnation = 1
        self.paused_until_ms = 0.0
        self.waiting_events: deque[WaitingEvent] = deque()
        # The pause of the next pass that reads an event, if any.
        self.next_pause: PassPause | None = None
        # When the events of the present pass were read from the sockets.
        self.polled_ms = 0.0
        # Whether the last pass left events, or drew no conclusion.
        self.has_unread_events = False
        self.conclusion_postponed = False
        self.schedule_tick()

    def now_ms(self) -> int:
        """Return the virtual time in whole milliseconds."""
        return int(self.simulation.clock.now_ms)

    def handle(self, event: object, sender: str, channel: str = "") -> None:
        """Handle an event and carry out its effects, or keep it during a pause.

        ``channel`` names the connection on which the event came, by default the link.
        """
        if self.is_killed:
            return
        if self.is_paused() or self.waiting_events:
            waiting = WaitingEvent(event, sender, channel or sender)
            self.waiting_events.append(waiting)
            return
        self.polled_ms = self.simulation.clock.now_ms
        if self.next_pause is not None:
            pause, self.next_pause = self.next_pause, None
            self.begin_paused_pass(pause, event, sender)
            return
        self.perform(self.core.handle(event, sender, self.now_ms()))
        self.conclude()

    def begin_paused_pass(self, pause: PassPause, event: object, sender: str) -> None:
        """Run a pass up to its pause, and the rest of it once that is over."""
        clock = self.simulation.clock
        fields: dict[str, object] = {
            "ms": pause.duration_ms,
            "after": pause.point.value,
        }
        self.simulation.record_decision(self, "paused", fields)
        self.paused_until_ms = clock.now_ms + pause.duration_ms
        unsent: list[Send] = []
        if pause.point is PausePoint.AFTER_TICK:
            self.perform(self.core.tick(self.now_ms()))
            # This pass has no second tick.
            self.next_tick_ms = self.paused_until_ms + PASS_MS
            clock.run_after(
                pause.duration_ms + PASS_MS, partial(self.tick, self.next_tick_ms)
            )
        if pause.point in (PausePoint.AFTER_EVENTS, PausePoint.AFTER_DECISION):
            unsent += self.perform_unsent(
                self.core.handle(event, sender, self.now_ms())
            )
        if pause.point is PausePoint.AFTER_DECISION:
            effects = self.core.conclude(self.now_ms(), int(self.polled_ms))
            unsent += self.perform_unsent(effects)
        finish = partial(
            self.finish_paused_pass,
            pause.point,
            event,
            sender,
            unsent,
            self.incarnation,
        )
        clock.run_after(pause.duration_ms, finish)

    def finish_paused_pass(
        self,
        point: PausePoint,
        event: object,
        sender: str,
        unsent: list[Send],
        incarnation: int,
    ) -> None:
        """Run the rest of a pass after its pause, then read what came meanwhile."""
        if self.incarnation != incarnation or self.is_killed:
            return
        clock = self.simulation.clock
        if self.is_paused():
            finish = partial(
                self.finish_paused_pass, point, event, sender, unsent, incarnation
            )
            clock.run_after(self.paused_until_ms - clock.now_ms, finish)
            return
        if point is PausePoint.AFTER_POLL and self.next_tick_ms <= clock.now_ms:
            self.perform(self.core.tick(self.now_ms()))
        if point in (PausePoint.AFTER_POLL, PausePoint.AFTER_TICK):
            self.perform(self.core.handle(event, sender, self.now_ms()))
        if point is not PausePoint.AFTER_DECISION:
            self.conclude()
        for effect in unsent:
            self.send(effect)
        self.resume(incarnation)

    def perform_unsent(self, effects: Iterable[object]) -> list[Send]:
        """Carry out effects except sends; return those."""
        unsent = []
        for effect in effects:
            if isinstance(effect, Send):
                unsent.append(effect)
            else:
                self.perform_effect(effect)
        return unsent

    def is_paused(self) -> bool:
        """Return whether the process handles nothing at this time."""
        return self.simulation.clock.now_ms < self.paused_until_ms

    def pause(self, duration_ms: float, in_pass: bool) -> None:
        """Pause the process, between two passes or in one, after its tick.

        After a pause in a pass, no tick comes before the waiting events.
        """
        if self.is_killed:
            return
        clock = self.simulation.clock
        if in_pass and not self.is_paused():
            self.perform(self.core.tick(self.now_ms()))
            self.next_tick_ms = clock.now_ms + duration_ms + PASS_MS
            clock.run_after(
                duration_ms + PASS_MS, partial(self.tick, self.next_tick_ms)
            )
        self.paused_until_ms = max(self.paused_until_ms, clock.now_ms + duration_ms)
        clock.run_after(duration_ms, partial(self.resume, self.incarnation))

    def resume(self, incarnation: int) -> None:
        """End a pause; the connections are read in a random order."""
        if self.is_paused() or self.incarnation != incarnation or self.is_killed:
            return
        by_channel: dict[str, deque[WaitingEvent]] = {}
        for waiting in self.waiting_events:
            by_channel.setdefault(waiting.channel, deque()).append(waiting)
        channels = [waiting.channel for waiting in self.waiting_events]
        self.simulation.fault_random.shuffle(channels)
        self.waiting_events = deque(
            by_channel[channel].popleft() for channel in channels
        )
        self.run_pass(incarnation)

    def run_pass(self, incarnation: int) -> None:
        """Tick if that is due, apply waiting events, and conclude."""
        if self.is_paused() or self.incarnation != incarnation or self.is_killed:
            return
        self.polled_ms = self.simulation.clock.now_ms
        if self.next_tick_ms <= self.simulation.clock.now_ms:
            self.perform(self.core.tick(self.now_ms()))
        count = len(self.waiting_events)
        if not self.has_unread_events:
            count = min(count, MAX_EVENTS_PER_PASS)
        for _ in range(count):
            waiting = self.waiting_events.popleft()
            effects = self.core.handle(waiting.event, waiting.sender, self.now_ms())
            self.perform(effects)
        self.has_unread_events = bool(self.waiting_events)
        self.conclude()
        if self.waiting_events:
            self.simulation.clock.run_after(
                PASS_MS, partial(self.run_pass, incarnation)
            )

    def kill(self) -> None:
        """End the process at once."""
        self.is_killed = True
        self.incarnation += 1
        self.waiting_events.clear()
        self.next_tick_ms = 0.0

    def start_again(self, core: BurstEntryCore | BurstAgentCore) -> None:
        """Start the process again, with a new core."""
        self.is_killed = False
        self.core = core
        self.paused_until_ms = 0.0
        self.next_pause = None
        self.schedule_tick()

    def conclude(self) -> None:
        """End a pass, as ``CoreLoop`` does, and schedule the next tick."""
        is_old = self.now_ms() - self.polled_ms >= MAX_INPUT_AGE_MS
        if self.waiting_events or (is_old and not self.conclusion_postponed):
            self.conclusion_postponed = True
        else:
            self.conclusion_postponed = False
            self.perform(self.core.conclude(self.now_ms(), int(self.polled_ms)))
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedule a tick after the core's interval, unless a sooner one is due."""
        due_ms = self.simulation.clock.now_ms + self.core.tick_interval_ms()
        if (
            self.next_tick_ms <= self.simulation.clock.now_ms
            or due_ms < self.next_tick_ms
        ):
            self.next_tick_ms = due_ms
            self.simulation.clock.run_after(
                due_ms - self.simulation.clock.now_ms, lambda: self.tick(due_ms)
            )

    def tick(self, due_ms: float) -> None:
        """Tick the core, unless a sooner tick has replaced this one."""
        if due_ms != self.next_tick_ms or self.is_paused() or self.is_killed:
            return
        self.next_tick_ms = 0.0
        self.polled_ms = self.simulation.clock.now_ms
        self.perform(self.core.tick(self.now_ms()))
        self.conclude()

    def perform(self, effects: Iterable[object]) -> None:
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self.send(effect)
            else:
                self.perform_effect(effect)

    def send(self, effect: Send) -> None:
        """Send a message over a link."""
        raise NotImplementedError

    def perform_effect(self, effect: object) -> None:
        """Carry out an effect that sends no message."""
        raise NotImplementedError


class EntryNode(Node):
    """An entry; the simulation records its replies to callers."""

    def __init__(
        self, simulation: BurstSimulation, endpoint: EntryEndpoint, seed: int
    ) -> None:
        """Create an entry without configuration or links."""
        state = BurstEntryState(
            endpoint.name,
            "i",
            endpoint.data_centre,
            DRAIN_GRACE_MS,
            simulation.decode_configuration,
            random.Random(seed),
            simulation.heterogeneity.remote_factor,
        )
        self.endpoint = endpoint
        super().__init__(simulation, endpoint.address, BurstEntryCore(state))

    def restart(self, incarnation: int) -> None:
        """Start a killed entry again, unless that was done before."""
        if self.incarnation != incarnation or not self.is_killed:
            return
        self.endpoint = self.endpoint._replace(incarnation=f"i{self.incarnation}")
        state = BurstEntryState(
            self.endpoint.name,
            self.endpoint.incarnation,
            self.endpoint.data_centre,
            DRAIN_GRACE_MS,
            self.simulation.decode_configuration,
            random.Random(self.simulation.fault_random.random()),
            self.simulation.heterogeneity.remote_factor,
        )
        self.start_again(BurstEntryCore(state))
        self.handle(ConfigurationRead(b"1"), "")
        self.handle(EntriesRead(self.simulation.endpoints), "")

    def send(self, effect: Send) -> None:
        """Send a message to an agent."""
        agent = self.simulation.agents[effect.to]
        address = self.endpoint.address
        self.simulation.deliver(self, agent, effect.message, address)

    def perform_effect(self, effect: object) -> None:
        """Record replies to callers, and ignore most other effects."""
        if isinstance(effect, BurstReply):
            self.simulation.record_reply(effect)
        elif isinstance(effect, DropLink):
            agent = self.simulation.agents[effect.name]
            self.simulation.drop_link(agent, self)
        elif isinstance(effect, LogDecision):
            self.simulation.record_decision(self, effect.event, effect.fields)


class AgentNode(Node):
    """An agent and its simulated worker."""

    def __init__(
        self,
        simulation: BurstSimulation,
        name: str,
        data_centre: str,
        speed: float,
        cpu: int,
        labels: tuple[str, ...] = (),
    ) -> None:
        """Create an agent without links, and its worker."""
        state = BurstAgentState(name, "i", data_centre, "desk", 1, DRAIN_GRACE_MS)
        self.data_centre = data_centre
        self.speed = speed
        # By default its kind, which stays when the speed changes.
        self.labels = labels or (f"k{speed}",)
        self.total = Resources(cpu, 1_000_000, 0)
        self.worker_born_ms = 1
        # When the worker's clock showed 0.
        self.clock_start_ms = 0.0
        self.is_worker_up = True
        self.run_start_ms: dict[RunRef, float] = {}
        # On the worker's clock.
        self.lease_until_ms: dict[RunRef, int] = {}
        self.is_lease_check_due = False
        # The highest attempt of each task that has ended or was stopped.
        self.ended_attempts: dict[str, int] = {}
        self.fencing_token = 0
        # Ended runs, each with its start and end.
        self.past_runs: list[tuple[RunRef, float, float]] = []
        self.listed_ends: list[ListedEnd] = []
        self.pending_hold: HoldWorker | None = None
        self.hold_count = 0
        super().__init__(simulation, name, BurstAgentCore(state))

    def kill(self) -> None:
        """End the agent's process; the worker goes on."""
        super().kill()
        self.pending_hold = None

    def restart(self, incarnation: int) -> None:
        """Start a killed agent again, unless that was done before.

        The first report of its worker takes a while.
        """
        if self.incarnation != incarnation or not self.is_killed:
            return
        simulation = self.simulation
        state = BurstAgentState(
            self.name,
            f"i{self.incarnation}",
            self.data_centre,
            "desk",
            self.now_ms(),
            DRAIN_GRACE_MS,
        )
        self.start_again(BurstAgentCore(state))
        delay_ms = simulation.fault_random.uniform(0, MAX_REPORT_DELAY_MS)
        simulation.clock.run_after(delay_ms, self.report_worker)
        for address in simulation.initial_addresses(self):
            simulation.open_link(self, simulation.entries[address], self.incarnation)

    def report_worker(self) -> None:
        """Report the worker to the agent."""
        if self.is_worker_up:
            report = self.make_report(WORKER_ID, self.worker_born_ms)
            self.handle(report, "", "worker")

    def make_report(self, worker_id: str, born_ms: int) -> WorkerReported:
        """Return the first report of an incarnation of the worker."""
        return WorkerReported(
            worker_id,
            born_ms,
            1,
            "desk",
            self.total,
            self.labels,
            False,
            self.worker_clock_ms(),
        )

    def worker_clock_ms(self) -> int:
        """Return the time on the worker's clock, which may be slow."""
        slowness = self.simulation.worker_limits.clock_slowness
        return int(
            (self.simulation.clock.now_ms - self.clock_start_ms) * (1 - slowness)
        )

    def crash_worker(self) -> None:
        """End the worker with all its runs; requests to it get no answer."""
        now_ms = self.simulation.clock.now_ms
        self.is_worker_up = False
        self.past_runs += [
            (run, start_ms, now_ms) for run, start_ms in self.run_start_ms.items()
        ]
        self.run_start_ms.clear()
        self.lease_until_ms.clear()
        self.listed_ends.clear()
        self.ended_attempts.clear()
        self.fencing_token = 0
        if self.pending_hold is not None:
            self.pending_hold = None
            self.answer_agent(HoldAnswered(self.now_ms(), answered=False))

    def restart_worker(self) -> None:
        """Start the worker again under its id; it knows nothing of before."""
        self.is_worker_up = True
        self.worker_born_ms = self.now_ms()
        self.clock_start_ms = self.simulation.clock.now_ms
        self.simulation.end_counts[self.name] = 0

    def send(self, effect: Send) -> None:
        """Send a message to an entry."""
        entry = self.simulation.entries[effect.to]
        self.simulation.deliver(self, entry, effect.message, self.name)

    def perform_effect(self, effect: object) -> None:
        """Pass orders to the worker, and ignore most other effects."""
        if isinstance(effect, StartRun):
            self.simulation.clock.run_after(
                WORKER_ROUND_TRIP_MS / 2, lambda: self.start_run(effect)
            )
        elif isinstance(effect, StopRun):
            self.simulation.clock.run_after(
                WORKER_ROUND_TRIP_MS / 2, lambda: self.stop_run(effect)
            )
        elif isinstance(effect, HoldWorker):
            self.simulation.clock.run_after(
                WORKER_ROUND_TRIP_MS / 2, lambda: self.open_hold(effect)
            )
        elif isinstance(effect, DropLink):
            self.simulation.drop_link(self, self.simulation.entries[effect.name])
        elif isinstance(effect, Connect):
            entry = self.simulation.entries[effect.address]
            self.simulation.clock.run_after(
                1.0, partial(self.simulation.open_link, self, entry, self.incarnation)
            )
        elif isinstance(effect, LogDecision):
            self.simulation.record_decision(self, effect.event, effect.fields)

    def answer_agent(self, event: object) -> None:
        """Send an answer of the worker to the agent process that asked."""
        incarnation = self.incarnation
        self.simulation.clock.run_after(
            WORKER_ROUND_TRIP_MS / 2,
            lambda: self.handle(event, "") if self.incarnation == incarnation else None,
        )

    def is_fenced(self, fencing_token: int) -> bool:
        """Return whether the worker has seen a higher token; record this one."""
        self.fencing_token = max(self.fencing_token, fencing_token)
        return fencing_token < self.fencing_token

    def start_run(self, order: StartRun) -> None:
        """Start a run unless it is refused, and answer."""
        sent_ms = self.now_ms()
        share = self.simulation.unanswered_share
        if share and self.simulation.fault_random.random() < share:
            lost = StartAnswered(order.run, StartAnswer.UNANSWERED, sent_ms, None)
            self.simulation.clock.run_after(
                START_TIMEOUT_MS, partial(self.answer_agent, lost)
            )
            return
        answer = self.try_start(order)
        clock_ms = self.worker_clock_ms() if self.is_worker_up else None
        self.answer_agent(StartAnswered(order.run, answer, sent_ms, clock_ms))

    def try_start(self, order: StartRun) -> StartAnswer:
        """Start a run, which lasts its true work divided by the worker's speed."""
        if not self.is_worker_up:
            return StartAnswer.UNANSWERED
        if order.worker_id not in ("", WORKER_ID):
            return StartAnswer.OTHER_INCARNATION
        if self.is_fenced(order.fencing_token):
            return StartAnswer.FENCED
        if order.run in self.run_start_ms:
            self.extend_leases(order.lease_until_ms)
            return StartAnswer.STARTED
        if order.run.attempt <= self.ended_attempts.get(order.run.task, 0):
            return StartAnswer.SUPERSEDED
        if self.worker_clock_ms() > order.lease_until_ms:
            return StartAnswer.LATE
        work_ms = self.simulation.work_ms_at(self, order.run)
        start_ms = self.simulation.clock.now_ms
        self.run_start_ms[order.run] = start_ms
        self.lease_until_ms[order.run] = 0
        self.extend_leases(order.lease_until_ms)
        self.simulation.clock.run_after(
            work_ms / self.speed, partial(self.finish_run, order.run, start_ms)
        )
        self.schedule_lease_check()
        return StartAnswer.STARTED

    def finish_run(self, run: RunRef, start_ms: float) -> None:
        """End a run as done, unless another one of its name has begun since."""
        if self.run_start_ms.get(run) == start_ms:
            self.end_run(run, "done")

    def extend_leases(self, lease_until_ms: int) -> None:
        """Extend the leases that have not lapsed; 0 leaves them as they are."""
        lease_until_ms = min(lease_until_ms, self.worker_clock_ms() + MAX_HOLD_MS)
        for run, present_ms in self.lease_until_ms.items():
            self.lease_until_ms[run] = max(present_ms, lease_until_ms)

    def schedule_lease_check(self) -> None:
        """Schedule a check at the first end of a lease, unless one is due."""
        if self.is_lease_check_due or not self.lease_until_ms:
            return
        self.is_lease_check_due = True
        left_ms = min(self.lease_until_ms.values()) - self.worker_clock_ms()
        slowness = self.simulation.worker_limits.clock_slowness
        delay_ms = max(0, left_ms) / (1 - slowness) + 1
        self.simulation.clock.run_after(delay_ms, self.check_leases)

    def check_leases(self) -> None:
        """Begin to end the runs whose leases have lapsed."""
        self.is_lease_check_due = False
        for run, until_ms in list(self.lease_until_ms.items()):
            if self.worker_clock_ms() > until_ms:
                del self.lease_until_ms[run]
                self.simulation.record_decision(
                    self, "lease lapsed", {"task": run.task, "attempt": run.attempt}
                )
                self.end_run_soon(run)
        self.schedule_lease_check()

    def end_run_soon(self, run: RunRef) -> None:
        """End a run as lost, which takes the worker a while."""
        kill_ms = self.simulation.worker_limits.kill_ms
        if kill_ms:
            self.simulation.clock.run_after(kill_ms, partial(self.end_run, run, "lost"))
        else:
            self.end_run(run, "lost")

    def stop_run(self, order: StopRun) -> None:
        """Stop a run, which ends as lost."""
        if not self.is_worker_up:
            unanswered = StopAnswered(order.run, False, False, self.now_ms())
            self.answer_agent(unanswered)
            return
        if order.worker_id not in ("", WORKER_ID):
            self.answer_agent(StopAnswered(order.run, True, False, self.now_ms()))
            return
        fenced = self.is_fenced(order.fencing_token)
        self.answer_agent(StopAnswered(order.run, True, fenced, self.now_ms()))
        if not fenced:
            self.record_ended_attempt(order.run)
            self.end_run_soon(order.run)

    def record_ended_attempt(self, run: RunRef) -> None:
        """Record that an attempt must not be started any more."""
        ended_attempt = self.ended_attempts.get(run.task, 0)
        self.ended_attempts[run.task] = max(ended_attempt, run.attempt)

    def end_run(self, run: RunRef, how: str) -> None:
        """End a run and list its end."""
        start_ms = self.run_start_ms.pop(run, None)
        if start_ms is None:
            return
        self.lease_until_ms.pop(run, None)
        self.record_ended_attempt(run)
        self.past_runs.append((run, start_ms, self.simulation.clock.now_ms))
        number = self.simulation.next_end_number(self.name)
        self.listed_ends.append(ListedEnd(number, run, how))
        self.answer_hold()

    def open_hold(self, order: HoldWorker) -> None:
        """Answer a hold at once if ends are listed, else at the next end or timeout."""
        if not self.is_worker_up or order.worker_id not in ("", WORKER_ID):
            self.answer_agent(HoldAnswered(self.now_ms(), answered=False))
            return
        if self.is_fenced(order.fencing_token):
            self.answer_agent(HoldAnswered(self.now_ms(), answered=True, fenced=True))
            return
        self.extend_leases(order.lease_until_ms)
        self.listed_ends = [
            end for end in self.listed_ends if end.number > order.acknowledged
        ]
        self.pending_hold = order
        self.hold_count += 1
        hold_number = self.hold_count
        if self.listed_ends or not order.wait_ms:
            self.answer_hold()
            return
        self.simulation.clock.run_after(
            order.wait_ms,
            lambda: self.answer_hold() if hold_number == self.hold_count else None,
        )

    def progress_percent(self, run: RunRef) -> int:
        """Return the progress of a run in percent, at most 99."""
        work_ms = self.simulation.work_ms_at(self, run) / self.speed
        return min(
            99,
            int(
                100 * (self.simulation.clock.now_ms - self.run_start_ms[run]) / work_ms
            ),
        )

    def answer_hold(self) -> None:
        """Answer the open hold, if there is one."""
        if self.pending_hold is None:
            return
        self.pending_hold = None
        self.answer_agent(
            HoldAnswered(
                self.now_ms(),
                answered=True,
                clock_ms=self.worker_clock_ms(),
                born_ms=self.worker_born_ms,
                present=tuple(
                    ListedRun(run, self.progress_percent(run))
                    for run in self.run_start_ms
                ),
                ends=tuple(self.listed_ends),
            )
        )


def make_configuration(kinds: Iterable[JobKind]) -> Configuration:
    """Return the configuration of a simulation: a route for each kind of job."""
    routes = tuple(
        Route(
            name=kind.name,
            host=HOST,
            path_prefix=kind.path,
            service="desk",
            timeout_ms=0,
            goal_ms=GOAL_MS,
            attempts=4,
            slack_factor=SLACK_FACTOR,
            priority=kind.priority,
            needs_advice=False,
        )
        for kind in kinds
    )
    return Configuration(1, routes, EdgeLimits(), b"1")


class Request(NamedTuple):
    """A submitted job with the true work of each task; ``cpu`` is each task's need."""

    kind: str
    at_ms: float
    work_ms: tuple[float, ...]
    cpu: int
    goal_ms: float
    worth: float


class Caller(NamedTuple):
    """A caller that waits at an entry; ``request`` is the token of its first try.

    Nobody waits for the answer to a copy of a request.
    """

    request: int
    path: str
    job: BurstJob
    entry: EntryNode
    is_copy: bool = False


class CopyPolicy(Protocol):
    """Decides what becomes of an answer, and which copies of a request arrive."""

    def loses_answer(self, rng: random.Random) -> bool:
        """Return whether the answer is lost with its connection."""

    def draw_copy_delay_ms(self, rng: random.Random) -> float | None:
        """Return when after the answer a copy arrives, or None if none does."""


class CancelPolicy(Protocol):
    """Decides which jobs their callers cancel."""

    def draw_cancel_delay_ms(self, rng: random.Random) -> float | None:
        """Return when after its submission a job is cancelled, or None if it isn't."""


class LinkState:
    """The link between an agent and an entry; a new connection has a new number."""

    __slots__ = ("agent_told", "entry_number", "entry_told", "is_open", "number")

    def __init__(self) -> None:
        """Create it without a connection."""
        self.number = 0
        self.is_open = False
        # The connection from which the entry last got a message.
        self.entry_number = 0
        # The last connections of which each end knows that it is broken.
        self.agent_told = 0
        self.entry_told = 0


class BurstSimulation:
    """A deployment of entries and agents, with simulated workers and callers."""

    def __init__(
        self,
        size: DeploymentSize,
        heterogeneity: Heterogeneity,
        seed: int,
        worker_limits: WorkerLimits = EXACT_WORKERS,
    ) -> None:
        """Create the entries and agents and schedule their links."""
        self.clock = VirtualClock()
        self.size = size
        self.heterogeneity = heterogeneity
        self.worker_limits = worker_limits
        # The share of start requests that the worker never gets.
        self.unanswered_share = 0.0
        self.random = random.Random(seed)
        self.fault_random = random.Random(-seed)
        self.entries: dict[str, EntryNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self.end_counts: Counter[str] = Counter()
        self.requests: dict[int, Request] = {}
        self.requests_by_job_id: dict[str, Request] = {}
        self.racks_by_job_id: dict[str, str] = {}
        self.racks = [
            f"rack{number}"
            for number in range(-(-size.workers // heterogeneity.rack_size))
        ]
        self.replies: dict[int, tuple[ReplyKind, float]] = {}
        self.start_messages = 0
        # With faults, callers that get no answer submit again, and links break.
        self.has_faults = False
        self.callers: dict[int, Caller] = {}
        self.copy_policy: CopyPolicy | None = None
        self.cancel_policy: CancelPolicy | None = None
        # Jobs that are being cancelled, by token, and when it was acknowledged, by job.
        self.cancelling: dict[int, str] = {}
        self.cancelled_ms: dict[str, float] = {}
        self.next_token = FIRST_TOKEN_OF_RETURNS
        self.links: dict[tuple[str, str], LinkState] = {}
        # Decisions and lost messages, with their times and processes, if recorded.
        self.history: list[tuple[float, str, str, dict[str, object]]] | None = None
        self.chokes: tuple[Choke, ...] = ()
        # When the last message of each link arrives, by sender and receiver.
        self.last_arrival_ms: dict[tuple[Node, Node], float] = {}
        self.endpoints = tuple(
            EntryEndpoint(f"e{n}", f"e{n}:1", f"dc{n % size.data_centres}", "i")
            for n in range(size.entries)
        )
        for number, endpoint in enumerate(self.endpoints):
            self.entries[endpoint.address] = EntryNode(self, endpoint, seed + number)
        for number in range(size.workers):
            self.add_agent(number)
        for entry in self.entries.values():
            entry.handle(ConfigurationRead(b"1"), "")
            entry.handle(EntriesRead(self.endpoints), "")

    def decode_configuration(self, _text: bytes) -> Result[Configuration, str]:
        """Return the same configuration for each text."""
        return Success(make_configuration(self.size.job_kinds))

    def add_agent(self, number: int) -> None:
        """Create an agent, report its worker and schedule its links."""
        heterogeneity = self.heterogeneity
        cpu = int(
            heterogeneity.cpu
            * heterogeneity.size_factors[number % len(heterogeneity.size_factors)]
        )
        # Another index than for the size keeps speeds independent of sizes.
        speed = heterogeneity.speed_factors[
            (number * 7 // 3) % len(heterogeneity.speed_factors)
        ]
        data_centre = f"dc{number % self.size.data_centres}"
        rack = self.racks[number // heterogeneity.rack_size]
        labels = (f"k{speed}", rack)
        agent = AgentNode(self, f"a{number}", data_centre, speed, cpu, labels)
        self.agents[agent.name] = agent
        agent.report_worker()
        for address in self.initial_addresses(agent):
            entry = self.entries[address]
            open_link = partial(self.open_link, agent, entry, agent.incarnation)
            self.clock.run_after(1.0, open_link)

    def initial_addresses(self, agent: AgentNode) -> list[str]:
        """Return the addresses of the entries that an agent links to at its start."""
        ranking = rank_entries(agent.name, self.endpoints)
        names = sorted(select_entries(ranking, agent.data_centre, ()))
        return [f"{name}:1" for name in names]

    def link_state(self, agent: AgentNode, entry: EntryNode) -> LinkState:
        """Return the state of the link between an agent and an entry."""
        return self.links.setdefault((agent.name, entry.name), LinkState())

    def open_link(self, agent: AgentNode, entry: EntryNode, incarnation: int) -> None:
        """Open a link for an agent's process, once the entry and it can do so."""
        link = self.link_state(agent, entry)
        if agent.incarnation != incarnation or agent.is_killed or link.is_open:
            return
        if entry.is_killed or agent.is_paused():
            retry = partial(self.open_link, agent, entry, incarnation)
            self.clock.run_after(RETRY_DELAY_MS, retry)
            return
        link.number += 1
        link.is_open = True
        agent.handle(LinkUp(entry.name), "", entry.name)

    def break_link(self, agent: AgentNode, entry: EntryNode, how: LinkBreak) -> None:
        """Break a link: what is on its way, or is written from now on, is lost."""
        link = self.link_state(agent, entry)
        if not link.number:
            return
        link.is_open = False
        self.clock.run_after(
            how.agent_delay_ms,
            partial(self.tell_agent, agent, entry, link.number, how.redial_delay_ms),
        )
        self.clock.run_after(
            how.entry_delay_ms, partial(self.tell_entry, agent, entry, link.number)
        )

    def tell_agent(
        self, agent: AgentNode, entry: EntryNode, number: int, redial_delay_ms: float
    ) -> None:
        """Tell an agent that a connection is broken; it dials again."""
        link = self.link_state(agent, entry)
        if link.number != number or link.agent_told == number:
            return
        link.agent_told = number
        agent.handle(LinkDown(entry.name), "", entry.name)
        open_link = partial(self.open_link, agent, entry, agent.incarnation)
        self.clock.run_after(redial_delay_ms, open_link)

    def tell_entry(self, agent: AgentNode, entry: EntryNode, number: int) -> None:
        """Tell an entry that a connection is broken, unless a new one replaced it."""
        link = self.link_state(agent, entry)
        if link.entry_number != number or link.entry_told == number:
            return
        link.entry_told = number
        entry.handle(LinkDown(agent.name), "", agent.name)

    def drop_link(self, agent: AgentNode, entry: EntryNode) -> None:
        """Break a link as one end asked; without faults, links stay."""
        if self.has_faults:
            redial_delay_ms = self.fault_random.uniform(0, MAX_REDIAL_DELAY_MS)
            self.break_link(agent, entry, LinkBreak(1, 1, redial_delay_ms))

    def deliver(
        self, sender_node: Node, receiver: Node, message: object, sender: str
    ) -> None:
        """Deliver a message after its delay; messages of a link keep their order.

        ``sender`` is the name by which the receiver knows the sender.
        """
        delay_ms = (
            SAME_DATA_CENTRE_DELAY_MS
            if data_centre_of(sender_node) == data_centre_of(receiver)
            else CROSS_DATA_CENTRE_DELAY_MS
        )
        self.start_messages += type(message).__name__ == "StartRuns"
        now_ms = self.clock.now_ms
        delay_ms += sum(
            choke.to_entries_ms
            if isinstance(receiver, EntryNode)
            else choke.from_entries_ms
            for choke in self.chokes
            if 0 <= now_ms - choke.start_ms < choke.duration_ms
        )
        link = (sender_node, receiver)
        arrival_ms = max(now_ms + delay_ms, self.last_arrival_ms.get(link, 0.0))
        self.last_arrival_ms[link] = arrival_ms
        agent, entry = (
            (sender_node, receiver)
            if isinstance(sender_node, AgentNode)
            else (receiver, sender_node)
        )
        assert isinstance(agent, AgentNode)
        assert isinstance(entry, EntryNode)
        state = self.link_state(agent, entry)
        is_announced = receiver is entry or state.entry_number == state.number
        if not state.is_open or not is_announced:
            self.record_loss(sender_node, receiver, message)
            return
        deliver = partial(
            self.arrive, state, state.number, sender_node, receiver, message, sender
        )
        self.clock.run_after(arrival_ms - now_ms, deliver)

    def arrive(
        self,
        link: LinkState,
        number: int,
        sender_node: Node,
        receiver: Node,
        message: object,
        sender: str,
    ) -> None:
        """Let a message arrive, unless its connection has broken."""
        if not link.is_open or link.number != number:
            self.record_loss(sender_node, receiver, message)
            return
        if isinstance(receiver, EntryNode):
            link.entry_number = number
        receiver.handle(message, sender)

    def record_loss(self, sender: Node, receiver: Node, message: object) -> None:
        """Record that a message was lost with its link."""
        fields: dict[str, object] = {"to": receiver.name, "message": message}
        self.record_decision(sender, f"lost {type(message).__name__}", fields)

    def record_decision(
        self, node: Node, event: str, fields: dict[str, object]
    ) -> None:
        """Record what a process decided, or what happened to it."""
        if self.history is not None:
            self.history.append((self.clock.now_ms, node.name, event, fields))

    def next_end_number(self, agent: str) -> int:
        """Return the number of the next end at an agent's worker."""
        self.end_counts[agent] += 1
        return self.end_counts[agent]

    def true_work_ms(self, run: RunRef) -> float:
        """Return the true work of a run, in ms at speed 1."""
        job_id, _, _, index = run.task.split(".")
        return self.requests_by_job_id[job_id].work_ms[int(index)]

    def work_ms_at(self, agent: AgentNode, run: RunRef) -> float:
        """Return the work of a run at a worker, in ms at speed 1."""
        job_id = run.task.partition(".")[0]
        rack = self.racks_by_job_id.get(job_id, "")
        factor = data_factor(agent.labels, rack, self.heterogeneity.remote_factor)
        return self.true_work_ms(run) * factor

    def draw_rack(self) -> str:
        """Draw the rack of a job's data; empty if it names none."""
        share = self.heterogeneity.data_share
        if not share or self.random.random() >= share:
            return ""
        return self.random.choice(self.racks)

    def record_reply(self, effect: BurstReply) -> None:
        """Record the reply to a caller that waits for it, and its time.

        With faults, a caller that gets no answer submits its job again.
        """
        cancelled_job = self.cancelling.pop(effect.token, "")
        if cancelled_job and effect.kind in CANCELLATION_ACKNOWLEDGED:
            self.cancelled_ms.setdefault(cancelled_job, self.clock.now_ms)
        caller = self.callers.pop(effect.token, None)
        if caller is None or caller.is_copy:
            return
        if self.copy_policy is not None and effect.kind in ANSWERED_ONCE:
            delay_ms = self.copy_policy.draw_copy_delay_ms(self.fault_random)
            if delay_ms is not None:
                copy = caller._replace(is_copy=True)
                self.clock.run_after(delay_ms, partial(self.submit_again, copy))
            if self.copy_policy.loses_answer(self.fault_random):
                self.submit_again_later(caller)
                return
        if self.has_faults and effect.kind is ReplyKind.NO_ANSWER:
            self.submit_again_later(caller)
            return
        self.replies[caller.request] = (effect.kind, self.clock.now_ms)

    def break_caller(self, token: int, entry_delay_ms: float) -> None:
        """Break a caller's connection; its entry learns of it later."""
        caller = self.callers.pop(token)
        if caller.is_copy:
            return
        tell = partial(caller.entry.handle, CallerLeft(token), "", f"caller {token}")
        self.clock.run_after(entry_delay_ms, tell)
        self.submit_again_later(caller)

    def submit_again_later(self, caller: Caller) -> None:
        """Submit a job again, after the delay that the platform sets."""
        submit_again = partial(self.submit_again, caller)
        self.clock.run_after(timing.RESUBMIT_DELAY_MS, submit_again)

    def submit_again(self, caller: Caller) -> None:
        """Submit a job again, to a random entry."""
        live = [entry for entry in self.entries.values() if not entry.is_killed]
        if live:
            entry = self.fault_random.choice(live)
            self.next_token += 1
            self.send_job(self.next_token, caller._replace(entry=entry))

    def send_job(self, token: int, caller: Caller) -> None:
        """Send a caller's job to its entry."""
        if caller.entry.is_killed:
            if not caller.is_copy:
                self.submit_again_later(caller)
            return
        self.callers[token] = caller
        event = SubmitJob(token, HOST, caller.path, caller.job)
        caller.entry.handle(event, "", f"caller {token}")

    def cancel_job(self, token: int) -> None:
        """Cancel a job whose caller still waits, at a random entry."""
        caller = self.callers.get(token)
        live = [entry for entry in self.entries.values() if not entry.is_killed]
        if caller is None or not live:
            return
        self.next_token += 1
        self.cancelling[self.next_token] = caller.job.job_id
        event = CancelJob(self.next_token, HOST, caller.path)
        channel = f"caller {self.next_token}"
        self.fault_random.choice(live).handle(event, "", channel)

    def capacity_per_second(self) -> float:
        """Return the work that all workers do in a second.

        The unit is a thousandth of a core times a ms, at speed 1.
        """
        return 1_000 * sum(
            agent.total.cpu * agent.speed for agent in self.agents.values()
        )

    def choose_entry(self) -> EntryNode:
        """Choose the entry of the next job."""
        return self.random.choice(list(self.entries.values()))

    def submit(self, token: int, kind: JobKind) -> None:
        """Draw a random job and submit it to a random entry."""
        heterogeneity, rng = self.heterogeneity, self.random
        tasks = max(1, round(kind.tasks * draw_log_normal(rng, 0.4)))
        work_ms = kind.work_ms * draw_log_normal(rng, heterogeneity.work_sigma)
        task_work_ms = tuple(
            work_ms
            * rng.uniform(
                1 - heterogeneity.task_variation, 1 + heterogeneity.task_variation
            )
            for _ in range(tasks)
        )
        cpu = int(self.size.task_cpu * rng.uniform(0.8, 1.2))
        estimate_ms = work_ms * draw_log_normal(rng, heterogeneity.estimate_sigma)
        request = Request(
            kind.name,
            self.clock.now_ms,
            task_work_ms,
            cpu,
            SLACK_FACTOR * max(task_work_ms) + GOAL_MS,
            1.0 / kind.relative_rate,
        )
        job_id = f"{token:016x}"
        self.requests[token] = request
        self.requests_by_job_id[job_id] = request
        rack = self.racks_by_job_id[job_id] = self.draw_rack()
        step = BurstStep(
            tasks, Resources(cpu, 1, 0), max(1, int(estimate_ms)), "", rack, 0
        )
        job = BurstJob(job_id, "", (step,), "")
        entry = self.choose_entry()
        self.send_job(token, Caller(token, f"{kind.path}{job_id}", job, entry))
        if self.cancel_policy is not None:
            delay_ms = self.cancel_policy.draw_cancel_delay_ms(self.fault_random)
            if delay_ms is not None:
                self.clock.run_after(delay_ms, partial(self.cancel_job, token))


def data_centre_of(node: Node) -> str:
    """Return the data centre of a node."""
    if isinstance(node, EntryNode):
        return node.endpoint.data_centre
    return node.data_centre if isinstance(node, AgentNode) else ""


def draw_log_normal(rng: random.Random, sigma: float) -> float:
    """Draw a log-normal factor with the mean 1."""
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def run_load(
    bursts: tuple[Burst, ...] = (),
    size: DeploymentSize = DEFAULT_SIZE,
    heterogeneity: Heterogeneity = DEFAULT_HETEROGENEITY,
    seed: int = 1,
    load_duration_ms: int = 12_000,
) -> LoadResult:
    """Simulate a load and return its result."""
    simulation = BurstSimulation(size, heterogeneity, seed)
    return run_simulation(simulation, bursts, (), load_duration_ms)


def run_simulation(
    simulation: BurstSimulation,
    bursts: tuple[Burst, ...],
    chokes: tuple[Choke, ...],
    load_duration_ms: int,
    faults: tuple[Fault, ...] = (),
) -> LoadResult:
    """Simulate a load; times of bursts, chokes and faults count from its start."""
    size = simulation.size
    simulation.clock.run_until_ms(simulation.clock.now_ms + WARM_UP_MS)
    load_start_ms = simulation.clock.now_ms
    simulation.chokes = tuple(
        choke._replace(start_ms=int(load_start_ms) + choke.start_ms) for choke in chokes
    )
    simulation.has_faults = bool(faults)
    for fault in faults:
        simulation.clock.run_after(fault.start_ms, partial(fault.apply, simulation))
    # Jobs of a kind are submitted at rate_scale times its relative rate, per ms. So
    # all kinds together need the wanted share of the capacity on average.
    need_per_rate = size.task_cpu * sum(
        kind.relative_rate * kind.tasks * kind.work_ms for kind in size.job_kinds
    )
    rate_scale = (
        size.utilization * simulation.capacity_per_second() / 1_000 / need_per_rate
    )
    tokens = itertools.count(1)
    for kind in size.job_kinds:
        at_ms = load_start_ms
        while True:
            rate = rate_scale * kind.relative_rate
            for burst in bursts:
                if burst.kind in ("", kind.name):
                    since_ms = at_ms - load_start_ms - burst.start_ms
                    rate *= (
                        burst.rate_factor if 0 <= since_ms < burst.duration_ms else 1.0
                    )
            at_ms += simulation.random.expovariate(rate)
            if at_ms > load_start_ms + load_duration_ms:
                break
            submit = partial(simulation.submit, next(tokens), kind)
            simulation.clock.run_after(at_ms - simulation.clock.now_ms, submit)
    simulation.clock.run_until_ms(load_start_ms + load_duration_ms + 15_000)
    return evaluate(simulation, load_start_ms)


class PastRun(NamedTuple):
    """A run that has ended at the worker of an agent."""

    start_ms: float
    end_ms: float
    run: RunRef
    agent: str


def find_overlapping_runs(
    simulation: BurstSimulation,
) -> list[tuple[PastRun, PastRun]]:
    """Return pairs of runs of one task that overlapped."""
    by_task: dict[str, list[PastRun]] = {}
    for agent in simulation.agents.values():
        for run, start_ms, end_ms in agent.past_runs:
            past_run = PastRun(start_ms, end_ms, run, agent.name)
            by_task.setdefault(run.task, []).append(past_run)
    return [
        (first, second)
        for runs in by_task.values()
        for first, second in itertools.pairwise(sorted(runs))
        if second.start_ms < first.end_ms
    ]


def find_unasked_runs(simulation: BurstSimulation, limit_ms: int) -> list[PastRun]:
    """Return runs that began or went on for longer than this after a cancellation."""
    return [
        PastRun(start_ms, end_ms, run, agent.name)
        for agent in simulation.agents.values()
        for run, start_ms, end_ms in agent.past_runs
        if end_ms
        > simulation.cancelled_ms.get(run.task.partition(".")[0], float("inf"))
        + limit_ms
    ]


def find_simultaneous_runs(
    simulation: BurstSimulation,
) -> list[tuple[RunRef, RunRef]]:
    """Return the names of pairs of runs of one task that overlapped."""
    return [
        (first.run, second.run) for first, second in find_overlapping_runs(simulation)
    ]


def evaluate(simulation: BurstSimulation, load_start_ms: float) -> LoadResult:
    """Return the result of a finished simulation.

    Jobs are grouped by the two-second window in which they were submitted; the
    first window begins at ``load_start_ms``.
    """
    counts: dict[str, Counter[str]] = {
        kind.name: Counter() for kind in simulation.size.job_kinds
    }
    worth_by_window: dict[int, list[float]] = {}
    response_times_ms = []
    for token, request in simulation.requests.items():
        reply_kind, answered_at_ms = simulation.replies.get(
            token, (ReplyKind.NO_ANSWER, 0.0)
        )
        response_ms = answered_at_ms - request.at_ms
        earned_share = 0.0
        status = "refused"
        if reply_kind is ReplyKind.COMPLETED:
            response_times_ms.append(response_ms)
            late = response_ms > request.goal_ms
            status = "late" if late else "in time"
            too_late = response_ms > MAX_LATE_GOALS * request.goal_ms
            earned_share = 0.0 if too_late else (0.2 if late else 1.0)
        counts[request.kind][status] += 1
        window = worth_by_window.setdefault(
            int((request.at_ms - load_start_ms) // 2_000), [0.0, 0.0]
        )
        window[0] += earned_share * request.worth
        window[1] += request.worth

    def shares(status: str) -> dict[str, float]:
        return {
            name: round(kind_counts[status] / max(1, kind_counts.total()), 3)
            for name, kind_counts in counts.items()
        }

    earned_worth = sum(window[0] for window in worth_by_window.values())
    possible_worth = sum(window[1] for window in worth_by_window.values())
    return LoadResult(
        shares("in time"),
        shares("late"),
        shares("refused"),
        round(earned_worth / possible_worth, 4),
        round(min(window[0] / window[1] for window in worth_by_window.values()), 4),
        round(statistics.median(response_times_ms), 1),
        simulation.start_messages,
    )


app = cyclopts.App(name="bench.virtual.burst_load")


@app.default
def main(
    *,
    seeds: int = 3,
    entries: int = 3,
    workers: int = 11,
    use: float = 0.7,
    output: Path | None = None,
) -> None:
    """Simulate each load.

    Args:
        seeds: The number of seeds that each load is simulated with.
        output: Write the worth of each load, by seed, to this file as JSON, for
            ``bench.virtual.paired_difference``.
        entries: The number of entries, in three data centres, or five if over 20.
        workers: The number of workers.
        use: The share of the workers' capacity that is used on average.

    """
    data_centres = 5 if entries > 20 else 3
    size = DeploymentSize(data_centres, entries, workers, use)
    worth_by_load: dict[str, list[float]] = {}
    for name, bursts in LOADS.items():
        results = [run_load(bursts, size, seed=seed) for seed in range(1, seeds + 1)]
        worth_by_load[name] = [result.worth for result in results]
        worth = statistics.mean(worth_by_load[name])
        worst = statistics.mean(result.worst_window for result in results)
        median = statistics.mean(result.median_ms for result in results)
        first = results[0]
        print(
            f"{name:12s} worth {worth:.4f} worst window {worst:.4f} "
            f"median {median:.0f} ms; first seed: late {first.late} "
            f"refused {first.refused}"
        )
    if output is not None:
        output.write_bytes(msgspec.json.encode(worth_by_load))


if __name__ == "__main__":
    app()
