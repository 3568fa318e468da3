"""What an agent learns of its worker, and what it asks of it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunRef

__all__ = [
    "HoldAnswered",
    "HoldWorker",
    "PresentRun",
    "RunEnd",
    "StartAnswer",
    "StartAnswered",
    "StartRun",
    "StopAnswered",
    "StopRun",
    "WorkerLeft",
    "WorkerSeen",
]


class WorkerSeen(NamedTuple):
    """The worker reported about itself.

    ``worker_id`` names one life of the worker and ``born_ms`` (Unix time) its
    start: a worker may start again under its id. ``sequence`` rises with each
    report of one life. ``clock_ms`` is on the worker's steady clock.
    """

    worker_id: str
    born_ms: int
    sequence: int
    service: str
    total: Resources
    labels: tuple[str, ...]
    draining: bool
    clock_ms: int


class WorkerLeft(NamedTuple):
    """The worker says that it ends."""

    worker_id: str


class StartAnswer(Enum):
    """How the worker answered a start."""

    STARTED = "started"
    # A run of this attempt or a later one has ended or was stopped there.
    SUPERSEDED = "superseded"
    # The order's lease was over when the worker looked at it.
    LATE = "late"
    NO_ROOM = "no room"
    FENCED = "fenced"
    # The worker is unhealthy or can't read the order, and did nothing.
    REJECTED = "rejected"
    # Another life of the worker answered, which did nothing.
    OTHER_LIFE = "other life"
    # No answer: the order may be carried out, now or seconds later.
    UNANSWERED = "unanswered"


class StartRun(NamedTuple):
    """Effect: start a run; ``lease_until_ms`` is on the worker's clock."""

    run: RunRef
    spec: str
    lease_until_ms: int
    fencing_token: int
    worker_id: str


class StopRun(NamedTuple):
    """Effect: stop a run, or bar it if it has not begun."""

    run: RunRef
    fencing_token: int
    worker_id: str


class HoldWorker(NamedTuple):
    """Effect: extend the lease, acknowledge ends and wait for more.

    ``lease_until_ms`` 0 leaves the lease as it is.
    """

    wait_ms: int
    lease_until_ms: int
    acknowledged: int
    fencing_token: int
    worker_id: str


class StartAnswered(NamedTuple):
    """The answer to a start, sent at ``sent_ms`` of our clock."""

    run: RunRef
    answer: StartAnswer
    sent_ms: int
    clock_ms: int | None


class StopAnswered(NamedTuple):
    """The answer to a stop; ``answered`` is false if there was none."""

    run: RunRef
    answered: bool
    fenced: bool
    sent_ms: int


class PresentRun(NamedTuple):
    """A run that the worker lists, with the percent of its work done."""

    run: RunRef
    percent: int


class RunEnd(NamedTuple):
    """An end that the worker lists under a number; see ``ENDED_`` words."""

    number: int
    run: RunRef
    how: str


class HoldAnswered(NamedTuple):
    """The answer to a hold; ``answered`` is false if there was none."""

    sent_ms: int
    answered: bool
    fenced: bool = False
    clock_ms: int | None = None
    born_ms: int | None = None
    present: tuple[PresentRun, ...] = ()
    ends: tuple[RunEnd, ...] = ()
