"""Events from an agent's worker, and effects that call the worker."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunRef

__all__ = [
    "HoldAnswered",
    "HoldWorker",
    "ListedEnd",
    "ListedRun",
    "StartAnswer",
    "StartAnswered",
    "StartRun",
    "StopAnswered",
    "StopRun",
    "WorkerLeft",
    "WorkerReported",
]


class WorkerReported(NamedTuple):
    """Event: the worker reported its state.

    A worker may restart under the same ``worker_id``, so that an incarnation of
    it (one process) is identified by the id and ``born_ms``, its start in Unix
    time. ``sequence`` rises with each report of an incarnation. ``clock_ms`` is
    the time on the worker's steady clock. ``cold_left_ms`` is how long the worker
    stays slow after its start.
    """

    worker_id: str
    born_ms: int
    sequence: int
    service: str
    total: Resources
    labels: tuple[str, ...]
    draining: bool
    clock_ms: int
    cold_left_ms: int = 0


class WorkerLeft(NamedTuple):
    """Event: the worker announced that it shuts down."""

    worker_id: str


class StartAnswer(Enum):
    """The worker's answer to a start request."""

    STARTED = "started"
    # A run of this or a later attempt has ended or was stopped at the worker.
    SUPERSEDED = "superseded"
    # The lease in the request had expired when the worker handled it.
    LATE = "late"
    NO_ROOM = "no room"
    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # The worker is unhealthy or can't read the request, and did nothing.
    REJECTED = "rejected"
    # Another incarnation of the worker answered, and did nothing.
    OTHER_INCARNATION = "other life"
    # No answer: the request may still be carried out, now or seconds later.
    UNANSWERED = "unanswered"


class StartRun(NamedTuple):
    """Effect: request a start; ``lease_until_ms`` is on the worker's clock.

    A worker with another id than ``worker_id`` does nothing; any may act if that is
    empty.
    """

    run: RunRef
    spec: str
    lease_until_ms: int
    fencing_token: int
    worker_id: str


class StopRun(NamedTuple):
    """Effect: request a stop; a run that has not begun will not be started."""

    run: RunRef
    fencing_token: int
    worker_id: str


class HoldWorker(NamedTuple):
    """Effect: extend the leases of all runs, acknowledge ends and wait for new ones.

    This is a long poll: the worker answers when a run ends, or after ``wait_ms``.
    ``acknowledged`` is the highest number of an end that was read.
    ``lease_until_ms`` 0 leaves the leases as they are.
    """

    wait_ms: int
    lease_until_ms: int
    acknowledged: int
    fencing_token: int
    worker_id: str


class StartAnswered(NamedTuple):
    """Event: the answer to a start request that was sent at ``sent_ms``.

    ``status`` is that of the answer's HTTP response, for logs; 0 if there is none.
    """

    run: RunRef
    answer: StartAnswer
    sent_ms: int
    clock_ms: int | None
    status: int = 0


class StopAnswered(NamedTuple):
    """Event: the answer to a stop request; ``answered`` is false if there was none."""

    run: RunRef
    answered: bool
    fenced: bool
    sent_ms: int


class ListedRun(NamedTuple):
    """A run that the worker lists as present, with its progress in percent."""

    run: RunRef
    percent: int


class ListedEnd(NamedTuple):
    """An ended run that the worker lists; ``how`` is an ``ENDED_`` constant.

    Numbers rise, and ends are listed until their number is acknowledged.
    """

    number: int
    run: RunRef
    how: str


class HoldAnswered(NamedTuple):
    """Event: the answer to a hold; ``answered`` is false if it has no lists.

    That is so without an answer, or if the worker refused the hold, because it was
    ``fenced`` or ``misdirected``: the worker has another id than the hold named.
    """

    sent_ms: int
    answered: bool
    fenced: bool = False
    misdirected: bool = False
    clock_ms: int | None = None
    born_ms: int | None = None
    present: tuple[ListedRun, ...] = ()
    ends: tuple[ListedEnd, ...] = ()
