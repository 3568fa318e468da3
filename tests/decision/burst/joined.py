"""Entries, agents and played workers, joined by links that a test can break."""

from __future__ import annotations

import heapq
import itertools
import random
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.agent import BurstAgentState
from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ConfigurationRead
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
from sardineferry.decision.effects import Send
from sardineferry.decision.events import LinkDown
from sardineferry.decision.events import LinkUp
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import RunRef

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardineferry.decision.burst.configuration import Route
    from sardineferry.messages.burst import Resources

__all__ = ["JoinedCores", "PastRun"]

MESSAGE_DELAY_MS = 1
# By then an entry no longer waits for workers that it may not know yet.
WARM_UP_MS = 2_000


class PastRun(NamedTuple):
    """A run at a worker; ``end_ms`` is None while it goes on."""

    run: RunRef
    agent: str
    start_ms: int
    end_ms: int | None


class PlayedWorker:
    """The worker of an agent: its runs last ``run_ms`` unless they are stopped."""

    def __init__(self, joined: JoinedCores, agent: str, run_ms: int) -> None:
        self.joined = joined
        self.agent = agent
        self.run_ms = run_ms
        self.run_start_ms: dict[RunRef, int] = {}
        self.lease_until_ms = 0
        self.ended: list[PastRun] = []
        self.stops: list[tuple[int, RunRef]] = []
        self.listed_ends: list[ListedEnd] = []
        self.end_numbers = itertools.count(1)
        self.pending_hold: HoldWorker | None = None

    def carry_out(self, effect: object) -> None:
        joined = self.joined
        now_ms = joined.now_ms
        if isinstance(effect, StartRun):
            self.run_start_ms.setdefault(effect.run, now_ms)
            self.lease_until_ms = max(self.lease_until_ms, effect.lease_until_ms)
            joined.run_after(self.run_ms, partial(self.end, effect.run, ENDED_DONE))
            answer = StartAnswered(effect.run, StartAnswer.STARTED, now_ms, now_ms)
            joined.run_after(1, partial(joined.handle, self.agent, answer))
        elif isinstance(effect, StopRun):
            self.stops.append((now_ms, effect.run))
            stopped = StopAnswered(effect.run, True, False, now_ms)
            joined.run_after(1, partial(joined.handle, self.agent, stopped))
            self.end(effect.run, ENDED_LOST)
        elif isinstance(effect, HoldWorker):
            self.lease_until_ms = max(self.lease_until_ms, effect.lease_until_ms)
            self.listed_ends = [
                end for end in self.listed_ends if end.number > effect.acknowledged
            ]
            self.pending_hold = effect
            wait_ms = 0 if self.listed_ends else effect.wait_ms
            joined.run_after(wait_ms, partial(self.answer_hold, effect))

    def end(self, run: RunRef, how: str) -> None:
        start_ms = self.run_start_ms.pop(run, None)
        if start_ms is None:
            return
        self.ended.append(PastRun(run, self.agent, start_ms, self.joined.now_ms))
        self.listed_ends.append(ListedEnd(next(self.end_numbers), run, how))
        if self.pending_hold is not None:
            self.answer_hold(self.pending_hold)

    def end_expired_runs(self) -> None:
        if self.joined.now_ms > self.lease_until_ms:
            for run in list(self.run_start_ms):
                self.end(run, ENDED_LOST)

    def answer_hold(self, hold: HoldWorker) -> None:
        if self.pending_hold is not hold:
            return
        self.pending_hold = None
        now_ms = self.joined.now_ms
        present = tuple(
            ListedRun(run, min(99, 100 * (now_ms - start_ms) // self.run_ms))
            for run, start_ms in self.run_start_ms.items()
        )
        answer = HoldAnswered(
            now_ms,
            True,
            clock_ms=now_ms,
            born_ms=1,
            present=present,
            ends=tuple(self.listed_ends),
        )
        self.joined.run_after(1, partial(self.joined.handle, self.agent, answer))

    def runs(self) -> list[PastRun]:
        going_on = [
            PastRun(run, self.agent, start_ms, None)
            for run, start_ms in self.run_start_ms.items()
        ]
        return self.ended + going_on


class JoinedCores:
    """Runs entries and agents on one fake clock, without any randomness.

    The test breaks and opens links, and tells each end of a break when it wants.
    """

    def __init__(self, entries: str, route: Route) -> None:
        self.now_ms = 10_000
        self.route = route
        self.cores: dict[str, BurstEntryCore | BurstAgentCore] = {}
        self.next_tick_ms: dict[str, int] = {}
        self.workers: dict[str, PlayedWorker] = {}
        self.replies: list[BurstReply] = []
        self.actions: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        # Open links by agent and entry, each with a number that a new link changes.
        self.links: dict[tuple[str, str], int] = {}
        for name in entries:
            state = BurstEntryState(
                name, "i", "dc", 6_000, self.decode, random.Random(1)
            )
            self.cores[name] = BurstEntryCore(state)
            self.next_tick_ms[name] = self.now_ms
            self.handle(name, ConfigurationRead(b"1"))
        self.entries = entries

    def decode(self, text: bytes) -> Result[Configuration, str]:
        return Success(Configuration(1, (self.route,), EdgeLimits(), text))

    def add_agent(self, name: str, total: Resources, run_ms: int) -> None:
        """Add an agent that is linked to all entries."""
        state = BurstAgentState(name, "i", "dc", "desk", 100, 6_000)
        self.cores[name] = BurstAgentCore(state)
        self.next_tick_ms[name] = self.now_ms
        self.workers[name] = PlayedWorker(self, name, run_ms)
        report = WorkerReported(
            "w", 1, 1, "desk", total, ("a",), draining=False, clock_ms=self.now_ms
        )
        self.handle(name, report)
        for entry in self.entries:
            self.open_link(name, entry)

    def open_link(self, agent: str, entry: str) -> None:
        """Open a link; it replaces an earlier one whose end the entry has not read."""
        self.links[agent, entry] = next(self.sequence)
        self.handle(agent, LinkUp(entry))

    def break_link(self, agent: str, entry: str) -> None:
        """Break a link: messages on it are lost, and no end knows it yet."""
        del self.links[agent, entry]

    def report_break(self, name: str, other: str) -> None:
        """Tell one end of a link that it is broken."""
        self.handle(name, LinkDown(other))

    def run_after(self, delay_ms: int, action: Callable[[], None]) -> None:
        item = (self.now_ms + delay_ms, next(self.sequence), action)
        heapq.heappush(self.actions, item)

    def advance_time(self, elapsed_ms: int) -> None:
        """Advance the clock in steps of 1 ms; ticks come first, then messages."""
        for _ in range(elapsed_ms):
            self.now_ms += 1
            for worker in self.workers.values():
                worker.end_expired_runs()
            for name, core in self.cores.items():
                if self.now_ms >= self.next_tick_ms[name]:
                    self.next_tick_ms[name] = self.now_ms + core.tick_interval_ms()
                    self.carry_out(name, core.tick(self.now_ms))
                    self.conclude(name)
            while self.actions and self.actions[0][0] <= self.now_ms:
                heapq.heappop(self.actions)[2]()

    def handle(self, name: str, event: object, sender: str = "") -> None:
        self.carry_out(name, self.cores[name].handle(event, sender, self.now_ms))
        self.conclude(name)

    def conclude(self, name: str) -> None:
        core = self.cores[name]
        self.carry_out(name, core.conclude(self.now_ms))
        due_ms = self.now_ms + core.tick_interval_ms()
        self.next_tick_ms[name] = min(self.next_tick_ms[name], due_ms)

    def carry_out(self, name: str, effects: Iterable[object]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.send(name, effect)
            elif isinstance(effect, BurstReply):
                self.replies.append(effect)
            elif name in self.workers:
                self.workers[name].carry_out(effect)

    def send(self, name: str, effect: Send) -> None:
        link = (name, effect.to) if name in self.workers else (effect.to, name)
        number = self.links.get(link)
        if number is not None:
            deliver = partial(self.deliver, link, number, effect, name)
            self.run_after(MESSAGE_DELAY_MS, deliver)

    def deliver(
        self, link: tuple[str, str], number: int, effect: Send, sender: str
    ) -> None:
        if self.links.get(link) == number:
            self.handle(effect.to, effect.message, sender)

    def runs(self) -> list[PastRun]:
        """Return all runs at all workers, by start."""
        runs = [run for worker in self.workers.values() for run in worker.runs()]
        return sorted(runs, key=lambda run: run.start_ms)

    def simultaneous_runs(self) -> list[tuple[PastRun, PastRun]]:
        """Return pairs of runs of one task of which the second met the first."""
        return [
            (first, second)
            for first, second in itertools.combinations(self.runs(), 2)
            if first.run.task == second.run.task
            and (first.end_ms is None or second.start_ms < first.end_ms)
        ]
