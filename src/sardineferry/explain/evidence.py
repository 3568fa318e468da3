"""Finds what logs tell about the runs of overlapping pairs: orders, proofs, stops."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING
from typing import Annotated
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.explain.overlaps import ComparedRun
    from sardineferry.explain.overlaps import Overlap

__all__ = ["AgentNote", "EvidenceReader", "FoundOrder", "OverlapEvidence"]

MS_PER_S = 1_000
# The proof of a task that its entry had not ordered before, and that of an order of a
# version that logs none.
NO_EARLIER_RUN = "no earlier run"
NO_PROOF = "no proof logged"


class FoundOrder(NamedTuple):
    """An order of a run; ``log`` stands for the entry that sent it.

    ``proof`` tells on what the run before counted as ended.
    """

    log: str
    agent: str
    at_ms: int
    proof: str


class AgentNote(NamedTuple):
    """What an agent logged about a run or, meanwhile, about its worker."""

    at_ms: int
    text: str


class OverlapEvidence(NamedTuple):
    """What logs tell about a pair; an order is None if no line of it was found."""

    first_order: FoundOrder | None = None
    second_order: FoundOrder | None = None
    first_agent: tuple[AgentNote, ...] = ()


class EvidenceLine(msgspec.Struct, tag_field="event"):
    """A line that tells something about runs."""

    at: Annotated[datetime, msgspec.Meta(tz=True)]

    @property
    def at_ms(self) -> int:
        """The Unix time in milliseconds at which the line was written."""
        return round(self.at.timestamp() * MS_PER_S)


class OrderLine(EvidenceLine, tag="runs ordered"):
    """An entry ordered runs; ``after`` holds proofs by the index of the task."""

    job: str
    agent: str = ""
    tasks: tuple[int, ...] = ()
    attempts: tuple[int, ...] = ()
    after: dict[str, str] = {}

    def proof(self, index: int, attempt: int) -> str:
        """Return on what a task could be ordered."""
        default = NO_PROOF if attempt > 1 else NO_EARLIER_RUN
        return self.after.get(str(index), default)


class RunLine(EvidenceLine):
    """An agent's line about one run."""

    task: str
    attempt: int

    @property
    def about(self) -> int:
        """The attempt of the run that the line is about."""
        return self.attempt

    def text(self) -> str:
        """Return what the line tells.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError


class StoppingLine(RunLine, tag="run stopping"):
    """An agent began to stop a run."""

    reason: str = ""

    def text(self) -> str:
        """Return the reason for the stop."""
        return f"run stopping: {self.reason}"


class UnknownRunLine(RunLine, tag="stopping an unknown run"):
    """An agent stops a run that its worker lists but that it does not know."""

    def text(self) -> str:
        """Return that the run is unknown."""
        return "stopping an unknown run"


class RefusedStartLine(RunLine, tag="start refused"):
    """A worker refused to start a run."""

    answer: str = ""
    status: int = 0
    tries: int = 0

    def text(self) -> str:
        """Return the worker's answer."""
        return f"start refused: {self.answer}, status {self.status}, try {self.tries}"


class WaitingOrderLine(RunLine, tag="order waits for a run"):
    """An agent lets an order wait until a run of the same task has ended."""

    entry: str = ""
    existing_attempt: int = 0
    existing_status: str = ""

    @property
    def about(self) -> int:
        """The attempt of the existing run."""
        return self.existing_attempt

    def text(self) -> str:
        """Return which order waits."""
        return (
            f"run {self.attempt} of {self.entry or '-'} waits for this one, which is "
            f"{self.existing_status or '-'}"
        )


class UnlistedRunsLine(EvidenceLine, tag="runs not at the worker"):
    """A hold ended runs that the worker did not list; ``runs`` has a row for each.

    A row holds the task, the attempt, the status and the age of the confirmation.
    """

    hold_sent_ms_ago: int = 0
    runs: tuple[tuple[str, int, str, int], ...] = ()


class WorkerLine(EvidenceLine):
    """An agent's line about its worker."""

    worker: str = ""
    born_ms: int = 0
    known_born_ms: int = 0

    def text(self) -> str:
        """Return the event and the incarnations that it names."""
        known = f", known: born {self.known_born_ms}" if self.known_born_ms else ""
        worker = f"{self.worker} " if self.worker else ""
        tag = self.__struct_config__.tag
        return f"{tag}: {worker}born {self.born_ms}{known}"


class NewWorkerLine(WorkerLine, tag="new worker incarnation"):
    """An agent uses a new incarnation of its worker."""

    basis: str = ""
    previous_born_ms: int | None = None
    previous_answered_ms_ago: int | None = None
    runs: int = 0

    def text(self) -> str:
        """Return what the incarnation rests on and what it replaces."""
        return (
            f"{super().text()}, by {self.basis or '-'}, previous born "
            f"{self.previous_born_ms}, answered {self.previous_answered_ms_ago} ms "
            f"ago, {self.runs} runs known"
        )


class ReportedWorkerLine(WorkerLine, tag="worker reported as another incarnation"):
    """An agent asks its worker whether it is the incarnation of a report."""


class AbsentWorkerLine(WorkerLine, tag="reported incarnation is not at the worker"):
    """The worker's answer has shown that a report is not from it."""


class OtherIdLine(WorkerLine, tag="worker has another id"):
    """The worker has refused a request that named its known id."""


class IgnoredReportLine(WorkerLine, tag="worker report ignored"):
    """An agent ignored a report that is older than the known one, or not from it."""


