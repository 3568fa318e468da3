"""Entries, agents, targets, a log and callers under virtual time."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from bench.virtual.history import Answered
from bench.virtual.history import ChangeAnswered
from bench.virtual.history import Drained
from bench.virtual.history import History
from bench.virtual.history import Paused
from bench.virtual.history import PresetSeen
from bench.virtual.history import Started
from bench.virtual.history import StartSent
from bench.virtual.history import Submitted
from bench.virtual.log import FakeLog
from bench.virtual.nodes import Node
from bench.virtual.schedule import US_PER_MS
from bench.virtual.schedule import Schedule
from sardineferry.decision import effects
from sardineferry.decision import events
from sardineferry.decision.agent import AgentCore
from sardineferry.decision.agent import AgentPolicy
from sardineferry.decision.agent import AgentState
from sardineferry.decision.claims import CLAIM_STREAM
from sardineferry.decision.entry import EntryCore
from sardineferry.decision.entry import EntryPolicy
from sardineferry.decision.entry import EntryState
from sardineferry.decision.preset import CONFIG_STREAM
from sardineferry.messages import wire
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskResult
from sardineferry.messages.target import TargetShape

if TYPE_CHECKING:
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.job import Job

__all__ = ["Simulation", "SimulationConfig"]

DETECT_MS = 2.0
REDIAL_MS = 100.0
LOG_MS = 5.0
POLL_MS = 250.0
STREAMS = (CONFIG_STREAM, CLAIM_STREAM)


class SimulationConfig(NamedTuple):
    """Sizes, seed and policies; ``latency_ms`` is one way."""

    entries: int = 2
    slowness: tuple[float, ...] = (1.0, 1.0, 1.0)
    shape: TargetShape = TargetShape("minion", slots=4)
    latency_ms: float = 1.2
    seed: int = 1
    quotas: tuple[tuple[str, int], ...] = (("team", 100_000),)
    entry_policy: EntryPolicy | None = None
    agent_policy: AgentPolicy = AgentPolicy()
    run_ms: Callable[[Task], float] | None = None


class Simulation:
    """Runs the real cores; the network, log and targets are fakes."""

    def __init__(self, plan: SimulationConfig) -> None:
        """Build the nodes and start them at time zero."""
        self.plan = plan
        self.schedule = Schedule()
        self.random = random.Random(plan.seed)
        self.history = History()
        self.log = FakeLog()
        self.nodes: dict[str, Node] = {}
        self.links: dict[tuple[str, str], int] = {}
        self.generation = 0
        self.last_words: dict[int, str] = {}
        self.cut: set[frozenset[str]] = set()
        self.held: set[frozenset[str]] = set()
        self.steps: Counter[str] = Counter()
        self.watchers: list[tuple[str, int, Callable[[], None]]] = []
        self.message_counts: Counter[str] = Counter()
        self.frames: set[tuple[str, str, int]] = set()
        self.on_answer: Callable[[Answered], None] | None = None
        self.tokens = 0
        self.begun_ms: dict[str, float] = {}
        self.response_ms_by_task: dict[tuple[str, str], float] = {}
        entries = [f"entry-{index}" for index in range(plan.entries)]
        agents = [f"agent-{index}" for index in range(len(plan.slowness))]
        self.entries = entries
        self.agents = agents
        for name in entries:
            self.nodes[name] = Node(name, self.entry_core(name, 0))
        for name, slowness in zip(agents, plan.slowness, strict=True):
            node = Node(name, self.agent_core(name, 0))
            node.target.slowness = slowness
            self.nodes[name] = node
        for name in self.nodes:
            self.boot(name)

    # Construction.

    def entry_core(self, name: str, run: int) -> EntryCore:
        """Build an entry's core for one incarnation."""
        policy = self.plan.entry_policy or EntryPolicy(dict(self.plan.quotas))
        source = random.Random(f"{self.plan.seed}/{name}/{run}")
        return EntryCore(EntryState(name, f"run{run}", name, "dc", policy, source))

    def agent_core(self, name: str, run: int) -> AgentCore:
        """Build an agent's core for one incarnation."""
        plan = self.plan
        return AgentCore(
            AgentState(name, f"run{run}", "dc", plan.shape, plan.agent_policy)
        )

    def boot(self, name: str) -> None:
        """Start a node's ticks, log polls and links."""
        node = self.nodes[name]
        run = node.run
        offset_ms = self.random.uniform(0, node.tick_ms())
        self.schedule.after_ms(offset_ms, lambda: self.tick(node, run))
        if name in self.entries:
            self.schedule.after_ms(1.0, lambda: self.poll_log(node, run))
        for entry in self.entries:
            if entry != name:
                self.schedule.after_ms(1.0, partial(self.dial, name, entry, run))

    def entry_state(self, name: str) -> EntryState:
        """Return the state of an entry."""
        core = self.nodes[name].core
        assert isinstance(core, EntryCore)
        return core.state

    # The clock of nodes.

    def tick(self, node: Node, run: int) -> None:
        """Tick a node and plan its next tick."""
        if not node.alive or node.run != run:
            return
        if not node.paused:
            now_ms = self.schedule.now_ms()
            self.apply(node, lambda: node.core.tick(now_ms))
            self.note_preset(node)
        self.schedule.after_ms(node.tick_ms(), lambda: self.tick(node, run))

    def note_preset(self, node: Node) -> None:
        """Record a node's preset when it changed."""
        preset = node.core.state.preset
        now_ms = self.schedule.now_us / US_PER_MS
        seen = PresetSeen(now_ms, node.identity(), preset.version, preset.name)
        self.history.presets.append(seen)

    def deliver(self, node: Node, run: int, event: object, sender: str) -> None:
        """Hand an event to a node, or keep it while the node is paused."""
        if not node.alive or node.run != run:
            return
        if node.paused:
            node.inbox.append((event, sender))
            return
        now_ms = self.schedule.now_ms()
        self.apply(node, lambda: node.core.handle(event, sender, now_ms))

    def apply(self, node: Node, rule: Callable[[], list[effects.Effect]]) -> None:
        """Apply a rule of a node; as in the processes, a defect ends no node."""
        try:
            done = rule()
        except Exception as error:
            self.history.failures.append(f"{node.name}: {error!r}")
            done = node.core.take_effects()
        self.perform(node, done)

    # Links.

    def reachable(self, one: str, other: str) -> bool:
        """Tell whether two nodes can talk."""
        return frozenset((one, other)) not in self.cut

    def dial(self, dialer: str, acceptor: str, run: int) -> None:
        """Open a link, or try again later."""
        node = self.nodes[dialer]
        if not node.alive or node.run != run or (dialer, acceptor) in self.links:
            return
        far = self.nodes[acceptor]
        if node.paused or not far.alive or not self.reachable(dialer, acceptor):
            self.schedule.after_ms(REDIAL_MS, lambda: self.dial(dialer, acceptor, run))
            return
        self.generation += 1
        self.links[dialer, acceptor] = self.generation
        self.deliver(node, run, events.LinkUp(acceptor), acceptor)

    def break_link(self, dialer: str, acceptor: str) -> None:
        """Break a link; both ends notice, and the dialler redials."""
        if self.links.pop((dialer, acceptor), None) is None:
            return
        near = self.nodes[dialer]
        far = self.nodes[acceptor]
        name = dialer if dialer in self.agents else f"entry/{dialer}"
        near_run = near.run
        far_run = far.run
        self.schedule.after_ms(
            DETECT_MS,
            lambda: self.deliver(near, near_run, events.LinkDown(acceptor), acceptor),
        )
        self.schedule.after_ms(
            DETECT_MS, lambda: self.deliver(far, far_run, events.LinkDown(name), name)
        )
        self.schedule.after_ms(REDIAL_MS, lambda: self.dial(dialer, acceptor, near_run))

    def route(self, sender: str, to: str) -> tuple[tuple[str, str], str, str] | None:
        """Return the link, the receiver and the name it knows the sender by."""
        if to.startswith("entry/"):
            peer = to.removeprefix("entry/")
            return (peer, sender), peer, sender
        if to in self.agents:
            return (to, sender), to, sender
        if sender in self.agents:
            return (sender, to), to, sender
        return (sender, to), to, f"entry/{sender}"

    def send(self, node: Node, effect: effects.Send) -> None:
        """Carry a message over a link, if the link outlives the journey."""
        found = self.route(node.name, effect.to)
        if found is None or found[0] not in self.links:
            return
        link, receiver, sender = found
        kind = type(effect.message).__name__
        self.message_counts[kind] += 1
        self.frames.add((node.name, receiver, self.schedule.now_us))
        self.note_send(effect.message, receiver)
        generation = self.links[link]
        message = effect.message
        self.schedule.after_ms(
            self.plan.latency_ms,
            lambda: self.arrive(link, generation, receiver, message, sender),
        )
        self.step_after(message)

    def note_send(self, message: object, receiver: str) -> None:
        """Record starts, and let faults strike before they leave."""
        if isinstance(message, wire.Start):
            now_ms = self.schedule.now_us / US_PER_MS
            self.history.starts_sent.append(
                StartSent(now_ms, self.nodes[receiver].identity())
            )
            self.step("before_send")

    def step_after(self, message: object) -> None:
        """Let faults strike while a message is under way."""
        if isinstance(message, wire.Start):
            self.step("after_send")
        if isinstance(message, wire.Done):
            self.step("before_answer")

    def arrive(
        self,
        link: tuple[str, str],
        generation: int,
        receiver: str,
        message: object,
        sender: str,
    ) -> None:
        """Deliver a message unless its link broke meanwhile."""
        dead = self.last_words.get(generation)
        if self.links.get(link) != generation and dead in (None, receiver):
            return
        if frozenset(link) in self.held:
            again = partial(self.arrive, link, generation, receiver, message, sender)
            self.schedule.after_ms(10.0, again)
            return
        node = self.nodes[receiver]
        if isinstance(message, wire.Done):
            self.note_response(message)
        self.deliver(node, node.run, message, sender)

    def note_response(self, message: wire.Done) -> None:
        """Record the response time of a task, by its first answer."""
        attempt = message.attempt
        key = (attempt.submission, attempt.task)
        took_ms = self.schedule.now_us / US_PER_MS - self.begun_ms[key[0]]
        self.response_ms_by_task.setdefault(key, took_ms)

    # The log.

    def poll_log(self, node: Node, run: int) -> None:
        """Poll both streams and plan the next poll."""
        if not node.alive or node.run != run:
            return
        for stream in STREAMS:
            self.read_log(node, run, stream)
        self.schedule.after_ms(POLL_MS, lambda: self.poll_log(node, run))

    def read_log(self, node: Node, run: int, stream: str) -> None:
        """Read what is new; the records arrive after the log's delay."""
        if frozenset((node.name, "log")) in self.cut:
            return
        batch = self.log.read(stream, node.positions.get(stream, 0))
        if batch is None:
            return
        if batch.records:
            node.positions[stream] = batch.records[-1].offset + 1
        delay_ms = 1.0 + self.log.slow_ms
        self.schedule.after_ms(delay_ms, lambda: self.deliver(node, run, batch, ""))

    def append(self, node: Node, effect: effects.Append) -> None:
        """Append after the log's delay, then read back."""
        self.step("before_append")
        run = node.run
        delay_ms = LOG_MS + self.log.slow_ms
        self.schedule.after_ms(delay_ms, lambda: self.land(node, run, effect))

    def land(self, node: Node, run: int, effect: effects.Append) -> None:
        """Let an append take effect, even if its sender died meanwhile."""
        cut = frozenset((node.name, "log")) in self.cut
        done = not cut and self.log.append(effect.stream, effect.record_id, effect.body)
        self.step("after_append")
        if not done:
            failed = events.AppendFailed(effect.stream, effect.record_id)
            self.schedule.after_ms(1.0, lambda: self.deliver(node, run, failed, ""))
            return
        self.read_log(node, run, effect.stream)

    # Effects.

    def perform(self, node: Node, done: list[effects.Effect]) -> None:
        """Carry out effects, as long as the node lives."""
        for effect in done:
            if not node.alive:
                return
            self.perform_one(node, effect)

    def perform_one(self, node: Node, effect: effects.Effect) -> None:
        """Carry out one effect."""
        match effect:
            case effects.Send():
                self.send(node, effect)
            case effects.RunTask():
                self.run_task(node, effect)
            case effects.Append():
                self.append(node, effect)
            case effects.Answer():
                self.answer(effect)
            case effects.PresetAnswer():
                now_ms = self.schedule.now_us / US_PER_MS
                self.history.preset_changes.append(
                    ChangeAnswered(now_ms, effect.outcome, effect.version, effect.name)
                )
            case effects.StopTask():
                node.target.stopped.add(effect.attempt)
            case effects.Exit():
                self.kill(node.name)
            case _:
                pass

    def answer(self, effect: effects.Answer) -> None:
        """Give a caller its answer, unless its connection broke."""
        self.step("on_answer")
        if effect.token in self.history.broken_tokens:
            return
        now_ms = self.schedule.now_us / US_PER_MS
        answered = Answered(now_ms, effect.token, effect.answer)
        self.history.answered.append(answered)
        if self.on_answer is not None:
            self.on_answer(answered)

    def run_task(self, node: Node, effect: effects.RunTask) -> None:
        """Start a task at the node's target, unless that is down."""
        run = node.run
        attempt = effect.attempt
        if node.target.down:
            refused = events.TargetRefused(attempt, "connection refused")
            self.schedule.after_ms(0.5, lambda: self.deliver(node, run, refused, ""))
            return
        now_ms = self.schedule.now_us / US_PER_MS
        self.history.started.append(
            Started(
                now_ms,
                node.identity(),
                attempt.submission,
                attempt.task,
                effect.task.idempotent,
            )
        )
        duration_ms = self.duration_ms(node, effect.task)
        self.schedule.after_ms(
            duration_ms, lambda: self.finish(node, run, attempt, duration_ms)
        )
        self.step("after_start")

    def duration_ms(self, node: Node, task: Task) -> float:
        """Return how long a task runs at a node's target."""
        base = self.plan.run_ms(task) if self.plan.run_ms else float(task.run_ms)
        return base * node.target.slowness + node.target.stall_ms

    def finish(
        self, node: Node, run: int, attempt: Attempt, duration_ms: float
    ) -> None:
        """End a task at the target."""
        self.step("after_finish")
        text = f"{attempt.submission}/{attempt.task}"
        took_ms = int(duration_ms)
        result = TaskResult("answered", text, "", took_ms)
        if node.target.failing or attempt in node.target.stopped:
            result = TaskResult("unknown", "", "target fault", took_ms)
        self.deliver(node, run, events.TargetFinished(attempt, result), "")

    # What callers and operators do.

    def submit(self, entry: str, job: Job) -> int:
        """Submit a job to an entry and return its token."""
        self.tokens += 1
        token = self.tokens
        now_ms = self.schedule.now_us / US_PER_MS
        self.begun_ms.setdefault(job.submission, now_ms)
        self.history.submitted.append(Submitted(now_ms, token, entry, job))
        node = self.nodes[entry]
        if not node.alive:
            self.history.broken_tokens.add(token)
            return token
        self.deliver(node, node.run, events.Submit(token, job), "")
        return token

    def set_preset(self, entry: str, name: str, expected_version: int) -> None:
        """Change the preset through an entry."""
        self.tokens += 1
        node = self.nodes[entry]
        event = events.SetPreset(
            self.tokens, f"change-{self.tokens}", name, expected_version
        )
        self.deliver(node, node.run, event, "")

    def cancel(self, entry: str, submission: str) -> None:
        """Cancel a job at an entry."""
        self.tokens += 1
        node = self.nodes[entry]
        event = events.CancelJob(self.tokens, submission)
        self.deliver(node, node.run, event, "")

    # Faults.

    def step(self, name: str) -> None:
        """Reach a step; faults planned for its count strike now."""
        self.steps[name] += 1
        count = self.steps[name]
        due = [item for item in self.watchers if item[:2] == (name, count)]
        for item in due:
            self.history.injected_faults += 1
            self.watchers.remove(item)
            item[2]()

    def strike_at(self, step: str, count: int, fault: Callable[[], None]) -> None:
        """Plan a fault for the moment a step is reached the n-th time."""
        self.watchers.append((step, count, fault))

    def kill(self, name: str) -> None:
        """End a process at once."""
        node = self.nodes[name]
        if not node.alive:
            return
        node.alive = False
        node.inbox.clear()
        answered = {item.token for item in self.history.answered}
        for item in self.history.submitted:
            if item.entry == name and item.token not in answered:
                self.history.broken_tokens.add(item.token)
        for link, generation in list(self.links.items()):
            if name in link:
                # What a process had sent before it died still arrives.
                self.last_words[generation] = name
                self.break_link(*link)

    def restart(self, name: str) -> None:
        """Start a dead process anew, with an empty state."""
        node = self.nodes[name]
        if node.alive:
            self.kill(name)
        node.run += 1
        node.alive = True
        node.paused = False
        node.positions = {}
        make = self.entry_core if name in self.entries else self.agent_core
        node.core = make(name, node.run)
        self.boot(name)

    def pause(self, name: str) -> None:
        """Freeze a process; what it is sent waits."""
        node = self.nodes[name]
        if not node.paused:
            node.paused = True
            node.paused_at_ms = self.schedule.now_us / US_PER_MS

    def resume(self, name: str) -> None:
        """Let a frozen process go on: first its clock, then its messages."""
        node = self.nodes[name]
        if not node.paused:
            return
        node.paused = False
        now_ms = self.schedule.now_us / US_PER_MS
        self.history.paused.append(Paused(node.paused_at_ms, now_ms, name))
        if not node.alive:
            return
        self.apply(node, lambda: node.core.tick(self.schedule.now_ms()))
        waiting, node.inbox = node.inbox, []
        for event, sender in waiting:
            self.deliver(node, node.run, event, sender)

    def partition(self, one: str, other: str) -> None:
        """Cut two nodes off from each other; their links break."""
        self.cut.add(frozenset((one, other)))
        for link in ((one, other), (other, one)):
            self.break_link(*link)

    def heal(self) -> None:
        """End every partition and every hold."""
        self.cut.clear()
        self.held.clear()

    def delay_messages(self, one: str, other: str) -> None:
        """Delay all messages between two nodes without breaking links."""
        self.held.add(frozenset((one, other)))

    def drain(self, name: str) -> None:
        """Ask a process to finish and leave; a frozen one reads it later."""
        node = self.nodes[name]
        if node.paused:
            run = node.run
            self.schedule.after_ms(
                REDIAL_MS, lambda: self.drain(name) if node.run == run else None
            )
            return
        if not node.alive:
            return
        if name in self.agents:
            now_ms = self.schedule.now_us / US_PER_MS
            self.history.drained.append(Drained(now_ms, node.identity()))
        self.deliver(node, node.run, events.Drain("test"), "")

    def run_until_ms(self, end_ms: float) -> None:
        """Let virtual time pass."""
        self.schedule.run_until_ms(end_ms)
