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
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts
import msgspec
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.agent import BurstAgentState
from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.configuration import Route
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.decision.burst.link_selection import rank_entries
from sardineferry.decision.burst.link_selection import select_entries
from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.burst.requests import BurstJob
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import BurstStep
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
from sardineferry.decision.common_effects import Send
from sardineferry.decision.common_events import LinkUp
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.messages.burst import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardineferry.messages.burst import RunRef

__all__ = [
    "DEFAULT_HETEROGENEITY",
    "LOADS",
    "Burst",
    "BurstSimulation",
    "Choke",
    "DeploymentSize",
    "Heterogeneity",
    "JobKind",
    "LoadResult",
    "find_simultaneous_runs",
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


class JobKind(NamedTuple):
    """A kind of job: its mean number of tasks and mean work of each task.

    Jobs of a kind are submitted at a rate proportional to ``relative_rate``.
    """

    name: str
    tasks: int
    work_ms: int
    relative_rate: float

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
    thousandths of a core.
    """

    data_centres: int = 3
    entries: int = 3
    workers: int = 11
    utilization: float = 0.7
    task_cpu: int = 6_200


class Heterogeneity(NamedTuple):
    """How workers and jobs differ from each other, as the users' do.

    Workers take the factors of ``size_factors`` and ``speed_factors`` in turn;
    at size 1 a worker has ``cpu`` thousandths of a core. ``work_sigma`` and
    ``estimate_sigma`` are the standard deviations of the logarithms of a job's
    work and of the caller's estimate of it. The work of each task differs from
    that of its job by a share of up to ``task_variation``.
    """

    size_factors: tuple[float, ...] = (1.0, 1.0, 1.5)
    speed_factors: tuple[float, ...] = (0.6, 1.0, 1.6)
    cpu: int = 64_000
    work_sigma: float = 0.4
    task_variation: float = 0.15
    estimate_sigma: float = 0.4


DEFAULT_SIZE = DeploymentSize()
DEFAULT_HETEROGENEITY = Heterogeneity()


class Choke(NamedTuple):
    """A time in which messages to entries, or from them, take longer, by this much."""

    start_ms: int
    duration_ms: int
    to_entries_ms: int
    from_entries_ms: int


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


class Node:
    """A process that runs a core."""

    def __init__(
        self, simulation: BurstSimulation, core: BurstEntryCore | BurstAgentCore
    ) -> None:
        """Start the ticks of the core."""
        self.simulation = simulation
        self.core = core
        self.next_tick_ms = 0.0
        self.schedule_tick()

    def now_ms(self) -> int:
        """Return the virtual time in whole milliseconds."""
        return int(self.simulation.clock.now_ms)

    def handle(self, event: object, sender: str) -> None:
        """Handle an event and carry out its effects."""
        self.perform(self.core.handle(event, sender, self.now_ms()))
        self.conclude()

    def conclude(self) -> None:
        """End a pass of the event loop and schedule the next tick."""
        self.perform(self.core.conclude(self.now_ms()))
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
        if due_ms != self.next_tick_ms:
            return
        self.next_tick_ms = 0.0
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
            decode_configuration,
            random.Random(seed),
        )
        self.endpoint = endpoint
        super().__init__(simulation, BurstEntryCore(state))

    def send(self, effect: Send) -> None:
        """Send a message to an agent."""
        agent = self.simulation.agents[effect.to]
        address = self.endpoint.address
        self.simulation.deliver(self, agent, effect.message, address)

    def perform_effect(self, effect: object) -> None:
        """Record replies to callers, and ignore other effects."""
        if isinstance(effect, BurstReply):
            self.simulation.record_reply(effect)


class AgentNode(Node):
    """An agent and its simulated worker."""

    def __init__(
        self,
        simulation: BurstSimulation,
        name: str,
        data_centre: str,
        speed: float,
        cpu: int,
    ) -> None:
        """Create an agent without links, and its worker."""
        state = BurstAgentState(name, "i", data_centre, "desk", 1, DRAIN_GRACE_MS)
        self.name = name
        self.data_centre = data_centre
        self.speed = speed
        self.total = Resources(cpu, 1_000_000, 0)
        self.run_start_ms: dict[RunRef, float] = {}
        # Ended runs, each with its start and end.
        self.past_runs: list[tuple[RunRef, float, float]] = []
        self.listed_ends: list[ListedEnd] = []
        self.pending_hold: HoldWorker | None = None
        self.hold_count = 0
        super().__init__(simulation, BurstAgentCore(state))

    def send(self, effect: Send) -> None:
        """Send a message to an entry."""
        entry = self.simulation.entries[effect.to]
        self.simulation.deliver(self, entry, effect.message, self.name)

    def perform_effect(self, effect: object) -> None:
        """Pass orders to the worker, and ignore other effects."""
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

    def answer_agent(self, event: object) -> None:
        """Send an answer of the worker to the agent."""
        self.simulation.clock.run_after(
            WORKER_ROUND_TRIP_MS / 2, lambda: self.handle(event, "")
        )

    def start_run(self, order: StartRun) -> None:
        """Start a run, which lasts its true work divided by the worker's speed."""
        sent_ms = self.now_ms()
        if order.run not in self.run_start_ms:
            work_ms = self.simulation.true_work_ms(order.run)
            self.run_start_ms[order.run] = self.simulation.clock.now_ms
            self.simulation.clock.run_after(
                work_ms / self.speed, lambda: self.end_run(order.run, "done")
            )
        answer = StartAnswered(order.run, StartAnswer.STARTED, sent_ms, sent_ms)
        self.answer_agent(answer)

    def stop_run(self, order: StopRun) -> None:
        """Stop a run, which ends as lost."""
        self.answer_agent(StopAnswered(order.run, True, False, self.now_ms()))
        self.end_run(order.run, "lost")

    def end_run(self, run: RunRef, how: str) -> None:
        """End a run and list its end."""
        start_ms = self.run_start_ms.pop(run, None)
        if start_ms is None:
            return
        self.past_runs.append((run, start_ms, self.simulation.clock.now_ms))
        number = self.simulation.next_end_number(self.name)
        self.listed_ends.append(ListedEnd(number, run, how))
        self.answer_hold()

    def open_hold(self, order: HoldWorker) -> None:
        """Answer a hold at once if ends are listed, else at the next end or timeout."""
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
        work_ms = self.simulation.true_work_ms(run) / self.speed
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
                clock_ms=self.now_ms(),
                born_ms=1,
                present=tuple(
                    ListedRun(run, self.progress_percent(run))
                    for run in self.run_start_ms
                ),
                ends=tuple(self.listed_ends),
            )
        )


