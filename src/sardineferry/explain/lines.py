"""The log lines that tell what happened to a job."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

__all__ = [
    "JobAdmitted",
    "JobEnded",
    "JobLine",
    "JobRefused",
    "LineCounts",
    "ProcessStarted",
    "RunEnded",
    "RunsOrdered",
    "decode_lines",
]


MS_PER_S = 1_000


class JobAdmitted(msgspec.Struct, tag_field="event", tag="job admitted"):
    """An entry queued a job; ``estimate_ms`` is the estimated work of a task."""

    at: str
    job: str
    route: str
    estimate_ms: int = 0


class RunsOrdered(msgspec.Struct, tag_field="event", tag="runs ordered"):
    """An entry sent an agent an order; ``speed`` is the worker's slowdown."""

    at: str
    job: str
    waited_ms: int = 0
    speed: float = 1.0


class RunEnded(msgspec.Struct, tag_field="event", tag="run ended"):
    """An agent's run of a task ended.

    ``run_ms`` is the time since its start, or 0 if the agent knows of none. ``entry``
    is the one that ordered the run.
    """

    at: Annotated[datetime, msgspec.Meta(tz=True)]
    task: str
    how: str
    reason: str = ""
    run_ms: int = 0
    entry: str = ""
    attempt: int = 0

    @property
    def job(self) -> str:
        """The id of the job, with which the name of each task begins."""
        return self.task.partition(".")[0]

    @property
    def end_ms(self) -> int:
        """The Unix time in milliseconds at which the line was written."""
        return round(self.at.timestamp() * MS_PER_S)


class JobEnded(msgspec.Struct, tag_field="event", tag="job ended"):
    """An entry answered a job."""

    at: str
    job: str
    route: str
    outcome: str
    reason: str = ""
    took_ms: int = 0
    goal_ms: int = 0


class JobRefused(msgspec.Struct, tag_field="event", tag="job refused"):
    """An entry refused a job; ``free_cpu`` is what it believed to be free."""

    at: str
    job: str
    reason: str = ""
    free_cpu: int = 0


class ProcessStarted(msgspec.Struct, tag_field="event", tag="Started."):
    """A process started; it knows nothing of the jobs before."""

    at: str


JobLine = JobAdmitted | RunsOrdered | RunEnded | JobEnded | JobRefused | ProcessStarted

# Each line is searched for these before it is decoded, as most lines tell other
# things.
EVENT_MARKS = tuple(
    b'"event":"' + tag + b'"'
    for tag in (
        b"job admitted",
        b"runs ordered",
        b"run ended",
        b"job ended",
        b"job refused",
        b"Started.",
    )
)
DROPPED_MARK = b'"event":"log lines dropped"'


class DroppedLines(msgspec.Struct):
    """A process could not write this many lines."""

    count: int


class LineCounts:
    """How many lines were read, and how many were of no use."""

    def __init__(self) -> None:
        """Start at zero."""
        self.read = 0
        # Lines that are not JSON objects or lack a field.
        self.malformed = 0
        # Lines that the processes said they had dropped.
        self.dropped = 0


DECODER = msgspec.json.Decoder(JobLine)
DROPPED_DECODER = msgspec.json.Decoder(DroppedLines)


def decode_lines(lines: Iterable[bytes], counts: LineCounts) -> Iterator[JobLine]:
    """Yield the lines about jobs; count malformed ones and go on."""
    for line in lines:
        counts.read += 1
        try:
            if any(mark in line for mark in EVENT_MARKS):
                yield DECODER.decode(line)
            elif DROPPED_MARK in line:
                counts.dropped += DROPPED_DECODER.decode(line).count
            elif not line.startswith(b"{") or not line.rstrip().endswith(b"}"):
                counts.malformed += 1
        except (msgspec.DecodeError, UnicodeDecodeError):
            counts.malformed += 1
