"""The recorded history of a simulation, as seen by targets, callers and operators."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.job import Job
from sardineferry.messages.job import JobAnswer

__all__ = [
    "Answered",
    "Drained",
    "History",
    "Paused",
    "PresetChangeAnswered",
    "PresetObserved",
    "StartSent",
    "Started",
    "Submitted",
]


class Submitted(NamedTuple):
    """A caller submitted a job to an entry; the token identifies the request."""

    at_ms: float
    token: int
    entry: str
    job: Job


class Started(NamedTuple):
    """A target started a task; ``agent`` is the id of an incarnation."""

    at_ms: float
    agent: str
    submission: str
    task: str
    idempotent: bool


class StartSent(NamedTuple):
    """An entry sent a start to an agent; ``agent`` is the id of an incarnation."""

    at_ms: float
    agent: str


class Answered(NamedTuple):
    """A caller received the answer to a request."""

    at_ms: float
    token: int
    answer: JobAnswer


class Drained(NamedTuple):
    """An agent received the request to drain; ``agent`` is the id of an incarnation."""

    at_ms: float
    agent: str


class Paused(NamedTuple):
    """A process was paused during this time."""

    from_ms: float
    until_ms: float
    node: str


class PresetChangeAnswered(NamedTuple):
    """An operator received the outcome of a preset change."""

    at_ms: float
    outcome: str
    version: int
    name: str


class PresetObserved(NamedTuple):
    """The preset in force at a node; ``node`` is the id of an incarnation."""

    at_ms: float
    node: str
    version: int
    name: str


class History:
    """The events that the invariants are checked on.

    ``broken_tokens`` holds the requests whose connection broke, ``failures``
    the exceptions that decision code raised.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self.submitted: list[Submitted] = []
        self.started: list[Started] = []
        self.starts_sent: list[StartSent] = []
        self.answered: list[Answered] = []
        self.drained: list[Drained] = []
        self.paused: list[Paused] = []
        self.injected_faults = 0
        self.preset_changes: list[PresetChangeAnswered] = []
        self.presets: list[PresetObserved] = []
        self.broken_tokens: set[int] = set()
        self.failures: list[str] = []
