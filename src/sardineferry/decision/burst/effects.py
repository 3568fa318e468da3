"""Effects of the burst cores, in addition to those that all cores have."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.common_effects import Connect
from sardineferry.decision.common_effects import Disconnect
from sardineferry.decision.common_effects import Exit
from sardineferry.decision.common_effects import Send

__all__ = ["ApplyLimits", "BurstEffect", "DropLink", "LogDecision", "ObserveLatency"]


class DropLink(NamedTuple):
    """Abort the link of this name, whose other end has been silent."""

    name: str


class LogDecision(NamedTuple):
    """Write one structured log line about a decision.

    ``fields`` holds the values that led to it, with ages in milliseconds.
    """

    event: str
    fields: dict[str, object]


class ApplyLimits(NamedTuple):
    """Apply a configuration's limits on callers' requests."""

    limits: EdgeLimits


class ObserveLatency(NamedTuple):
    """Record the time that a job or a run took, by its outcome."""

    what: str
    outcome: str
    elapsed_ms: int


BurstEffect = (
    ApplyLimits
    | BurstReply
    | Connect
    | Disconnect
    | DropLink
    | Exit
    | HoldWorker
    | LogDecision
    | ObserveLatency
    | Send
    | StartRun
    | StopRun
)