class SilentWorkerLine(
    EvidenceLine, tag="worker silent, the leases of its runs have lapsed"
):
    """An agent gave up the runs of a silent worker."""

    answered_ms_ago: int = 0
    lease_sent_ms_ago: int = 0

    def text(self) -> str:
        """Return the ages of the last answer and of the last lease."""
        return (
            f"worker silent: answered {self.answered_ms_ago} ms ago, lease sent "
            f"{self.lease_sent_ms_ago} ms ago"
        )


RUN_LINES = (StoppingLine, UnknownRunLine, RefusedStartLine, WaitingOrderLine)
WORKER_LINES = (
    NewWorkerLine,
    ReportedWorkerLine,
    AbsentWorkerLine,
    OtherIdLine,
    IgnoredReportLine,
    SilentWorkerLine,
)
DECODER = msgspec.json.Decoder(
    OrderLine
    | StoppingLine
    | UnknownRunLine
    | RefusedStartLine
    | WaitingOrderLine
    | UnlistedRunsLine
    | NewWorkerLine
    | ReportedWorkerLine
    | AbsentWorkerLine
    | OtherIdLine
    | IgnoredReportLine
    | SilentWorkerLine
)
EVENT_MARKS = tuple(
    f'"event":"{kind.__struct_config__.tag}"'.encode()
    for kind in (OrderLine, UnlistedRunsLine, *RUN_LINES, *WORKER_LINES)
)


class EvidenceReader:
    """Collects the lines that concern overlapping pairs, from all logs."""

    def __init__(self, overlaps: Iterable[Overlap]) -> None:
        """Look for lines about the runs of these pairs."""
        self.overlaps = tuple(overlaps)
        self.tasks = {overlap.task for overlap in self.overlaps}
        self.agents = {overlap.first.log for overlap in self.overlaps}
        # By task and attempt.
        self.orders: dict[tuple[str, int], list[FoundOrder]] = {}
        # By log, task and attempt.
        self.run_notes: dict[tuple[str, str, int], list[AgentNote]] = {}
        # By log.
        self.worker_notes: dict[str, list[AgentNote]] = {}

    def read(self, lines: Iterable[bytes], log: str) -> None:
        """Read one log; malformed lines are skipped, as they were counted before."""
        for text in lines:
            if not any(mark in text for mark in EVENT_MARKS):
                continue
            try:
                line = DECODER.decode(text)
            except (msgspec.DecodeError, UnicodeDecodeError):
                continue
            if isinstance(line, OrderLine):
                self.add_order(line, log)
            elif log in self.agents:
                self.add_note(line, log)

    def add_order(self, line: OrderLine, log: str) -> None:
        """Keep the ordered runs of tasks with overlapping pairs."""
        for index, attempt in zip(line.tasks, line.attempts, strict=False):
            task = f"{line.job}.0.0.{index}"
            if task in self.tasks:
                order = FoundOrder(
                    log, line.agent, line.at_ms, line.proof(index, attempt)
                )
                self.orders.setdefault((task, attempt), []).append(order)

    def add_note(self, line: EvidenceLine, log: str) -> None:
        """Keep what an agent tells about a run or its worker."""
        if isinstance(line, RunLine):
            self.add_run_note(log, line.task, line.about, line.at_ms, line.text())
        elif isinstance(line, UnlistedRunsLine):
            for task, attempt, status, confirmed_ms_ago in line.runs:
                text = (
                    f"{status} run not at the worker: hold sent "
                    f"{line.hold_sent_ms_ago} ms ago, run confirmed "
                    f"{confirmed_ms_ago} ms ago"
                )
                self.add_run_note(log, task, attempt, line.at_ms, text)
        elif isinstance(line, WorkerLine | SilentWorkerLine):
            note = AgentNote(line.at_ms, line.text())
            self.worker_notes.setdefault(log, []).append(note)

    def add_run_note(
        self, log: str, task: str, attempt: int, at_ms: int, text: str
    ) -> None:
        """Keep a note about a run of a task with an overlapping pair."""
        if task in self.tasks:
            notes = self.run_notes.setdefault((log, task, attempt), [])
            notes.append(AgentNote(at_ms, text))

    def evidence(self) -> list[OverlapEvidence]:
        """Return what was found about each pair."""
        return [
            OverlapEvidence(
                self.find_order(overlap.task, overlap.first),
                self.find_order(overlap.task, overlap.second),
                self.find_notes(overlap),
            )
            for overlap in self.overlaps
        ]

    def find_order(self, task: str, run: ComparedRun) -> FoundOrder | None:
        """Return the order of a run.

        Several entries may have ordered the same attempt: the order to the run's agent
        counts if logs are named after agents, else the one next to the start.
        """
        orders = self.orders.get((task, run.attempt), [])
        to_agent = [order for order in orders if order.agent == run.log]
        return min(
            to_agent or orders,
            key=lambda order: abs(run.start_ms - order.at_ms),
            default=None,
        )

    def find_notes(self, overlap: Overlap) -> tuple[AgentNote, ...]:
        """Return what the agent of the first run logged about it and its worker."""
        first = overlap.first
        notes = self.run_notes.get((first.log, overlap.task, first.attempt), [])
        end_ms = max(first.end_ms, overlap.second.end_ms)
        worker_notes = [
            note
            for note in self.worker_notes.get(first.log, [])
            if first.start_ms <= note.at_ms <= end_ms
        ]
        return tuple(sorted([*notes, *worker_notes]))
