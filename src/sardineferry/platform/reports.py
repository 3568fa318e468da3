"""Receives the worker's heartbeats, on the agent's own machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.worker import WorkerLeft
from sardineferry.decision.burst.worker import WorkerSeen
from sardineferry.logs import part_logger
from sardineferry.messages.burst import Resources
from sardineferry.web import json_response

if TYPE_CHECKING:
    from sardineferry.mailbox import Mailbox
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

__all__ = ["ReportApplication", "parse_report"]

PATH_PREFIX = "/v1/instances/"
# The platform's bound on a heartbeat.
REPORT_LIMIT_BYTES = 4 * 1024 * 1024
STATES = {"ready": False, "draining": True}

logger = part_logger("reports")


class RoomRow(msgspec.Struct):
    """All that a worker has, whether in use or not."""

    cpu: int = msgspec.field(name="Cpu", default=0)
    memory_mb: int = msgspec.field(name="MemMb", default=0)
    accelerators: int = msgspec.field(name="Gpu", default=0)


class ReportRow(msgspec.Struct):
    """A heartbeat; ``born`` is the Unix time of the worker's start in ms."""

    service: str = msgspec.field(name="Service")
    state: str = msgspec.field(name="State")
    sequence: int = msgspec.field(name="Seq")
    room: RoomRow = msgspec.field(name="Room")
    labels: list[str] = msgspec.field(name="Labels", default_factory=list)
    clock_ms: int = msgspec.field(name="ClockMs", default=0)
    born: int = 0


def parse_report(worker_id: str, body: bytes) -> Result[WorkerSeen, str]:
    """Decode a heartbeat."""
    try:
        row = msgspec.json.decode(body, type=ReportRow)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    draining = STATES.get(row.state)
    if draining is None:
        return Failure(f"unknown state {row.state!r}")
    room = row.room
    if min(room.cpu, room.memory_mb, room.accelerators) < 0:
        return Failure("negative room")
    return Success(
        WorkerSeen(
            worker_id=worker_id,
            born_ms=row.born,
            sequence=row.sequence,
            service=row.service,
            total=Resources(room.cpu, room.memory_mb, room.accelerators),
            labels=tuple(row.labels),
            draining=draining,
            clock_ms=row.clock_ms,
        )
    )


class ReportApplication:
    """Takes the worker's heartbeats and its word that it leaves."""

    def __init__(self, mailbox: Mailbox, service: str) -> None:
        """Name the core's mailbox, and the service of this machine's worker."""
        self.mailbox = mailbox
        self.service = service

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        exchange.answer(json_response(self.status_of(request), {}))

    def status_of(self, request: HttpRequest) -> int:
        """Take a report or a leave; return the status to reply with."""
        worker_id = request.path.removeprefix(PATH_PREFIX)
        if (
            not request.path.startswith(PATH_PREFIX)
            or not worker_id
            or "/" in worker_id
        ):
            return 404
        if request.method == "DELETE":
            self.mailbox.put(WorkerLeft(worker_id))
            return 200
        if request.method != "PUT":
            return 405
        parsed = parse_report(worker_id, request.body)
        if isinstance(parsed, Failure):
            logger.warning("Ignored a heartbeat of %s: %s.", worker_id, parsed)
            return 400
        report = parsed.unwrap()
        if self.service and report.service != self.service:
            logger.warning(
                "Ignored a heartbeat of %s for service %s.", worker_id, report.service
            )
            return 400
        self.mailbox.put(report)
        return 200
