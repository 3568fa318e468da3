"""Replays a load that is distributed unevenly over entries that share agents."""

from __future__ import annotations

import itertools
import random
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import EntryBeat
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import job
from tests.decision.burst.drive import route
from tests.decision.burst.joined import WARM_UP_MS
from tests.decision.burst.joined import JoinedCores

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "GOAL_MS",
    "ORDINARY_PATH",
    "URGENT_PATH",
    "JobRecord",
    "SharedWorkers",
    "Stream",
]

URGENT_PATH = "/u/"
ORDINARY_PATH = "/q/"
# As in the deployments: the fixed part of a job's goal.
GOAL_MS = 61
MAX_MESSAGE_DELAY_MS = 4


class Stream(NamedTuple):
    """Jobs that arrive at an entry with a mean time between them."""

    entry: str
    path: str
    interval_ms: float
    tasks: int
    begin_ms: int
    end_ms: int


class JobRecord(NamedTuple):
    """A submitted job, and how its caller was answered."""

    entry: str
    path: str
    submitted_ms: int
    reply: ReplyKind
    reason: str
    took_ms: int


class SharedWorkers(JoinedCores):
    """Entries whose routes have two priorities and that share all agents."""

    def __init__(
        self,
        entries: str,
        *,
        is_shared: bool = True,
        same_priority: bool = False,
        data_centres: dict[str, str] | None = None,
    ) -> None:
        self.is_shared = is_shared
        self.same_priority = same_priority
        # Nothing that these entries send arrives.
        self.silent: set[str] = set()
        self.answers: dict[int, tuple[int, BurstReply]] = {}
        self.sent: list[tuple[str, object]] = []
        self.tokens = itertools.count(1)
        self.delays = random.Random(1)
        # When the last message of a process to another one arrives.
        self.last_due_ms: dict[tuple[str, str], int] = {}
        super().__init__(entries, route(goal_ms=GOAL_MS), data_centres)

    def decode(self, text: bytes) -> Result[Configuration, str]:
        base = route(goal_ms=GOAL_MS, slack_factor=1.6)
        lower = 0 if self.same_priority else 1
        routes = (
            base._replace(path_prefix=URGENT_PATH, name="urgent"),
            base._replace(path_prefix=ORDINARY_PATH, name="ordinary", priority=lower),
        )
        return Success(Configuration(1, routes, EdgeLimits(), text))

    def carry_out(self, name: str, effects: Iterable[object]) -> None:
        kept = list(effects)
        for effect in kept:
            if isinstance(effect, BurstReply):
                self.answers[effect.token] = (self.now_ms, effect)
        super().carry_out(name, kept)

    def send(self, name: str, effect: Send) -> None:
        message = effect.message
        if name in self.silent:
            return
        if isinstance(message, EntryBeat) and not self.is_shared:
            effect = Send(effect.to, message._replace(waiting=()))
        link = (name, effect.to) if name in self.workers else (effect.to, name)
        number = self.links.get(link)
        if number is None:
            return
        self.sent.append((name, effect.message))
        # Equal delays would let the same entry win each race for free capacity.
        due_ms = max(
            self.now_ms + self.delays.randint(1, MAX_MESSAGE_DELAY_MS),
            self.last_due_ms.get((name, effect.to), 0),
        )
        self.last_due_ms[name, effect.to] = due_ms
        deliver = partial(self.deliver, link, number, effect, name)
        self.run_after(due_ms - self.now_ms, deliver)

    def warm_up(self) -> None:
        for _ in range(WARM_UP_MS // 500):
            for worker in self.workers.values():
                worker.report()
            self.advance_time(500)

    def replay(
        self, streams: Iterable[Stream], duration_ms: int, estimate_ms: int, seed: int
    ) -> list[JobRecord]:
        """Submit jobs at random times and return all of them."""
        chance = random.Random(seed)
        start_ms = self.now_ms
        arrivals: list[tuple[float, Stream]] = []
        for stream in streams:
            at_ms = float(stream.begin_ms)
            while (
                at_ms := at_ms + chance.expovariate(1 / stream.interval_ms)
            ) < stream.end_ms:
                arrivals.append((at_ms, stream))
        arrivals.sort()
        submitted: dict[int, tuple[Stream, int]] = {}
        for at_ms, stream in arrivals:
            token = next(self.tokens)
            self.advance_time(max(0, start_ms + int(at_ms) - self.now_ms))
            item = job(token, stream.tasks, estimate_ms, NEED)
            path = f"{stream.path}{item.job_id}"
            submitted[token] = (stream, self.now_ms)
            self.handle(stream.entry, SubmitJob(token, "desk.example", path, item))
        self.advance_time(start_ms + duration_ms - self.now_ms)
        records = []
        for token, (stream, at) in submitted.items():
            if token in self.answers:
                answered_ms, reply = self.answers[token]
                records.append(
                    JobRecord(
                        stream.entry,
                        stream.path,
                        at,
                        reply.kind,
                        reply.reason,
                        answered_ms - at,
                    )
                )
        return records
