"""Replays loads of burst jobs through the real cores, under virtual time.

Entries, agents and their links are the cores of the deployed programs; workers
differ in speed and room as the users' do; callers' estimates are off. What is
in time is judged by the true work, which no core knows. ``python -m
bench.virtual.burst_load --help`` plays a load by hand.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts
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

__all__ = ["BURSTS", "Burst", "Fleet", "JobKind", "Outcome", "Shape", "play"]

# One way within a data centre, between two, and to the worker beside an agent.
NEAR_MS = 0.3
FAR_MS = 1.2
WORKER_MS = 1.0
START_MS = 2_000
HOST = "desk.example"
GOAL_MS = 60
SLACK = 1.6
LATE_GOALS = 3
GRACE_MS = 6_000


class JobKind(NamedTuple):
    """A kind of request: tasks, work and share of all requests."""

    name: str
    tasks: int
    work_ms: int
    share: float

    @property
    def path(self) -> str:
        """The prefix of the kind's route."""
        return f"/{self.name}/"


# The users' kinds at Tanjung: berth hold, quote, cancellation.
KINDS = (
    JobKind("hold", 8, 120, 309.0),
    JobKind("quote", 4, 1_800, 56.2),
    JobKind("cancel", 2, 400, 900.0),
)


class Burst(NamedTuple):
    """More requests for a while, of one kind or of all."""

    from_ms: int
    for_ms: int
    factor: float
    kind: str = ""


BURSTS: dict[str, tuple[Burst, ...]] = {
    "calm": (),
    "all 1.3": (Burst(4_000, 4_000, 1.3),),
    "all 2": (Burst(4_000, 4_000, 2.0),),
    "holds 1.6": (Burst(4_000, 4_000, 1.6, "hold"),),
    "quotes 1.8": (Burst(4_000, 4_000, 1.8, "quote"),),
    "cancels 1.6": (Burst(4_000, 4_000, 1.6, "cancel"),),
}


class Shape(NamedTuple):
    """The size of a deployment and how much of it is in use on average."""

    centres: int = 3
    entries: int = 3
    workers: int = 11
    use: float = 0.7
    core_thousandths: int = 6_200


class Fleet(NamedTuple):
    """Sizes and speeds of workers, in turn, and estimates, as the users have."""

    sizes: tuple[float, ...] = (1.0, 1.0, 1.5)
    speeds: tuple[float, ...] = (0.6, 1.0, 1.6)
    cpu: int = 64_000
    spread: float = 0.4
    uneven: float = 0.15
    estimate_off: float = 0.4


SMALL = Shape()
MIXED_FLEET = Fleet()


class Outcome(NamedTuple):
    """What became of a load: shares by kind, and of the worst window."""

    in_time: dict[str, float]
    late: dict[str, float]
    refused: dict[str, float]
    worth: float
    worst_window: float
    median_ms: float
    orders: int


class Clock:
    """Virtual time: actions in the order of their due times."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.now = 10_000.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        row = (self.now + delay_ms, next(self.sequence), action)
        heapq.heappush(self.queue, row)

    def run_until(self, end: float) -> None:
        """Run what is due by then."""
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end


class Node:
    """A core with its ticks."""

    def __init__(self, world: World, core: BurstEntryCore | BurstAgentCore) -> None:
        """Tick from now on."""
        self.world = world
        self.core = core
        self.next_tick = 0.0
        self.plan_tick()

    def now_ms(self) -> int:
        """Return the node's clock."""
        return int(self.world.clock.now)

    def handle(self, event: object, sender: str) -> None:
        """Apply an event."""
        self.perform(self.core.handle(event, sender, self.now_ms()))
        self.conclude()

    def conclude(self) -> None:
        """End a pass, and plan the next tick."""
        self.perform(self.core.conclude(self.now_ms()))
        self.plan_tick()

    def plan_tick(self) -> None:
        """Tick when the core asks for it."""
        due = self.world.clock.now + self.core.tick_interval_ms()
        if self.next_tick <= self.world.clock.now or due < self.next_tick:
            self.next_tick = due
            self.world.clock.later(due - self.world.clock.now, lambda: self.tick(due))

    def tick(self, due: float) -> None:
        """Tick, unless a sooner tick has replaced this one."""
        if due != self.next_tick:
            return
        self.next_tick = 0.0
        self.perform(self.core.tick(self.now_ms()))
        self.conclude()

    def perform(self, effects: Iterable[object]) -> None:
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self.send(effect)
            else:
                self.carry_out(effect)

    def send(self, effect: Send) -> None:
        """Send a message."""
        raise NotImplementedError

    def carry_out(self, effect: object) -> None:
        """Perform another effect."""
        raise NotImplementedError