def decode_configuration(_text: bytes) -> Result[Configuration, str]:
    """Return the configuration of all simulations: a route for each kind of job."""
    routes = tuple(
        Route(kind.name, HOST, kind.path, "desk", 0, GOAL_MS, 4, SLACK_FACTOR, 0, False)
        for kind in JOB_KINDS
    )
    return Success(Configuration(1, routes, EdgeLimits(), b"1"))


class Request(NamedTuple):
    """A submitted job with the true work of each task; ``cpu`` is each task's need."""

    kind: str
    at_ms: float
    work_ms: tuple[float, ...]
    cpu: int
    goal_ms: float
    worth: float


class BurstSimulation:
    """A deployment of entries and agents, with simulated workers and callers."""

    def __init__(
        self, size: DeploymentSize, heterogeneity: Heterogeneity, seed: int
    ) -> None:
        """Create the entries and agents and schedule their links."""
        self.clock = VirtualClock()
        self.size = size
        self.heterogeneity = heterogeneity
        self.random = random.Random(seed)
        self.entries: dict[str, EntryNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self.end_counts: Counter[str] = Counter()
        self.requests: dict[int, Request] = {}
        self.requests_by_job_id: dict[str, Request] = {}
        self.replies: dict[int, tuple[ReplyKind, float]] = {}
        self.start_messages = 0
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
        agent = AgentNode(self, f"a{number}", data_centre, speed, cpu)
        self.agents[agent.name] = agent
        now_ms = agent.now_ms()
        agent.handle(
            WorkerReported(
                "w", 1, 1, "desk", agent.total, (f"k{speed}",), False, now_ms
            ),
            "",
        )
        ranking = rank_entries(agent.name, self.endpoints)
        for name in sorted(select_entries(ranking, data_centre, ())):
            link_up = LinkUp(f"{name}:1")
            self.clock.run_after(1.0, partial(agent.handle, link_up, ""))

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
        deliver = partial(receiver.handle, message, sender)
        self.clock.run_after(arrival_ms - now_ms, deliver)

    def next_end_number(self, agent: str) -> int:
        """Return the number of the next end at an agent's worker."""
        self.end_counts[agent] += 1
        return self.end_counts[agent]

    def true_work_ms(self, run: RunRef) -> float:
        """Return the true work of a run, in ms at speed 1."""
        job_id, _, _, index = run.task.split(".")
        return self.requests_by_job_id[job_id].work_ms[int(index)]

    def record_reply(self, effect: BurstReply) -> None:
        """Record the reply to a caller and its time."""
        self.replies[effect.token] = (effect.kind, self.clock.now_ms)

    def capacity_per_second(self) -> float:
        """Return the work that all workers do in a second.

        The unit is a thousandth of a core times a ms, at speed 1.
        """
        return 1_000 * sum(
            agent.total.cpu * agent.speed for agent in self.agents.values()
        )

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
        step = BurstStep(
            tasks, Resources(cpu, 1, 0), max(1, int(estimate_ms)), "", "", 0
        )
        job = BurstJob(job_id, "", (step,), "")
        entry = rng.choice(list(self.entries.values()))
        entry.handle(SubmitJob(token, HOST, f"{kind.path}{job_id}", job), "")


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
) -> LoadResult:
    """Simulate a load; times of bursts and chokes count from its start."""
    size = simulation.size
    simulation.clock.run_until_ms(simulation.clock.now_ms + WARM_UP_MS)
    load_start_ms = simulation.clock.now_ms
    simulation.chokes = tuple(
        choke._replace(start_ms=int(load_start_ms) + choke.start_ms) for choke in chokes
    )
    # Jobs of a kind are submitted at rate_scale times its relative rate, per ms. So
    # all kinds together need the wanted share of the capacity on average.
    need_per_rate = size.task_cpu * sum(
        kind.relative_rate * kind.tasks * kind.work_ms for kind in JOB_KINDS
    )
    rate_scale = (
        size.utilization * simulation.capacity_per_second() / 1_000 / need_per_rate
    )
    tokens = itertools.count(1)
    for kind in JOB_KINDS:
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


def find_simultaneous_runs(
    simulation: BurstSimulation,
) -> list[tuple[RunRef, RunRef]]:
    """Return pairs of runs of one task that overlapped."""
    by_task: dict[str, list[tuple[float, float, RunRef]]] = {}
    for agent in simulation.agents.values():
        for run, start_ms, end_ms in agent.past_runs:
            by_task.setdefault(run.task, []).append((start_ms, end_ms, run))
    return [
        (first[2], second[2])
        for runs in by_task.values()
        for first, second in itertools.pairwise(sorted(runs))
        if second[0] < first[1]
    ]


def evaluate(simulation: BurstSimulation, load_start_ms: float) -> LoadResult:
    """Return the result of a finished simulation.

    Jobs are grouped by the two-second window in which they were submitted; the
    first window begins at ``load_start_ms``.
    """
    counts: dict[str, Counter[str]] = {kind.name: Counter() for kind in JOB_KINDS}
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
