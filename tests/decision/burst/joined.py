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
from sardineferry.decision.burst.link_selection import rank_entries
from sardineferry.decision.burst.link_selection import select_entries
from sardineferry.decision.burst.membership import EntriesRead
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
from sardineferry.decision.effects import Connect
from sardineferry.decision.effects import Disconnect
from sardineferry.decision.effects import Send
from sardineferry.decision.events import LinkDown
from sardineferry.decision.events import LinkUp
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunRef

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.requests import ReplyKind

__all__ = [
    "MAX_HOLD_MS",
    "ORDER_TIMEOUT_MS",
    "WARM_UP_MS",
    "JoinedCores",
    "PastRun",
    "PlayedWorker",
]

MESSAGE_DELAY_MS = 1
# How long an agent waits for an answer to an order, and to a hold beyond its own wait.
ORDER_TIMEOUT_MS = 40
HOLD_MARGIN_MS = 60
# The platform's longest lease.
MAX_HOLD_MS = 1_000
# An agent that can't reach an entry dials again after this time.
REDIAL_DELAY_MS = 100
# By then an entry no longer waits for workers that it may not know yet.
WARM_UP_MS = 2_000


class PastRun(NamedTuple):
    """A run at a worker; ``end_ms`` is None while it goes on."""

    run: RunRef
    agent: str
    start_ms: int
    end_ms: int | None


