"""Drivers that run the decision cores of an entry and an agent on a fake clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import TypeVar

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.agent import BurstAgentState
from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.configuration import Route
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.decision.burst.requests import BurstJob
from sardineferry.decision.burst.requests import BurstStep
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.burst.slowdown import LearnedSlowdown
from sardineferry.decision.burst.worker import HoldAnswered
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.burst.worker import StartAnswered
from sardineferry.decision.burst.worker import WorkerReported
from sardineferry.decision.effects import Send
from sardineferry.decision.events import LinkUp
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunRef
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.burst import WorkerProfile
from sardineferry.messages.burst import WorkerRoom

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "NEED",
    "TOTAL",
    "AgentDriver",
    "EntryDriver",
    "job",
    "logged",
    "ref",
    "route",
    "sent",
    "submit",
]

T = TypeVar("T")
NEED = Resources(1_000, 10, 0)
TOTAL = Resources(4_000, 1_000, 0)
LINK = "10.0.0.1:7000"


def ref(index: int = 0, attempt: int = 1, job_number: int = 1) -> RunRef:
    return RunRef(f"{job_number:016x}.0.0.{index}", attempt)


def route(**fields: object) -> Route:
    base = Route("r", "desk.example", "/q/", "desk", 0, 1_000, 2, 1.5, 0, False)
    return base._replace(**fields)  # type: ignore[arg-type]


def job(
    number: int = 1,
    tasks: int = 1,
    estimate_ms: int = 100,
    need: Resources = NEED,
    label: str = "",
    unsupported: str = "",
) -> BurstJob:
    step = BurstStep(tasks, need, estimate_ms, label, "", 0)
    return BurstJob(f"{number:016x}", "spec", (step,), unsupported)


def submit(token: int, submitted: BurstJob) -> SubmitJob:
    path = f"/q/{submitted.job_id}"
    return SubmitJob(token, "desk.example", path, submitted)


def sent(effects: Iterable[object], kind: type[T]) -> list[T]:
    """Return the sent messages and the other effects that are of a type."""
    found: list[T] = []
    for effect in effects:
        item = effect.message if isinstance(effect, Send) else effect
        if isinstance(item, kind):
            found.append(item)
    return found


def logged(effects: Iterable[object], event: str) -> list[dict[str, object]]:
    """Return the fields of the log lines about an event."""
    return [line.fields for line in sent(effects, LogDecision) if line.event == event]


class EntryDriver:
    """Runs an entry; the test plays its agents ``a``, ``b`` and so on."""

    def __init__(
        self, agents: str = "ab", total: Resources = TOTAL, configured: bool = True
    ) -> None:
        self.now_ms = 10_000
        self.configuration = Configuration(1, (route(),), EdgeLimits(), b"1")
        self.core = BurstEntryCore(
            BurstEntryState("e", "i", "dc", 6_000, self.decode, random.Random(1))
        )
        self.effects: list[object] = []
        if configured:
            self.handle(ConfigurationRead(b"1"))
        for name in agents:
            self.link(name, total)
        self.advance_time(2_000, agents)

    def decode(self, text: bytes) -> Result[Configuration, str]:
        if not text.isdigit():
            return Failure("not a version")
        return Success(
            self.configuration._replace(version=int(text.decode()), text=text)
        )

    @property
    def state(self) -> BurstEntryState:
        return self.core.state

    def link(self, name: str, total: Resources = TOTAL, incarnation: str = "1") -> None:
        self.handle(WorkerAnnounce(name, incarnation, "dc"), name)
        self.handle(WorkerProfile("desk", total, ("a",), 1, False), name)
        self.report_capacity(name, total)

    def report_capacity(self, name: str, free: Resources, last_order: int = 0) -> None:
        _, learned = self.state.worker_slowdowns.workers.get(
            name, ("", LearnedSlowdown())
        )
        self.handle(WorkerRoom(self.now_ms, free, True, last_order, *learned), name)

    def handle(self, event: object, sender: str = "") -> list[object]:
        effects: list[object] = list(self.core.handle(event, sender, self.now_ms))
        effects.extend(self.core.conclude(self.now_ms, self.now_ms))
        self.effects.extend(effects)
        return effects

    def tick(self, elapsed_ms: int = 0) -> list[object]:
        self.now_ms += elapsed_ms
        effects: list[object] = list(self.core.tick(self.now_ms))
        effects.extend(self.core.conclude(self.now_ms, self.now_ms))
        self.effects.extend(effects)
        return effects

    def advance_time(self, elapsed_ms: int, agents: str) -> list[object]:
        """Advance the clock in steps of 100 ms, in which these agents report."""
        effects: list[object] = []
        for _ in range(elapsed_ms // 100):
            self.now_ms += 100
            for name in agents:
                view = self.state.agents[name]
                _, learned = self.state.worker_slowdowns.workers.get(
                    name, ("", LearnedSlowdown())
                )
                message = WorkerRoom(
                    self.now_ms, view.reported_free, view.accepting, 0, *learned
                )
                effects.extend(self.handle(message, name))
            effects.extend(self.tick())
        return effects

    def orders(self) -> list[tuple[str, StartRuns]]:
        return [
            (effect.to, effect.message)
            for effect in self.effects
            if isinstance(effect, Send) and isinstance(effect.message, StartRuns)
        ]


class AgentDriver:
    """Runs an agent that is linked to one entry; the test plays its worker."""

    def __init__(self, total: Resources = TOTAL) -> None:
        self.now_ms = 10_000
        self.core = BurstAgentCore(BurstAgentState("a", "i", "dc", "desk", 100, 6_000))
        self.total = total
        self.effects: list[object] = []
        self.handle(self.report(1))
        self.hold()
        self.link()

    @property
    def state(self) -> BurstAgentState:
        return self.core.state

    def report(
        self,
        sequence: int,
        worker: str = "w",
        born_ms: int = 1,
        draining: bool = False,
    ) -> WorkerReported:
        return WorkerReported(
            worker, born_ms, sequence, "desk", self.total, ("a",), draining, self.now_ms
        )

    def link(
        self,
        link: str = LINK,
        entry: str = "e",
        incarnation: str = "1",
        data_centre: str = "dc",
    ) -> None:
        self.handle(LinkUp(link))
        self.handle(EntryWelcome(entry, incarnation, data_centre, None, ()), link)

    def handle(self, event: object, sender: str = LINK) -> list[object]:
        effects: list[object] = list(self.core.handle(event, sender, self.now_ms))
        effects.extend(self.core.conclude(self.now_ms, self.now_ms))
        self.effects.extend(effects)
        return effects

    def tick(self, elapsed_ms: int = 0) -> list[object]:
        self.now_ms += elapsed_ms
        effects: list[object] = list(self.core.tick(self.now_ms))
        effects.extend(self.core.conclude(self.now_ms, self.now_ms))
        self.effects.extend(effects)
        return effects

    def hold(self, **fields: object) -> list[object]:
        event = HoldAnswered(self.now_ms, True, clock_ms=self.now_ms, born_ms=1)
        return self.handle(event._replace(**fields))  # type: ignore[arg-type]

    def meet(self, born_ms: int, **fields: object) -> list[object]:
        """Let a new incarnation answer a hold, and the next, which has its token."""
        self.hold(born_ms=born_ms)
        self.now_ms += 1
        return self.hold(born_ms=born_ms, **fields)

    def order(
        self, *runs: RunRef, need: Resources = NEED, ttl_ms: int = 400, order: int = 1
    ) -> list[object]:
        message = StartRuns(order, self.now_ms + ttl_ms, runs, "spec", need, 100, True)
        return self.handle(message)

    def answer(
        self, run: RunRef, answer: StartAnswer = StartAnswer.STARTED
    ) -> list[object]:
        return self.handle(StartAnswered(run, answer, self.now_ms, self.now_ms))
