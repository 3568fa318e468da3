"""Messages between entries and agents, and between entries.

A ``load`` is the number of units that run or wait at the agent's target. An
``epoch`` is the number of a claim of a submission: the entry that takes a
submission over from a lost one claims the next epoch.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import get_args

from sardineferry.messages.codec import Codec
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import Job
from sardineferry.messages.job import JobAnswer
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskResult
from sardineferry.messages.target import TargetShape

__all__ = [
    "CODEC",
    "Announce",
    "Cancel",
    "Done",
    "DrainRequest",
    "DumpReply",
    "DumpRequest",
    "EntryLeaving",
    "Forward",
    "Forwarded",
    "Heartbeat",
    "Inquire",
    "LeaseEcho",
    "Leaving",
    "PeerDigest",
    "PeerHello",
    "PresetNotice",
    "Refused",
    "Report",
    "ReportedTask",
    "Revoke",
    "Start",
    "Welcome",
    "WireMessage",
]


class Announce(NamedTuple):
    """Agent to entry, first on a link: describes the agent and its target.

    ``incarnation`` changes with each restart of the agent.
    """

    agent: str
    incarnation: str
    data_centre: str
    shape: TargetShape
    preset_version: int


class Heartbeat(NamedTuple):
    """Agent to entry: a heartbeat, for the entry to echo.

    ``sent_at_ms`` is a time of the agent's monotonic clock.
    """

    sent_at_ms: int
    load: int


class Done(NamedTuple):
    """Agent to entry: the result of an attempt, and the load after it."""

    attempt: Attempt
    result: TaskResult
    load: int


class Refused(NamedTuple):
    """Agent to entry: the attempt was not started and never will be.

    ``fault`` is true if the target, not the request, is to blame.
    """

    attempt: Attempt
    reason: str
    load: int
    fault: bool


class Leaving(NamedTuple):
    """Agent to entry: the agent refuses new tasks, but finishes running ones."""

    reason: str


class ReportedTask(NamedTuple):
    """A task in a report.

    ``number`` is that of the attempt; ``result`` is None while the task runs.
    """

    task: str
    number: int
    result: TaskResult | None


class Report(NamedTuple):
    """Agent to entry: the tasks of a submission that the agent has started."""

    submission: str
    epoch: int
    tasks: tuple[ReportedTask, ...]


class DumpReply(NamedTuple):
    """Agent to entry: the agent's state as JSON text."""

    token: int
    text: str


class Welcome(NamedTuple):
    """Entry to agent: answers an announcement.

    ``addresses`` are the sender's and those of other entries; the preset is the
    one in force.
    """

    entry: str
    incarnation: str
    addresses: tuple[str, ...]
    preset_name: str
    preset_version: int


class LeaseEcho(NamedTuple):
    """Entry to agent: echoes a heartbeat, which renews the entry's lease."""

    sent_at_ms: int


class Start(NamedTuple):
    """Entry to agent: run a task within ``budget_ms`` of the arrival.

    An agent with another incarnation ignores it.
    """

    attempt: Attempt
    incarnation: str
    epoch: int
    budget_ms: int
    task: Task


class Revoke(NamedTuple):
    """Entry to agent: do not start these attempts, if they have not started.

    ``attempts`` are pairs of a task's id and the number of the attempt.
    """

    submission: str
    attempts: tuple[tuple[str, int], ...]


class Cancel(NamedTuple):
    """Entry to agent: drop queued tasks and stop running idempotent ones."""

    submissions: tuple[str, ...]


class PresetNotice(NamedTuple):
    """Entry to agent or entry: the preset in force.

    Receivers adopt it only if its version is higher than theirs.
    """

    version: int
    name: str


class Inquire(NamedTuple):
    """Entry to agent: report a submission's tasks; refuse starts of lower epochs."""

    submission: str
    epoch: int


class DrainRequest(NamedTuple):
    """Entry to agent: drain and exit, because an operator asked for it."""

    reason: str


class DumpRequest(NamedTuple):
    """Entry to agent: send your state."""

    token: int


class EntryLeaving(NamedTuple):
    """Entry to agents and entries: the entry accepts no more submissions."""

    entry: str


class PeerHello(NamedTuple):
    """Entry to entry, first on a link: describes the sender and its preset."""

    entry: str
    incarnation: str
    address: str
    data_centre: str
    preset_name: str
    preset_version: int


class PeerDigest(NamedTuple):
    """Entry to entry: how many attempts each team has running through the sender.

    Each attempt counts as one, whatever its task's size. Sent at a fixed
    interval, so it also serves as a heartbeat.
    """

    entry: str
    running: dict[str, int]


class Forward(NamedTuple):
    """Entry to entry: passes a submission on to the entry that owns it."""

    token: int
    job: Job


class Forwarded(NamedTuple):
    """Entry to entry: the owner's answer to a forwarded submission."""

    token: int
    answer: JobAnswer


WireMessage = (
    Announce
    | Cancel
    | Done
    | DrainRequest
    | DumpReply
    | DumpRequest
    | EntryLeaving
    | Forward
    | Forwarded
    | Heartbeat
    | Inquire
    | LeaseEcho
    | Leaving
    | PeerDigest
    | PeerHello
    | PresetNotice
    | Refused
    | Report
    | Revoke
    | Start
    | Welcome
)


def link_name(message: object) -> str:
    """Return the name for a link whose first message this is, or ``""``."""
    if isinstance(message, Announce):
        return message.agent
    if isinstance(message, PeerHello):
        return f"entry/{message.entry}"
    return ""


CODEC = Codec(get_args(WireMessage), link_name)
