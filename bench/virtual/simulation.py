"""Runs the cores of entries and agents under virtual time, with fake I/O.

Links, the log and targets are fakes. Faults start at injection points: the
moments at which the simulation calls ``reach_point``.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from bench.virtual.fake_log import FakeLog
from bench.virtual.history import Answered
from bench.virtual.history import Drained
from bench.virtual.history import History
from bench.virtual.history import Paused
from bench.virtual.history import PresetChangeAnswered
from bench.virtual.history import PresetObserved
from bench.virtual.history import Started
from bench.virtual.history import StartSent
from bench.virtual.history import Submitted
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

LINK_DOWN_DELAY_MS = 2.0
REDIAL_INTERVAL_MS = 100.0
APPEND_DELAY_MS = 5.0
LOG_POLL_INTERVAL_MS = 250.0
POLLED_STREAMS = (CONFIG_STREAM, CLAIM_STREAM)


class SimulationConfig(NamedTuple):
    """The size, seed and policies of a simulation.

    There is one agent for each value of ``slowness``, a factor on the run times
    at its target. ``latency_ms`` is one way. ``run_ms`` returns the true run
    time of a task; without it, tasks run as long as their callers expect.
    """

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
    """A deployment of entries and agents under virtual time.

    ``links`` maps the dialer and acceptor of each open link to its id, which is
    never used again. ``killed_nodes_by_link`` says which node was killed while a
    link was open. ``partitions`` and ``delayed_pairs`` hold pairs of nodes;
    the log also counts as a node. ``point_counts`` says how often each injection
    point was reached.
    """

    def __init__(self, config: SimulationConfig) -> None:
        """Create the nodes and start them at time zero."""
        self.config = config
        self.schedule = Schedule()
        self.random = random.Random(config.seed)
        self.history = History()
        self.log = FakeLog()
        self.nodes: dict[str, Node] = {}
        self.links: dict[tuple[str, str], int] = {}
        self.last_link_id = 0
        self.killed_nodes_by_link: dict[int, str] = {}
        self.partitions: set[frozenset[str]] = set()
        self.delayed_pairs: set[frozenset[str]] = set()
        self.point_counts: Counter[str] = Counter()
        self.planned_injections: list[tuple[str, int, Callable[[], None]]] = []
        self.message_counts: Counter[str] = Counter()
        self.frames: set[tuple[str, str, int]] = set()
        self.on_answer: Callable[[Answered], None] | None = None
        self.last_token = 0
        self.first_submitted_ms: dict[str, float] = {}
        self.response_ms_by_task: dict[tuple[str, str], float] = {}
        entries = [f"entry-{index}" for index in range(config.entries)]
        agents = [f"agent-{index}" for index in range(len(config.slowness))]
        self.entries = entries
        self.agents = agents
        for name in entries:
            self.nodes[name] = Node(name, self.make_entry_core(name, 0))
        for name, slowness in zip(agents, config.slowness, strict=True):
            node = Node(name, self.make_agent_core(name, 0))
            node.target.slowness = slowness
            self.nodes[name] = node
        for name in self.nodes:
            self.start_node(name)

    # Creation and start of nodes.

    def make_entry_core(self, name: str, incarnation: int) -> EntryCore:
        """Create the core of an incarnation of an entry."""
        policy = self.config.entry_policy or EntryPolicy(dict(self.config.quotas))
        rng = random.Random(f"{self.config.seed}/{name}/{incarnation}")
        return EntryCore(EntryState(name, f"run{incarnation}", name, "dc", policy, rng))

    def make_agent_core(self, name: str, incarnation: int) -> AgentCore:
        """Create the core of an incarnation of an agent."""
        config = self.config
        return AgentCore(
            AgentState(
                name, f"run{incarnation}", "dc", config.shape, config.agent_policy
            )
        )

    def start_node(self, name: str) -> None:
        """Start the ticks, log polls and links of a node."""
        node = self.nodes[name]
        incarnation = node.incarnation
        offset_ms = self.random.uniform(0, node.tick_interval_ms())
        self.schedule.after_ms(offset_ms, lambda: self.tick(node, incarnation))
        if name in self.entries:
            self.schedule.after_ms(1.0, lambda: self.poll_log(node, incarnation))
        for entry in self.entries:
            if entry != name:
                self.schedule.after_ms(
                    1.0, partial(self.dial, name, entry, incarnation)
                )

    def entry_state(self, name: str) -> EntryState:
        """Return the state of an entry."""
        core = self.nodes[name].core
        assert isinstance(core, EntryCore)
        return core.state

    # Ticks and events of nodes.

    def tick(self, node: Node, incarnation: int) -> None:
        """Tick a node and schedule its next tick."""
        if not node.alive or node.incarnation != incarnation:
            return
        if not node.paused:
            now_ms = self.schedule.now_ms()
            self.run_decision_code(node, lambda: node.core.tick(now_ms))
            self.record_preset(node)
        self.schedule.after_ms(
            node.tick_interval_ms(), lambda: self.tick(node, incarnation)
        )

    def record_preset(self, node: Node) -> None:
        """Record the preset in force at a node."""
        preset = node.core.state.preset
        now_ms = self.schedule.now_us / US_PER_MS
        observed = PresetObserved(
            now_ms, node.incarnation_id(), preset.version, preset.name
        )
        self.history.presets.append(observed)

    def deliver_event(
        self, node: Node, incarnation: int, event: object, sender: str
    ) -> None:
        """Deliver an event to a node, or queue it while the node is paused."""
        if not node.alive or node.incarnation != incarnation:
            return
        if node.paused:
            node.inbox.append((event, sender))
            return
        now_ms = self.schedule.now_ms()
        self.run_decision_code(node, lambda: node.core.handle(event, sender, now_ms))

    def run_decision_code(
        self, node: Node, handle: Callable[[], list[effects.Effect]]
    ) -> None:
        """Run decision code of a node and carry out its effects.

        An exception is recorded and doesn't end the node, as in the deployed
        processes.
        """
        try:
            emitted = handle()
        except Exception as error:
            self.history.failures.append(f"{node.name}: {error!r}")
            emitted = node.core.take_effects()
        self.perform_effects(node, emitted)

    # Links.

    def reachable(self, one: str, other: str) -> bool:
        """Return whether no partition separates two nodes."""
        return frozenset((one, other)) not in self.partitions

    def dial(self, dialer: str, acceptor: str, incarnation: int) -> None:
        """Open a link, or try again after the redial interval."""
        node = self.nodes[dialer]
        if (
            not node.alive
            or node.incarnation != incarnation
            or (dialer, acceptor) in self.links
        ):
            return
        acceptor_node = self.nodes[acceptor]
        if (
            node.paused
            or not acceptor_node.alive
            or not self.reachable(dialer, acceptor)
        ):
            self.schedule.after_ms(
                REDIAL_INTERVAL_MS, lambda: self.dial(dialer, acceptor, incarnation)
            )
            return
        self.last_link_id += 1
        self.links[dialer, acceptor] = self.last_link_id
        self.deliver_event(node, incarnation, events.LinkUp(acceptor), acceptor)

    def break_link(self, dialer: str, acceptor: str) -> None:
        """Break a link; both ends get a ``LinkDown`` event, and the dialer redials."""
        if self.links.pop((dialer, acceptor), None) is None:
            return
        dialer_node = self.nodes[dialer]
        acceptor_node = self.nodes[acceptor]
        name = dialer if dialer in self.agents else f"entry/{dialer}"
        dialer_incarnation = dialer_node.incarnation
        acceptor_incarnation = acceptor_node.incarnation
        self.schedule.after_ms(
            LINK_DOWN_DELAY_MS,
            lambda: self.deliver_event(
                dialer_node, dialer_incarnation, events.LinkDown(acceptor), acceptor
            ),
        )
        self.schedule.after_ms(
            LINK_DOWN_DELAY_MS,
            lambda: self.deliver_event(
                acceptor_node, acceptor_incarnation, events.LinkDown(name), name
            ),
        )
        self.schedule.after_ms(
            REDIAL_INTERVAL_MS, lambda: self.dial(dialer, acceptor, dialer_incarnation)
        )

    def route(self, sender: str, to: str) -> tuple[tuple[str, str], str, str] | None:
        """Return the link, the receiver and the name by which it knows the sender."""
        if to.startswith("entry/"):
            peer = to.removeprefix("entry/")
            return (peer, sender), peer, sender
        if to in self.agents:
            return (to, sender), to, sender
        if sender in self.agents:
            return (sender, to), to, sender
        return (sender, to), to, f"entry/{sender}"

    def send(self, node: Node, effect: effects.Send) -> None:
        """Send a message over an open link; without one the message is lost."""
        found = self.route(node.name, effect.to)
        if found is None or found[0] not in self.links:
            return
        link, receiver, sender = found
        kind = type(effect.message).__name__
        self.message_counts[kind] += 1
        self.frames.add((node.name, receiver, self.schedule.now_us))
        self.before_send(effect.message, receiver)
        link_id = self.links[link]
        message = effect.message
        self.schedule.after_ms(
            self.config.latency_ms,
            lambda: self.arrive(link, link_id, receiver, message, sender),
        )
        self.after_send(message)

    def before_send(self, message: object, receiver: str) -> None:
        """Record a start and reach its injection point before it is sent."""
        if isinstance(message, wire.Start):
            now_ms = self.schedule.now_us / US_PER_MS
            self.history.starts_sent.append(
                StartSent(now_ms, self.nodes[receiver].incarnation_id())
            )
            self.reach_point("before_send")

    def after_send(self, message: object) -> None:
        """Reach the injection points of a message that has just been sent."""
        if isinstance(message, wire.Start):
            self.reach_point("after_send")
        if isinstance(message, wire.Done):
            self.reach_point("before_answer")

    def arrive(
        self,
        link: tuple[str, str],
        link_id: int,
        receiver: str,
        message: object,
        sender: str,
    ) -> None:
        """Deliver a message, unless its link broke after it was sent.

        If the link broke because the sender was killed, the message is delivered
        all the same.
        """
        killed = self.killed_nodes_by_link.get(link_id)
        if self.links.get(link) != link_id and killed in (None, receiver):
            return
        if frozenset(link) in self.delayed_pairs:
            arrive_later = partial(
                self.arrive, link, link_id, receiver, message, sender
            )
            self.schedule.after_ms(10.0, arrive_later)
            return
        node = self.nodes[receiver]
        if isinstance(message, wire.Done):
            self.record_response_time(message)
        self.deliver_event(node, node.incarnation, message, sender)

    def record_response_time(self, message: wire.Done) -> None:
        """Record the response time of a task, if this is its first result to arrive.

        It counts from the first submission of the key.
        """
        attempt = message.attempt
        key = (attempt.submission, attempt.task)
        took_ms = self.schedule.now_us / US_PER_MS - self.first_submitted_ms[key[0]]
        self.response_ms_by_task.setdefault(key, took_ms)

    # The log.

    def poll_log(self, node: Node, incarnation: int) -> None:
        """Read both streams and schedule the next poll."""
        if not node.alive or node.incarnation != incarnation:
            return
        for stream in POLLED_STREAMS:
            self.read_log(node, incarnation, stream)
        self.schedule.after_ms(
            LOG_POLL_INTERVAL_MS, lambda: self.poll_log(node, incarnation)
        )

    def read_log(self, node: Node, incarnation: int, stream: str) -> None:
        """Read the new records; they arrive after the delay of the log."""
        if frozenset((node.name, "log")) in self.partitions:
            return
        batch = self.log.read(stream, node.log_offsets.get(stream, 0))
        if batch is None:
            return
        if batch.records:
            node.log_offsets[stream] = batch.records[-1].offset + 1
        delay_ms = 1.0 + self.log.slow_ms
        self.schedule.after_ms(
            delay_ms, lambda: self.deliver_event(node, incarnation, batch, "")
        )

    def append(self, node: Node, effect: effects.Append) -> None:
        """Start an append, which takes effect after the delay of the log."""
        self.reach_point("before_append")
        incarnation = node.incarnation
        delay_ms = APPEND_DELAY_MS + self.log.slow_ms
        self.schedule.after_ms(
            delay_ms, lambda: self.complete_append(node, incarnation, effect)
        )

    def complete_append(
        self, node: Node, incarnation: int, effect: effects.Append
    ) -> None:
        """Complete an append, even if its sender was killed after it began.

        The sender reads the stream afterwards, or gets an event about the failure.
        """
        partitioned = frozenset((node.name, "log")) in self.partitions
        appended = not partitioned and self.log.append(
            effect.stream, effect.record_id, effect.body
        )
        self.reach_point("after_append")
        if not appended:
            failed = events.AppendFailed(effect.stream, effect.record_id)
            self.schedule.after_ms(
                1.0, lambda: self.deliver_event(node, incarnation, failed, "")
            )
            return
        self.read_log(node, incarnation, effect.stream)

    # Effects.

    def perform_effects(self, node: Node, emitted: list[effects.Effect]) -> None:
        """Carry out effects in order, until one of them kills the node."""
        for effect in emitted:
            if not node.alive:
                return
            self.perform_effect(node, effect)

    def perform_effect(self, node: Node, effect: effects.Effect) -> None:
        """Carry out one effect."""
        match effect:
            case effects.Send():
                self.send(node, effect)
            case effects.RunTask():
                self.run_task(node, effect)
            case effects.Append():
                self.append(node, effect)
            case effects.Answer():
                self.deliver_answer(effect)
            case effects.PresetAnswer():
                now_ms = self.schedule.now_us / US_PER_MS
                self.history.preset_changes.append(
                    PresetChangeAnswered(
                        now_ms, effect.outcome, effect.version, effect.name
                    )
                )
            case effects.StopTask():
                node.target.stopped.add(effect.attempt)
            case effects.Exit():
                self.kill(node.name)
            case _:
                pass

    def deliver_answer(self, effect: effects.Answer) -> None:
        """Deliver the answer to a caller, unless its connection is broken."""
        self.reach_point("on_answer")
        if effect.token in self.history.broken_tokens:
            return
        now_ms = self.schedule.now_us / US_PER_MS
        answered = Answered(now_ms, effect.token, effect.answer)
        self.history.answered.append(answered)
        if self.on_answer is not None:
            self.on_answer(answered)

    def run_task(self, node: Node, effect: effects.RunTask) -> None:
        """Start a task at the target of a node, unless the target is down."""
        incarnation = node.incarnation
        attempt = effect.attempt
        if node.target.down:
            refused = events.TargetRefused(attempt, "connection refused")
            self.schedule.after_ms(
                0.5, lambda: self.deliver_event(node, incarnation, refused, "")
            )
            return
        now_ms = self.schedule.now_us / US_PER_MS
        self.history.started.append(
            Started(
                now_ms,
                node.incarnation_id(),
                attempt.submission,
                attempt.task,
                effect.task.idempotent,
            )
        )
        duration_ms = self.duration_ms(node, effect.task)
        self.schedule.after_ms(
            duration_ms, lambda: self.finish(node, incarnation, attempt, duration_ms)
        )
        self.reach_point("after_start")

    def duration_ms(self, node: Node, task: Task) -> float:
        """Return how long a task runs at the target of a node."""
        base_ms = self.config.run_ms(task) if self.config.run_ms else float(task.run_ms)
        return base_ms * node.target.slowness + node.target.stall_ms

    def finish(
        self, node: Node, incarnation: int, attempt: Attempt, duration_ms: float
    ) -> None:
        """End a run at the target and report its result to the agent."""
        self.reach_point("after_finish")
        answer = f"{attempt.submission}/{attempt.task}"
        took_ms = int(duration_ms)
        result = TaskResult("answered", answer, "", took_ms)
        if node.target.failing or attempt in node.target.stopped:
            result = TaskResult("unknown", "", "target fault", took_ms)
        self.deliver_event(
            node, incarnation, events.TargetFinished(attempt, result), ""
        )

    # Requests of callers and operators.

    def submit(self, entry: str, job: Job) -> int:
        """Submit a job to an entry; return the token of the request."""
        self.last_token += 1
        token = self.last_token
        now_ms = self.schedule.now_us / US_PER_MS
        self.first_submitted_ms.setdefault(job.submission, now_ms)
        self.history.submitted.append(Submitted(now_ms, token, entry, job))
        node = self.nodes[entry]
        if not node.alive:
            self.history.broken_tokens.add(token)
            return token
        self.deliver_event(node, node.incarnation, events.Submit(token, job), "")
        return token

    def set_preset(self, entry: str, name: str, expected_version: int) -> None:
        """Ask an entry to change the preset."""
        self.last_token += 1
        node = self.nodes[entry]
        event = events.SetPreset(
            self.last_token, f"change-{self.last_token}", name, expected_version
        )
        self.deliver_event(node, node.incarnation, event, "")

    def cancel(self, entry: str, submission: str) -> None:
        """Ask an entry to cancel a job."""
        self.last_token += 1
        node = self.nodes[entry]
        event = events.CancelJob(self.last_token, submission)
        self.deliver_event(node, node.incarnation, event, "")

    # Faults.

    def reach_point(self, name: str) -> None:
        """Count an injection point and start the faults planned for this count."""
        self.point_counts[name] += 1
        count = self.point_counts[name]
        due = [
            planned
            for planned in self.planned_injections
            if planned[:2] == (name, count)
        ]
        for planned in due:
            self.history.injected_faults += 1
            self.planned_injections.remove(planned)
            planned[2]()

    def inject_at(self, point: str, count: int, inject: Callable[[], None]) -> None:
        """Call a function when an injection point is reached the ``count``th time."""
        self.planned_injections.append((point, count, inject))

    def kill(self, name: str) -> None:
        """Kill a process; the connections of its callers and its links break."""
        node = self.nodes[name]
        if not node.alive:
            return
        node.alive = False
        node.inbox.clear()
        answered_tokens = {answered.token for answered in self.history.answered}
        for request in self.history.submitted:
            if request.entry == name and request.token not in answered_tokens:
                self.history.broken_tokens.add(request.token)
        for link, link_id in list(self.links.items()):
            if name in link:
                # What the process had sent before still arrives: see arrive().
                self.killed_nodes_by_link[link_id] = name
                self.break_link(*link)

    def restart(self, name: str) -> None:
        """Restart a process with an empty state; one that runs is killed first."""
        node = self.nodes[name]
        if node.alive:
            self.kill(name)
        node.incarnation += 1
        node.alive = True
        node.paused = False
        node.log_offsets = {}
        make_core = (
            self.make_entry_core if name in self.entries else self.make_agent_core
        )
        node.core = make_core(name, node.incarnation)
        self.start_node(name)

    def pause(self, name: str) -> None:
        """Pause a process; the events sent to it are queued."""
        node = self.nodes[name]
        if not node.paused:
            node.paused = True
            node.paused_at_ms = self.schedule.now_us / US_PER_MS

    def resume(self, name: str) -> None:
        """Resume a process: it ticks first and then handles the queued events."""
        node = self.nodes[name]
        if not node.paused:
            return
        node.paused = False
        now_ms = self.schedule.now_us / US_PER_MS
        self.history.paused.append(Paused(node.paused_at_ms, now_ms, name))
        if not node.alive:
            return
        self.run_decision_code(node, lambda: node.core.tick(self.schedule.now_ms()))
        queued, node.inbox = node.inbox, []
        for event, sender in queued:
            self.deliver_event(node, node.incarnation, event, sender)

    def partition(self, one: str, other: str) -> None:
        """Partition two nodes from each other; their links break."""
        self.partitions.add(frozenset((one, other)))
        for link in ((one, other), (other, one)):
            self.break_link(*link)

    def heal(self) -> None:
        """End all partitions and delays of messages."""
        self.partitions.clear()
        self.delayed_pairs.clear()

    def delay_messages(self, one: str, other: str) -> None:
        """Delay all messages between two nodes until heal(), without breaking links."""
        self.delayed_pairs.add(frozenset((one, other)))

    def drain(self, name: str) -> None:
        """Make a process drain, or try again later while it is paused."""
        node = self.nodes[name]
        if node.paused:
            incarnation = node.incarnation
            self.schedule.after_ms(
                REDIAL_INTERVAL_MS,
                lambda: self.drain(name) if node.incarnation == incarnation else None,
            )
            return
        if not node.alive:
            return
        if name in self.agents:
            now_ms = self.schedule.now_us / US_PER_MS
            self.history.drained.append(Drained(now_ms, node.incarnation_id()))
        self.deliver_event(node, node.incarnation, events.Drain("test"), "")

    def run_until_ms(self, end_ms: float) -> None:
        """Advance the virtual time."""
        self.schedule.run_until_ms(end_ms)
