"""The callers' HTTP interface: jobs that are held open until they end."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.requests import BurstJob
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import BurstStep
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import ShowJob
from sardineferry.decision.burst.requests import ShowQueue
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.messages.burst import Resources
from sardineferry.web import json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.mailbox import Mailbox
    from sardineferry.waiting import WaitingRequests
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest
    from sardineferry.web import HttpResponse

__all__ = ["CallerApplication", "parse_job"]

JOB_ID = re.compile(r"[0-9a-f]{16}")
SPEC_LIMIT_BYTES = 4_000
HTTP_OK = 200

STATUSES = {
    ReplyKind.COMPLETED: 200,
    ReplyKind.FAILED: 200,
    ReplyKind.RUNNING: 200,
    ReplyKind.QUEUED: 200,
    ReplyKind.CANCELLED: 200,
    ReplyKind.QUEUE_LENGTH: 200,
    ReplyKind.NOT_RUN: 503,
    ReplyKind.NO_ROUTE: 404,
    ReplyKind.NO_JOB: 410,
    ReplyKind.NO_ANSWER: 502,
}


class StepRow(msgspec.Struct):
    """One step of a job, as submitted; what is 0, false or empty is left out."""

    tasks: int = msgspec.field(name="Count", default=1)
    cpu: int = msgspec.field(name="Cpu", default=0)
    memory_mb: int = msgspec.field(name="MemMb", default=0)
    accelerators: int = msgspec.field(name="Gpu", default=0)
    estimate_ms: int = msgspec.field(name="EstimateMs", default=0)
    after: list[int] = msgspec.field(name="After", default_factory=list)
    gang: bool = msgspec.field(name="Gang", default=False)
    same_rack: bool = msgspec.field(name="SameRack", default=False)
    required_label: str = msgspec.field(name="Requires", default="")
    preferred_rack: str = msgspec.field(name="DataRack", default="")
    spread_limit: int = msgspec.field(name="AntiAffinity", default=0)
    best_effort: bool = msgspec.field(name="Utilization", default=False)
    target_ms: int = msgspec.field(name="TargetMs", default=0)
    runs_until_cancelled: bool = msgspec.field(name="Daemon", default=False)


class JobRow(msgspec.Struct):
    """A job, as submitted."""

    spec: str = msgspec.field(name="Spec", default="")
    steps: list[StepRow] = msgspec.field(name="Steps", default_factory=list)
    burst: bool = msgspec.field(name="Burstable", default=False)
    runs_until_cancelled: bool = msgspec.field(name="Daemon", default=False)
    times: int = msgspec.field(name="Times", default=0)


def parse_job(job_id: str, body: bytes) -> Result[BurstJob, str]:
    """Decode a submitted job."""
    try:
        row = msgspec.json.decode(body, type=JobRow)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(f"bad body: {error}")
    if len(row.spec.encode()) > SPEC_LIMIT_BYTES:
        return Failure(f"Spec is longer than {SPEC_LIMIT_BYTES} bytes")
    if not row.steps:
        return Failure("Steps is empty")
    if any(step.tasks < 1 or min(need_of(step)) < 0 for step in row.steps):
        return Failure("Count must be positive, and no need negative")
    steps = tuple(step_of(step) for step in row.steps)
    return Success(BurstJob(job_id, row.spec, steps, unsupported_of(row)))


def need_of(step: StepRow) -> Resources:
    """Return what one task of a step needs."""
    return Resources(step.cpu, step.memory_mb, step.accelerators)


def step_of(step: StepRow) -> BurstStep:
    """Return a step in the product's terms."""
    return BurstStep(
        tasks=step.tasks,
        need=need_of(step),
        estimate_ms=step.estimate_ms,
        required_label=step.required_label,
        preferred_rack=step.preferred_rack,
        spread_limit=step.spread_limit,
    )


def unsupported_of(row: JobRow) -> str:
    """Name the first thing that the job asks for and that is not provided."""
    asked = {
        "jobs that are kept": not row.burst,
        "several steps": len(row.steps) > 1,
        "scheduled jobs": row.times > 0,
        "tasks that last": row.runs_until_cancelled
        or any(step.runs_until_cancelled for step in row.steps),
        "gangs": any(step.gang for step in row.steps),
        "one rack for all tasks": any(step.same_rack for step in row.steps),
        "best-effort tasks": any(step.best_effort for step in row.steps),
        "latency targets of tasks": any(step.target_ms for step in row.steps),
    }
    return next((name for name, is_asked in asked.items() if is_asked), "")


class CallerApplication:
    """Hands callers' requests to the entry's core and its replies back."""

    def __init__(self, mailbox: Mailbox, waiting: WaitingRequests[BurstReply]) -> None:
        """Name the core's mailbox and the callers that wait for its replies."""
        self.mailbox = mailbox
        self.waiting = waiting

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Decode a request and ask the core."""
        host = request.headers.get("host", "").partition(":")[0].lower()
        path = request.path
        job_id = path.rpartition("/")[2]
        match request.method:
            case "GET" if not job_id:
                self.ask(exchange, lambda token: ShowQueue(token, host, path))
            case "GET":
                self.ask(exchange, lambda token: ShowJob(token, host, path))
            case "DELETE":
                self.ask(exchange, lambda token: CancelJob(token, host, path))
            case "POST":
                self.submit(exchange, host, path, job_id)
            case _:
                exchange.answer(json_response(405, {"error": "method not allowed"}))

    def submit(self, exchange: Exchange, host: str, path: str, job_id: str) -> None:
        """Ask the core to run a job."""
        if not JOB_ID.fullmatch(job_id):
            # The core knows whether the queue exists at all.
            self.ask(exchange, lambda token: ShowQueue(token, host, path), 400)
            return
        parsed = parse_job(job_id, exchange.request.body)
        if isinstance(parsed, Failure):
            exchange.answer(json_response(400, {"error": parsed.failure()}))
            return
        job = parsed.unwrap()
        self.ask(exchange, lambda token: SubmitJob(token, host, path, job))

    def ask(
        self,
        exchange: Exchange,
        event: Callable[[int], object],
        found_status: int = 0,
    ) -> None:
        """Hand an event to the core; its reply is the caller's.

        ``found_status`` replaces the status of a positive reply.
        """
        token, future = self.waiting.open()
        exchange.on_disconnect = lambda: self.leave(token)
        future.add_done_callback(
            lambda done: exchange.answer(encode_reply(done.result(), found_status))
        )
        self.mailbox.put(event(token))

    def leave(self, token: int) -> None:
        """Tell the core that a caller waits no more."""
        self.waiting.give_up(token)
        self.mailbox.put(CallerLeft(token))


def encode_reply(reply: BurstReply, found_status: int) -> HttpResponse:
    """Return the reply in the platform's terms."""
    status = STATUSES[reply.kind]
    if status == HTTP_OK and found_status:
        return json_response(found_status, {"error": "the path names no job"})
    if reply.kind is ReplyKind.QUEUE_LENGTH:
        return json_response(status, {"Pending": reply.queue_length})
    if status == HTTP_OK:
        return json_response(status, {"State": reply.kind.value})
    return json_response(
        status, {"error": reply.reason or reply.kind.value}, reply.retry_after_ms
    )