class EntryNode(Node):
    """An entry; callers' replies go to the world."""

    def __init__(self, world: World, place: EntryEndpoint, seed: int) -> None:
        """Begin with the world's configuration and entries."""
        state = BurstEntryState(
            place.name, "i", place.data_centre, GRACE_MS, decode, random.Random(seed)
        )
        self.place = place
        super().__init__(world, BurstEntryCore(state))

    def send(self, effect: Send) -> None:
        """Send to an agent."""
        agent = self.world.agents[effect.to]
        address = self.place.address
        self.world.deliver(self, agent, effect.message, address)

    def carry_out(self, effect: object) -> None:
        """Take replies to callers."""
        if isinstance(effect, BurstReply):
            self.world.reply(effect)


class AgentNode(Node):
    """An agent with its worker."""

    def __init__(
        self, world: World, name: str, centre: str, speed: float, cpu: int
    ) -> None:
        """Begin unlinked; the worker has reported."""
        state = BurstAgentState(name, "i", centre, "desk", 1, GRACE_MS)
        self.name = name
        self.centre = centre
        self.speed = speed
        self.total = Resources(cpu, 1_000_000, 0)
        self.runs: dict[RunRef, float] = {}
        self.ends: list[ListedEnd] = []
        self.hold: HoldWorker | None = None
        self.hold_number = 0
        super().__init__(world, BurstAgentCore(state))

    def send(self, effect: Send) -> None:
        """Send to an entry."""
        entry = self.world.entries[effect.to]
        self.world.deliver(self, entry, effect.message, self.name)

    def carry_out(self, effect: object) -> None:
        """Play the worker."""
        if isinstance(effect, StartRun):
            self.world.clock.later(WORKER_MS / 2, lambda: self.start_run(effect))
        elif isinstance(effect, StopRun):
            self.world.clock.later(WORKER_MS / 2, lambda: self.stop_run(effect))
        elif isinstance(effect, HoldWorker):
            self.world.clock.later(WORKER_MS / 2, lambda: self.begin_hold(effect))

    def answer(self, event: object) -> None:
        """Answer the agent."""
        self.world.clock.later(WORKER_MS / 2, lambda: self.handle(event, ""))

    def start_run(self, order: StartRun) -> None:
        """Begin a run; it takes its true work at the worker's speed."""
        sent_ms = self.now_ms()
        if order.run not in self.runs:
            work_ms = self.world.true_work(order.run)
            self.runs[order.run] = self.world.clock.now
            self.world.clock.later(
                work_ms / self.speed, lambda: self.end_run(order.run, "done")
            )
        answer = StartAnswered(order.run, StartAnswer.STARTED, sent_ms, sent_ms)
        self.answer(answer)

    def stop_run(self, order: StopRun) -> None:
        """Stop a run."""
        self.answer(StopAnswered(order.run, True, False, self.now_ms()))
        self.end_run(order.run, "lost")

    def end_run(self, run: RunRef, how: str) -> None:
        """List an end."""
        if self.runs.pop(run, None) is None:
            return
        number = self.world.next_end(self.name)
        self.ends.append(ListedEnd(number, run, how))
        self.finish_hold()

    def begin_hold(self, order: HoldWorker) -> None:
        """Answer once there is an end, or after the wait."""
        self.ends = [end for end in self.ends if end.number > order.acknowledged]
        self.hold = order
        self.hold_number += 1
        number = self.hold_number
        if self.ends or not order.wait_ms:
            self.finish_hold()
            return
        self.world.clock.later(
            order.wait_ms,
            lambda: self.finish_hold() if number == self.hold_number else None,
        )

    def percent(self, run: RunRef) -> int:
        """Return how much of a run's work is done."""
        work_ms = self.world.true_work(run) / self.speed
        return min(99, int(100 * (self.world.clock.now - self.runs[run]) / work_ms))

    def finish_hold(self) -> None:
        """Answer the present hold."""
        if self.hold is None:
            return
        self.hold = None
        self.answer(
            HoldAnswered(
                self.now_ms(),
                answered=True,
                clock_ms=self.now_ms(),
                born_ms=1,
                present=tuple(ListedRun(run, self.percent(run)) for run in self.runs),
                ends=tuple(self.ends),
            )
        )


