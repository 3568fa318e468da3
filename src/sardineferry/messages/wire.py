"""Messages that travel between entries and agents, and between entries."""

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
    """Agent to entry: names the target; ``incarnation`` changes per restart."""

    agent: str
    incarnation: str
    data_centre: str
    shape: TargetShape
    preset_version: int


class Heartbeat(NamedTuple):
    """Agent to entry: ``sent_at_ms`` is on the agent's monotonic clock.

    ``load`` is the units that run or queue at the target.
    """

    sent_at_ms: int
    load: int


class Done(NamedTuple):
    """Agent to entry: the result of an attempt.

    ``load`` is the units that run or queue at the target after it.
    """

    attempt: Attempt
    result: TaskResult
    load: int


class Refused(NamedTuple):
    """Agent to entry: the attempt was not started and never will be.

    ``load`` is the units that run or queue at the target; ``fault`` says that
    the target, not the request, is to blame.
    """

    attempt: Attempt
    reason: str
    load: int
    fault: bool


class Leaving(NamedTuple):
    """Agent to entry: takes no new starts; what runs will be answered."""

    reason: str


class ReportedTask(NamedTuple):
    """One row of a start table; ``result`` is None while the task runs."""

    task: str
    number: int
    result: TaskResult | None


class Report(NamedTuple):
    """Agent to entry: all rows of the start table for a submission."""

    submission: str
    epoch: int
    tasks: tuple[ReportedTask, ...]


class DumpReply(NamedTuple):
    """Agent to entry: the agent's state as JSON text."""

    token: int
    text: str


class Welcome(NamedTuple):
    """Entry to agent: answers an announcement and names the other entries."""

    entry: str
    incarnation: str
    addresses: tuple[str, ...]
    preset_name: str
    preset_version: int


class LeaseEcho(NamedTuple):
    """Entry to agent: renews the lease from the echoed ``sent_at_ms``."""

    sent_at_ms: int


class Start(NamedTuple):
    """Entry to agent: runs a task within ``budget_ms`` of its arrival.

    It is meant for one incarnation of the agent; another one ignores it.
    """

    attempt: Attempt
    incarnation: str
    epoch: int
    budget_ms: int
    task: Task


class Revoke(NamedTuple):
    """Entry to agent: prevents starts of these attempts of a submission."""

    submission: str
    attempts: tuple[tuple[str, int], ...]


class Cancel(NamedTuple):
    """Entry to agent: drops what has not started of these submissions."""

    submissions: tuple[str, ...]


class PresetNotice(NamedTuple):
    """Tells the preset in force; receivers adopt only higher versions."""

    version: int
    name: str


class Inquire(NamedTuple):
    """Entry to agent: asks for a submission's rows and fences lower epochs."""

    submission: str
    epoch: int


class DrainRequest(NamedTuple):
    """Entry to agent: an operator asks the agent to drain and leave."""

    reason: str


class DumpRequest(NamedTuple):
    """Entry to agent: asks for the agent's state."""

    token: int


class EntryLeaving(NamedTuple):
    """Entry to agents and entries: no longer takes submissions."""

    entry: str


class PeerHello(NamedTuple):
    """Entry to entry: names the sender and the preset it knows."""

    entry: str
    incarnation: str
    address: str
    data_centre: str
    preset_name: str
    preset_version: int


class PeerDigest(NamedTuple):
    """Entry to entry: running units per team, sent while they change."""

    entry: str
    running: dict[str, int]


class Forward(NamedTuple):
    """Entry to entry: passes a submission to the entry that owns it."""

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
    """Return the name that a first message gives a link."""
    if isinstance(message, Announce):
        return message.agent
    if isinstance(message, PeerHello):
        return f"entry/{message.entry}"
    return ""


CODEC = Codec(get_args(WireMessage), link_name)