class PlayedWorker:
    """The worker of an agent: its runs last ``run_ms`` unless they are stopped.

    It may crash and start again. A new incarnation knows nothing of an earlier one,
    and its clock and the numbers of its ends start anew.
    """

    def __init__(self, joined: JoinedCores, agent: str, run_ms: int) -> None:
        self.joined = joined
        self.agent = agent
        self.run_ms = run_ms
        self.ended: list[PastRun] = []
        self.stops: list[tuple[int, RunRef]] = []
        # Numbers that holds confirmed although the incarnation had listed no such end.
        self.confirmed_unlisted: list[int] = []
        self.total = Resources()
        self.begin_incarnation("w", 1, 0)

    def begin_incarnation(self, worker_id: str, born_ms: int, clock_start: int) -> None:
        """Begin an incarnation; its clock shows 0 at ``clock_start``."""
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.clock_start_ms = clock_start
        self.is_up = True
        self.sequence = 0
        self.fencing_token = 0
        self.run_start_ms: dict[RunRef, int] = {}
        self.ended_attempts: dict[str, int] = {}
        # On the worker's clock.
        self.lease_until_ms = 0
        self.listed_ends: list[ListedEnd] = []
        self.acknowledged = 0
        self.highest_listed = 0
        self.end_numbers = itertools.count(1)
        self.pending_hold: tuple[HoldWorker, int] | None = None

    def clock_ms(self) -> int:
        return self.joined.now_ms - self.clock_start_ms

    def crash(self) -> None:
        """End at once: the runs are gone, and requests get no answer."""
        self.end_past_runs()
        self.is_up = False
        if self.pending_hold is not None:
            _, sent_ms = self.pending_hold
            self.pending_hold = None
            self.answer(HoldAnswered(sent_ms, answered=False))

    def end_past_runs(self) -> None:
        now_ms = self.joined.now_ms
        self.ended += [
            PastRun(run, self.agent, start_ms, now_ms)
            for run, start_ms in self.run_start_ms.items()
        ]
        self.run_start_ms = {}

    def restart(self, worker_id: str = "w", born_ms: int = 0) -> None:
        """Crash if it is up, and start again at once; it reports only when told to."""
        self.crash()
        now_ms = self.joined.now_ms
        self.begin_incarnation(worker_id, born_ms or now_ms, now_ms)

    def make_report(self, *, draining: bool = False) -> WorkerReported:
        """Return the next report of this incarnation."""
        self.sequence += 1
        return WorkerReported(
            self.worker_id,
            self.born_ms,
            self.sequence,
            "desk",
            self.total,
            ("a",),
            draining,
            self.clock_ms(),
        )

    def report(self, delay_ms: int = 0) -> None:
        """Send a report of now, which arrives after a delay."""
        report = self.make_report()
        if delay_ms:
            self.answer(report, delay_ms)
        else:
            self.joined.handle(self.agent, report)

    def answer(self, event: object, delay_ms: int = 1) -> None:
        """Send an event to the agent's present process, unless that ends meanwhile."""
        joined, agent = self.joined, self.agent
        core = joined.cores.get(agent)

        def deliver() -> None:
            if joined.cores.get(agent) is core:
                joined.handle(agent, event)

        joined.run_after(delay_ms, deliver)

    def carry_out(self, effect: object) -> None:
        now_ms = self.joined.now_ms
        if isinstance(effect, StartRun):
            answer = self.try_start(effect)
            clock_ms = None if answer is StartAnswer.UNANSWERED else self.clock_ms()
            self.answer(
                StartAnswered(effect.run, answer, now_ms, clock_ms),
                self.answer_delay_ms(),
            )
        elif isinstance(effect, StopRun):
            self.stop(effect)
        elif isinstance(effect, HoldWorker):
            self.open_hold(effect)

    def answer_delay_ms(self) -> int:
        return 1 if self.is_up else ORDER_TIMEOUT_MS

    def is_addressed(self, worker_id: str) -> bool:
        return worker_id in ("", self.worker_id)

    def is_fenced(self, token: int) -> bool:
        self.fencing_token = max(self.fencing_token, token)
        return token < self.fencing_token

    def extend_lease(self, lease_until_ms: int) -> None:
        """Extend the lease; one that is too long is shortened to the maximum."""
        lease_until_ms = min(lease_until_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)

    def try_start(self, order: StartRun) -> StartAnswer:
        run = order.run
        if not self.is_up:
            return StartAnswer.UNANSWERED
        if not self.is_addressed(order.worker_id):
            return StartAnswer.OTHER_INCARNATION
        if self.is_fenced(order.fencing_token):
            return StartAnswer.FENCED
        if run in self.run_start_ms:
            self.extend_lease(order.lease_until_ms)
            return StartAnswer.STARTED
        if run.attempt <= self.ended_attempts.get(run.task, 0):
            return StartAnswer.SUPERSEDED
        if self.clock_ms() > order.lease_until_ms:
            return StartAnswer.LATE
        self.run_start_ms[run] = self.joined.now_ms
        self.extend_lease(order.lease_until_ms)
        finish = partial(self.finish, run, self.joined.now_ms)
        self.joined.run_after(self.run_ms, finish)
        return StartAnswer.STARTED

    def stop(self, order: StopRun) -> None:
        now_ms = self.joined.now_ms
        if not self.is_up:
            unanswered = StopAnswered(order.run, False, False, now_ms)
            self.answer(unanswered, ORDER_TIMEOUT_MS)
            return
        self.stops.append((now_ms, order.run))
        is_other = not self.is_addressed(order.worker_id)
        fenced = not is_other and self.is_fenced(order.fencing_token)
        self.answer(StopAnswered(order.run, True, fenced, now_ms))
        if not is_other and not fenced:
            self.record_ended_attempt(order.run)
            self.end(order.run, ENDED_LOST)

    def open_hold(self, hold: HoldWorker) -> None:
        now_ms = self.joined.now_ms
        if not self.is_up:
            unanswered = HoldAnswered(now_ms, answered=False)
            self.answer(unanswered, hold.wait_ms + HOLD_MARGIN_MS)
            return
        if not self.is_addressed(hold.worker_id):
            self.answer(HoldAnswered(now_ms, answered=False, misdirected=True))
            return
        if self.is_fenced(hold.fencing_token):
            self.answer(HoldAnswered(now_ms, answered=False, fenced=True))
            return
        self.extend_lease(hold.lease_until_ms)
        if hold.acknowledged > self.highest_listed:
            self.confirmed_unlisted.append(hold.acknowledged)
        self.acknowledged = max(self.acknowledged, hold.acknowledged)
        self.listed_ends = [
            end for end in self.listed_ends if end.number > self.acknowledged
        ]
        self.pending_hold = (hold, now_ms)
        wait_ms = 0 if self.listed_ends else hold.wait_ms
        self.joined.run_after(wait_ms, partial(self.answer_hold, hold))

    def finish(self, run: RunRef, start_ms: int) -> None:
        if self.run_start_ms.get(run) == start_ms:
            self.end(run, ENDED_DONE)

    def record_ended_attempt(self, run: RunRef) -> None:
        attempt = self.ended_attempts.get(run.task, 0)
        self.ended_attempts[run.task] = max(attempt, run.attempt)

    def end(self, run: RunRef, how: str) -> None:
        start_ms = self.run_start_ms.pop(run, None)
        if start_ms is None:
            return
        self.record_ended_attempt(run)
        self.ended.append(PastRun(run, self.agent, start_ms, self.joined.now_ms))
        number = next(self.end_numbers)
        if number > self.acknowledged:
            self.listed_ends.append(ListedEnd(number, run, how))
        if self.pending_hold is not None:
            self.answer_hold(self.pending_hold[0])

    def end_expired_runs(self) -> None:
        if self.clock_ms() > self.lease_until_ms:
            for run in list(self.run_start_ms):
                self.end(run, ENDED_LOST)

    def answer_hold(self, hold: HoldWorker) -> None:
        if self.pending_hold is None or self.pending_hold[0] is not hold:
            return
        _, sent_ms = self.pending_hold
        self.pending_hold = None
        now_ms = self.joined.now_ms
        present = tuple(
            ListedRun(run, min(99, 100 * (now_ms - start_ms) // self.run_ms))
            for run, start_ms in self.run_start_ms.items()
        )
        answer = HoldAnswered(
            sent_ms,
            True,
            clock_ms=self.clock_ms(),
            born_ms=self.born_ms,
            present=present,
            ends=tuple(self.listed_ends),
        )
        self.highest_listed = max([0, *(end.number for end in self.listed_ends)])
        self.answer(answer)

    def runs(self) -> list[PastRun]:
        going_on = [
            PastRun(run, self.agent, start_ms, None)
            for run, start_ms in self.run_start_ms.items()
        ]
        return self.ended + going_on


class JoinedCores:
    """Runs entries and agents on one fake clock, without any randomness.

    The test breaks and opens links, and tells each end of a break when it wants.
    Entries are in the data centres that ``data_centres`` names, by default all in one.
    """

    def __init__(
        self, entries: str, route: Route, data_centres: dict[str, str] | None = None
    ) -> None:
        self.now_ms = 10_000
        self.route = route
        self.data_centres = data_centres or {}
        self.cores: dict[str, BurstEntryCore | BurstAgentCore] = {}
        self.next_tick_ms: dict[str, int] = {}
        self.workers: dict[str, PlayedWorker] = {}
        self.replies: list[BurstReply] = []
        self.actions: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        # Open links by agent and entry, each with a number that a new link changes.
        self.links: dict[tuple[str, str], int] = {}
        # The entries that each agent links to when it starts.
        self.linked_entries: dict[str, str] = {}
        self.entries = entries
        for name in entries:
            self.start_entry(name, "i")
            self.handle(name, ConfigurationRead(b"1"))

    def start_entry(self, name: str, incarnation: str) -> None:
        """Start an entry without a configuration and links."""
        state = BurstEntryState(
            name,
            incarnation,
            self.data_centre_of(name),
            6_000,
            self.decode,
            random.Random(1),
        )
        self.cores[name] = BurstEntryCore(state)
        self.next_tick_ms[name] = self.now_ms
        if self.data_centres:
            self.handle(name, EntriesRead(self.endpoints()))

    def data_centre_of(self, name: str) -> str:
        return self.data_centres.get(name, "dc")

    def endpoints(self) -> tuple[EntryEndpoint, ...]:
        """Return all entries, as the platform's store lists them."""
        return tuple(
            EntryEndpoint(name, name, self.data_centre_of(name), "i")
            for name in self.entries
        )

    def decode(self, text: bytes) -> Result[Configuration, str]:
        return Success(Configuration(1, (self.route,), EdgeLimits(), text))

    def add_agent(
        self, name: str, total: Resources, run_ms: int, links: str = ""
    ) -> None:
        """Add an agent that is linked to these entries.

        By default these are all, or those that it selects if there are data centres.
        """
        data_centre = self.data_centre_of(name)
        self.linked_entries[name] = links or self.entries
        if self.data_centres and not links:
            ranking = rank_entries(name, self.endpoints())
            selected = select_entries(ranking, data_centre, ())
            self.linked_entries[name] = "".join(sorted(selected))
        state = BurstAgentState(name, "i", data_centre, "desk", 100, 6_000)
        self.cores[name] = BurstAgentCore(state)
        self.next_tick_ms[name] = self.now_ms
        worker = PlayedWorker(self, name, run_ms)
        worker.total = total
        self.workers[name] = worker
        worker.report()
        for entry in self.linked_entries[name]:
            self.open_link(name, entry)

    def kill(self, name: str) -> None:
        """Kill a process; the other ends of its links learn of it at once."""
        del self.cores[name]
        for agent, entry in list(self.links):
            if name in (agent, entry):
                self.break_link(agent, entry)
                other = entry if name == agent else agent
                self.report_break(other, name)

    def restart_agent(self, name: str) -> None:
        """Start a killed agent again; its worker reports only when told to."""
        incarnation = f"i{next(self.sequence)}"
        # The token derives from the time of the start.
        data_centre = self.data_centre_of(name)
        state = BurstAgentState(
            name, incarnation, data_centre, "desk", self.now_ms, 6_000
        )
        self.cores[name] = BurstAgentCore(state)
        self.next_tick_ms[name] = self.now_ms
        for entry in self.linked_entries[name]:
            if entry in self.cores:
                self.open_link(name, entry)

    def restart_entry(self, name: str) -> None:
        """Start a killed entry again, which has yet to read its configuration."""
        self.start_entry(name, f"i{next(self.sequence)}")
        for agent in self.workers:
            if agent in self.cores and name in self.linked_entries[agent]:
                self.open_link(agent, name)

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
        """Let a process handle an event, unless it was killed."""
        if name not in self.cores:
            return
        self.carry_out(name, self.cores[name].handle(event, sender, self.now_ms))
        self.conclude(name)

    def conclude(self, name: str) -> None:
        core = self.cores[name]
        self.carry_out(name, core.conclude(self.now_ms, self.now_ms))
        due_ms = self.now_ms + core.tick_interval_ms()
        self.next_tick_ms[name] = min(self.next_tick_ms[name], due_ms)

    def carry_out(self, name: str, effects: Iterable[object]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.send(name, effect)
            elif isinstance(effect, BurstReply):
                self.replies.append(effect)
            elif isinstance(effect, Connect) and self.data_centres:
                self.run_after(1, partial(self.connect, name, effect.address))
            elif isinstance(effect, Disconnect) and self.data_centres:
                self.run_after(1, partial(self.disconnect, name, effect.address))
            elif name in self.workers:
                self.workers[name].carry_out(effect)

    def connect(self, agent: str, entry: str) -> None:
        """Open a link that an agent dials, and dial again while the entry is down."""
        if agent not in self.cores or (agent, entry) in self.links:
            return
        if entry in self.cores:
            self.open_link(agent, entry)
        else:
            self.run_after(REDIAL_DELAY_MS, partial(self.connect, agent, entry))

    def disconnect(self, agent: str, entry: str) -> None:
        """Close a link that an agent does not need."""
        if (agent, entry) in self.links:
            self.break_link(agent, entry)
            self.report_break(agent, entry)
            self.report_break(entry, agent)

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

    def replies_to(self, token: int) -> list[ReplyKind]:
        """Return the kinds of the replies to a caller."""
        return [reply.kind for reply in self.replies if reply.token == token]

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