def decode(_text: bytes) -> Result[Configuration, str]:
    """Return the configuration of all worlds: a route for each kind."""
    routes = tuple(
        Route(kind.name, HOST, kind.path, "desk", 0, GOAL_MS, 4, SLACK, 0, False)
        for kind in KINDS
    )
    return Success(Configuration(1, routes, EdgeLimits(), b"1"))


class Request(NamedTuple):
    """A job as its caller knows it, with the true work of its tasks."""

    kind: str
    at_ms: float
    work_ms: tuple[float, ...]
    cpu: int
    goal_ms: float
    worth: float


class World:
    """Entries, agents, workers and callers."""

    def __init__(self, shape: Shape, fleet: Fleet, seed: int) -> None:
        """Build and link everything."""
        self.clock = Clock()
        self.shape = shape
        self.fleet = fleet
        self.random = random.Random(seed)
        self.entries: dict[str, EntryNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self.ends: Counter[str] = Counter()
        self.requests: dict[int, Request] = {}
        self.by_job: dict[str, Request] = {}
        self.replies: dict[int, tuple[ReplyKind, float]] = {}
        self.orders = 0
        self.places = tuple(
            EntryEndpoint(f"e{n}", f"e{n}:1", f"dc{n % shape.centres}", "i")
            for n in range(shape.entries)
        )
        for number, place in enumerate(self.places):
            self.entries[place.address] = EntryNode(self, place, seed + number)
        for number in range(shape.workers):
            self.add_agent(number)
        for entry in self.entries.values():
            entry.handle(ConfigurationRead(b"1"), "")
            entry.handle(EntriesRead(self.places), "")

    def add_agent(self, number: int) -> None:
        """Add an agent, and link it."""
        fleet = self.fleet
        cpu = int(fleet.cpu * fleet.sizes[number % len(fleet.sizes)])
        # Sizes and speeds are dealt independently of each other.
        speed = fleet.speeds[(number * 7 // 3) % len(fleet.speeds)]
        centre = f"dc{number % self.shape.centres}"
        agent = AgentNode(self, f"a{number}", centre, speed, cpu)
        self.agents[agent.name] = agent
        now = agent.now_ms()
        agent.handle(
            WorkerReported("w", 1, 1, "desk", agent.total, (f"k{speed}",), False, now),
            "",
        )
        ranking = rank_entries(agent.name, self.places)
        for name in sorted(select_entries(ranking, centre, ())):
            up = LinkUp(f"{name}:1")
            self.clock.later(1.0, partial(agent.handle, up, ""))

    def deliver(self, source: Node, target: Node, message: object, sender: str) -> None:
        """Pass a message on after the time of its way; ways keep the order."""
        delay = NEAR_MS if centre_of(source) == centre_of(target) else FAR_MS
        self.orders += type(message).__name__ == "StartRuns"
        self.clock.later(delay, partial(target.handle, message, sender))

    def next_end(self, agent: str) -> int:
        """Return the next number of an end."""
        self.ends[agent] += 1
        return self.ends[agent]

    def true_work(self, run: RunRef) -> float:
        """Return the true work of a task."""
        job, _, _, index = run.task.split(".")
        return self.by_job[job].work_ms[int(index)]

    def reply(self, effect: BurstReply) -> None:
        """Note what a caller is told, and when."""
        self.replies[effect.token] = (effect.kind, self.clock.now)

    def capacity(self) -> float:
        """Return the work (thousandths of a core times ms) done in a second."""
        return 1_000 * sum(
            agent.total.cpu * agent.speed for agent in self.agents.values()
        )

    def submit(self, token: int, kind: JobKind) -> None:
        """Draw a job and hand it in at an entry."""
        fleet, source = self.fleet, self.random
        tasks = max(1, round(kind.tasks * log_normal(source, 0.4)))
        work = kind.work_ms * log_normal(source, fleet.spread)
        works = tuple(
            work * source.uniform(1 - fleet.uneven, 1 + fleet.uneven)
            for _ in range(tasks)
        )
        cpu = int(self.shape.core_thousandths * source.uniform(0.8, 1.2))
        estimate = work * log_normal(source, fleet.estimate_off)
        request = Request(
            kind.name,
            self.clock.now,
            works,
            cpu,
            SLACK * max(works) + GOAL_MS,
            1.0 / kind.share,
        )
        job_id = f"{token:016x}"
        self.requests[token] = request
        self.by_job[job_id] = request
        step = BurstStep(tasks, Resources(cpu, 1, 0), max(1, int(estimate)), "", "", 0)
        job = BurstJob(job_id, "", (step,), "")
        entry = source.choice(list(self.entries.values()))
        entry.handle(SubmitJob(token, HOST, f"{kind.path}{job_id}", job), "")


def centre_of(node: Node) -> str:
    """Return a node's data centre."""
    if isinstance(node, EntryNode):
        return node.place.data_centre
    return node.centre if isinstance(node, AgentNode) else ""


def log_normal(source: random.Random, sigma: float) -> float:
    """Return a factor with the mean 1."""
    return source.lognormvariate(-sigma * sigma / 2, sigma)


def play(
    bursts: tuple[Burst, ...] = (),
    shape: Shape = SMALL,
    fleet: Fleet = MIXED_FLEET,
    seed: int = 1,
    length_ms: int = 12_000,
) -> Outcome:
    """Play a load and judge it."""
    world = World(shape, fleet, seed)
    world.clock.run_until(world.clock.now + START_MS)
    begin = world.clock.now
    mean_core_ms = shape.core_thousandths * sum(
        kind.share * kind.tasks * kind.work_ms for kind in KINDS
    )
    per_ms = shape.use * world.capacity() / 1_000 / mean_core_ms
    tokens = itertools.count(1)
    for kind in KINDS:
        at = begin
        while True:
            rate = per_ms * kind.share
            for burst in bursts:
                if burst.kind in ("", kind.name):
                    since = at - begin - burst.from_ms
                    rate *= burst.factor if 0 <= since < burst.for_ms else 1.0
            at += world.random.expovariate(rate)
            if at > begin + length_ms:
                break
            submit = partial(world.submit, next(tokens), kind)
            world.clock.later(at - world.clock.now, submit)
    world.clock.run_until(begin + length_ms + 15_000)
    return judge(world, begin)


def judge(world: World, begin: float) -> Outcome:
    """Return what became of each kind, and of the worst two seconds."""
    counts: dict[str, Counter[str]] = {kind.name: Counter() for kind in KINDS}
    windows: dict[int, list[float]] = {}
    took = []
    for token, request in world.requests.items():
        kind, at = world.replies.get(token, (ReplyKind.NO_ANSWER, 0.0))
        elapsed = at - request.at_ms
        earned = 0.0
        what = "refused"
        if kind is ReplyKind.COMPLETED:
            took.append(elapsed)
            late = elapsed > request.goal_ms
            what = "late" if late else "in time"
            too_late = elapsed > LATE_GOALS * request.goal_ms
            earned = 0.0 if too_late else (0.2 if late else 1.0)
        counts[request.kind][what] += 1
        window = windows.setdefault(int((request.at_ms - begin) // 2_000), [0.0, 0.0])
        window[0] += earned * request.worth
        window[1] += request.worth

    def shares(what: str) -> dict[str, float]:
        return {
            name: round(found[what] / max(1, found.total()), 3)
            for name, found in counts.items()
        }

    earned = sum(window[0] for window in windows.values())
    owed = sum(window[1] for window in windows.values())
    return Outcome(
        shares("in time"),
        shares("late"),
        shares("refused"),
        round(earned / owed, 4),
        round(min(window[0] / window[1] for window in windows.values()), 4),
        round(statistics.median(took), 1),
        world.orders,
    )


application = cyclopts.App(name="bench.virtual.burst_load")


@application.default
def main(
    *, seeds: int = 3, entries: int = 3, workers: int = 11, use: float = 0.7
) -> None:
    """Play each load.

    Args:
        seeds: How often each one is played.
        entries: Entries, in three data centres, or five if over 20.
        workers: Workers.
        use: The share of all workers that is in use on average.

    """
    centres = 5 if entries > 20 else 3
    shape = Shape(centres, entries, workers, use)
    for name, bursts in BURSTS.items():
        outcomes = [play(bursts, shape, seed=seed) for seed in range(1, seeds + 1)]
        worth = statistics.mean(outcome.worth for outcome in outcomes)
        worst = statistics.mean(outcome.worst_window for outcome in outcomes)
        median = statistics.mean(outcome.median_ms for outcome in outcomes)
        first = outcomes[0]
        print(
            f"{name:12s} worth {worth:.4f} worst window {worst:.4f} "
            f"median {median:.0f} ms; first seed: late {first.late} "
            f"refused {first.refused}"
        )


if __name__ == "__main__":
    application()
