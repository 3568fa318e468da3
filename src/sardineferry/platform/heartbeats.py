"""Receives heartbeats from the worker on the agent's own machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.worker import WorkerLeft
from sardineferry.decision.burst.worker import WorkerReported
from sardineferry.logs import part_logger
from sardineferry.messages.burst import Resources
from sardineferry.platform.json_values import Integer
from sardineferry.platform.json_values import Label
from sardineferry.platform.json_values import Quantity
from sardineferry.platform.json_values import describe_invalid
from sardineferry.web import json_response

if TYPE_CHECKING:
    from sardineferry.mailbox import Mailbox
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

__all__ = ["HeartbeatApplication", "parse_heartbeat"]

PATH_PREFIX = "/v1/instances/"
# The platform allows heartbeats of up to 4 MiB. Nothing reads this constant: the
# limit is applied by ``HEARTBEAT_SERVER_LIMITS``, which has the same value, where
# ``deployment/agent.py`` builds the server.
MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024
# Labels name a worker's kind and rack; all entries are sent them.
MAX_LABELS_BYTES = 16_384
# The ids of workers that were reported are kept for a while.
MAX_ID_CHARACTERS = 1_024
DRAINING_BY_STATE = {"ready": False, "draining": True}

logger = part_logger("reports")


class RoomBody(msgspec.Struct):
    """A worker's total resources, whether in use or not."""

    cpu: Quantity = msgspec.field(name="Cpu", default=0)
    memory_mb: Quantity = msgspec.field(name="MemMb", default=0)
    accelerators: Quantity = msgspec.field(name="Gpu", default=0)


class HeartbeatBody(msgspec.Struct):
    """A heartbeat as JSON; ``born`` is the worker's start in Unix time, ms."""

    service: Label = msgspec.field(name="Service")
    state: Label = msgspec.field(name="State")
    sequence: Integer = msgspec.field(name="Seq")
    room: RoomBody = msgspec.field(name="Room")
    # Decoded once its size is known to be small.
    labels: msgspec.Raw = msgspec.field(name="Labels", default=msgspec.Raw(b"[]"))
    clock_ms: Integer = msgspec.field(name="ClockMs", default=0)
    cold_left_ms: Integer = msgspec.field(name="ColdLeftMs", default=0)
    born: Integer = 0


label_decoder = msgspec.json.Decoder(list[Label])


def parse_heartbeat(worker_id: str, body: bytes) -> Result[WorkerReported, str]:
    """Decode and check a heartbeat."""
    try:
        heartbeat = msgspec.json.decode(body, type=HeartbeatBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(describe_invalid(body, error))
    draining = DRAINING_BY_STATE.get(heartbeat.state)
    if draining is None:
        return Failure(f"unknown state {heartbeat.state!r}")
    if len(bytes(heartbeat.labels)) > MAX_LABELS_BYTES:
        return Failure(f"Labels are longer than {MAX_LABELS_BYTES} bytes")
    try:
        labels = label_decoder.decode(heartbeat.labels)
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(describe_invalid(bytes(heartbeat.labels), error, ".Labels"))
    room = heartbeat.room
    return Success(
        WorkerReported(
            worker_id=worker_id,
            born_ms=heartbeat.born,
            sequence=heartbeat.sequence,
            service=heartbeat.service,
            total=Resources(room.cpu, room.memory_mb, room.accelerators),
            labels=tuple(labels),
            draining=draining,
            clock_ms=heartbeat.clock_ms,
            cold_left_ms=max(0, heartbeat.cold_left_ms),
        )
    )


class HeartbeatApplication:
    """Passes the worker's heartbeats and its departure to the core."""

    def __init__(self, mailbox: Mailbox, service: str) -> None:
        """Accept heartbeats for one service; an empty name accepts any."""
        self.mailbox = mailbox
        self.service = service

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Process a request, and respond with a status and an empty JSON object."""
        exchange.answer(json_response(self.process(request), {}))

    def process(self, request: HttpRequest) -> int:
        """Process a heartbeat (PUT) or a leave (DELETE); return the HTTP status."""
        worker_id = request.path.removeprefix(PATH_PREFIX)
        if (
            not request.path.startswith(PATH_PREFIX)
            or not 0 < len(worker_id) <= MAX_ID_CHARACTERS
            or "/" in worker_id
        ):
            return 404
        if request.method == "DELETE":
            self.mailbox.put(WorkerLeft(worker_id))
            return 200
        if request.method != "PUT":
            return 405
        parsed = parse_heartbeat(worker_id, request.body)
        if isinstance(parsed, Failure):
            logger.warning("Ignored a heartbeat from %s: %s.", worker_id, parsed)
            return 400
        heartbeat = parsed.unwrap()
        if self.service and heartbeat.service != self.service:
            logger.warning(
                "Ignored a heartbeat from %s: wrong service %s.",
                worker_id,
                heartbeat.service,
            )
            return 400
        self.mailbox.put(heartbeat)
        return 200
