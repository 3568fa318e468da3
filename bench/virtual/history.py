"""What happened, as targets, callers and operators saw it."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.job import Job
from sardineferry.messages.job import JobAnswer

__all__ = [
    "Answered",
    "ChangeAnswered",
    "Drained",
    "History",
    "Paused",
    "PresetSeen",
    "StartSent",
    "Started",
    "Submitted",
]


class Submitted(NamedTuple):
    """A caller submitted a job to an entry."""

    at_ms: float
    token: int
    entry: str
    job: Job


class Started(NamedTuple):
    """A target started a task; ``agent`` names one incarnation."""

    at_ms: float
    agent: str
    submission: str
    task: str
    idempotent: bool


class StartSent(NamedTuple):
    """An entry sent a start to an agent, named by its incarnation."""

    at_ms: float
    agent: str


class Answered(NamedTuple):
    """A caller got an answer."""

    at_ms: float
    token: int
    answer: JobAnswer


class Drained(NamedTuple):
    """An agent, named by its incarnation, read that it must leave."""

    at_ms: float
    agent: str


class Paused(NamedTuple):
    """A process was frozen for a time."""

    from_ms: float
    until_ms: float
    node: str


class ChangeAnswered(NamedTuple):
    """An operator got the outcome of a change of preset."""

    at_ms: float
    outcome: str
    version: int
    name: str


class PresetSeen(NamedTuple):
    """A node's preset at a moment; ``node`` names one incarnation."""

    at_ms: float
    node: str
    version: int
    name: str


class History:
    """Everything that the laws are evaluated on."""

    def __init__(self) -> None:
        """Start empty."""
        self.submitted: list[Submitted] = []
        self.started: list[Started] = []
        self.starts_sent: list[StartSent] = []
        self.answered: list[Answered] = []
        self.drained: list[Drained] = []
        self.paused: list[Paused] = []
        self.injected_faults = 0
        self.preset_changes: list[ChangeAnswered] = []
        self.presets: list[PresetSeen] = []
        self.broken_tokens: set[int] = set()
        self.failures: list[str] = []
