"""The HTTP interface for callers.

The request that submits a job stays open until the job ends.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Annotated

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
from sardineferry.platform.json_values import MAX_QUANTITY
from sardineferry.platform.json_values import Label
from sardineferry.platform.json_values import Quantity
from sardineferry.platform.json_values import describe_invalid
from sardineferry.web import json_response

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sardineferry.mailbox import Mailbox
    from sardineferry.pending_requests import PendingRequests
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest
    from sardineferry.web import HttpResponse

__all__ = ["CallerApplication", "parse_job"]

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
MAX_SPEC_BYTES = 4_000
# Steps of a job that are decoded. Jobs with several are not supported, and refused.
MAX_STEPS = 1_000
TaskCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_QUANTITY)]
HTTP_OK = 200

STATUS_BY_REPLY_KIND = {
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


class StepBody(msgspec.Struct):
    """A step in the JSON body; callers omit fields that are 0, false or empty."""

    tasks: TaskCount = msgspec.field(name="Count", default=1)
    cpu: Quantity = msgspec.field(name="Cpu", default=0)
    memory_mb: Quantity = msgspec.field(name="MemMb", default=0)
    accelerators: Quantity = msgspec.field(name="Gpu", default=0)
    estimate_ms: Quantity = msgspec.field(name="EstimateMs", default=0)
    gang: bool = msgspec.field(name="Gang", default=False)
    same_rack: bool = msgspec.field(name="SameRack", default=False)
    required_label: Label = msgspec.field(name="Requires", default="")
    preferred_rack: Label = msgspec.field(name="DataRack", default="")
    spread_limit: Quantity = msgspec.field(name="AntiAffinity", default=0)
    best_effort: bool = msgspec.field(name="Utilization", default=False)
    target_ms: Quantity = msgspec.field(name="TargetMs", default=0)
    runs_until_cancelled: bool = msgspec.field(name="Daemon", default=False)


class JobBody(msgspec.Struct):
    """The JSON body of a submitted job; its steps are decoded after the rest."""

    spec: str = msgspec.field(name="Spec", default="")
    steps: msgspec.Raw = msgspec.field(name="Steps", default=msgspec.Raw(b"[]"))
    burst: bool = msgspec.field(name="Burstable", default=False)
    runs_until_cancelled: bool = msgspec.field(name="Daemon", default=False)
    times: Quantity = msgspec.field(name="Times", default=0)


step_decoder = msgspec.json.Decoder(list[StepBody])


def parse_job(job_id: str, body: bytes) -> Result[BurstJob, str]:
    """Decode and check a submitted job."""
    try:
        submitted = msgspec.json.decode(body, type=JobBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(f"bad body: {describe_invalid(body, error)}")
    if len(submitted.spec.encode()) > MAX_SPEC_BYTES:
        return Failure(f"Spec is longer than {MAX_SPEC_BYTES} bytes")
    text = bytes(submitted.steps)
    # Counted before an object is made for each: 87,000 steps in a body of 256 KiB would
    # hold the loop for a tenth of a second.
    if text.count(b"{") > MAX_STEPS:
        unsupported = f"more than {MAX_STEPS} steps"
        step = to_burst_step(StepBody())
        return Success(BurstJob(job_id, submitted.spec, (step,), unsupported))
    try:
        steps = step_decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(f"bad body: {describe_invalid(text, error, '.Steps')}")
    if not steps:
        return Failure("Steps is empty")
    unsupported = first_unsupported_feature(submitted, steps)
    if unsupported:
        # The job is refused. One of its steps is enough for that.
        steps = steps[:1]
    return Success(
        BurstJob(
            job_id,
            submitted.spec,
            tuple(to_burst_step(step) for step in steps),
            unsupported,
        )
    )


def parse_deadline_ms(headers: Mapping[str, str]) -> int:
    """Return how long a caller waits for its answer, or 0 if it does not say."""
    value = headers.get("deadline-ms", "")
    return int(value) if DEADLINE_PATTERN.fullmatch(value) else 0


def resources_per_task(step: StepBody) -> Resources:
    """Return the resources that one task of the step needs."""
    return Resources(step.cpu, step.memory_mb, step.accelerators)


def to_burst_step(step: StepBody) -> BurstStep:
    """Convert a step of the JSON body to the core's type."""
    return BurstStep(
        tasks=step.tasks,
        need=resources_per_task(step),
        estimate_ms=step.estimate_ms,
        required_label=step.required_label,
        preferred_rack=step.preferred_rack,
        spread_limit=step.spread_limit,
    )


def first_unsupported_feature(submitted: JobBody, steps: list[StepBody]) -> str:
    """Return the name of the first unsupported feature that a job uses, or ""."""
    requested = {
        "jobs that are kept": not submitted.burst,
        "several steps": len(steps) > 1,
        "scheduled jobs": submitted.times > 0,
        "tasks that last": submitted.runs_until_cancelled
        or any(step.runs_until_cancelled for step in steps),
        "gangs": any(step.gang for step in steps),
        "one rack for all tasks": any(step.same_rack for step in steps),
        "best-effort tasks": any(step.best_effort for step in steps),
        "latency targets of tasks": any(step.target_ms for step in steps),
    }
    return next((name for name, is_requested in requested.items() if is_requested), "")


class CallerApplication:
    """Passes callers' requests to the core and responds with the core's replies."""

    def __init__(self, mailbox: Mailbox, pending: PendingRequests[BurstReply]) -> None:
        """Use the core's mailbox and a table of pending requests."""
        self.mailbox = mailbox
        self.pending = pending

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Convert an HTTP request to an event for the core."""
        host = request.headers.get("host", "").partition(":")[0].lower()
        path = request.path
        job_id = path.rpartition("/")[2]
        match request.method:
            case "GET" if not job_id:
                self.send_to_core(exchange, lambda token: ShowQueue(token, host, path))
            case "GET":
                self.send_to_core(exchange, lambda token: ShowJob(token, host, path))
            case "DELETE":
                self.send_to_core(exchange, lambda token: CancelJob(token, host, path))
            case "POST":
                self.submit(exchange, host, path, job_id)
            case _:
                exchange.answer(json_response(405, {"error": "method not allowed"}))

    def submit(self, exchange: Exchange, host: str, path: str, job_id: str) -> None:
        """Decode a job and ask the core to run it."""
        if not JOB_ID_PATTERN.fullmatch(job_id):
            # Only the core knows the routes. It is asked for the queue length to
            # get 404 if no route matches the path, and otherwise 400.
            self.send_to_core(exchange, lambda token: ShowQueue(token, host, path), 400)
            return
        parsed = parse_job(job_id, exchange.request.body)
        if isinstance(parsed, Failure):
            exchange.answer(json_response(400, {"error": parsed.failure()}))
            return
        if exchange.caller_has_left():
            # The caller may have submitted the job again already.
            return
        job = parsed.unwrap()
        deadline_ms = parse_deadline_ms(exchange.request.headers)
        self.send_to_core(
            exchange, lambda token: SubmitJob(token, host, path, job, deadline_ms)
        )

    def send_to_core(
        self,
        exchange: Exchange,
        build_event: Callable[[int], object],
        status_if_found: int = 0,
    ) -> None:
        """Send an event to the core, and respond with its reply.

        ``build_event`` gets the request's token. If ``status_if_found`` is not 0,
        it replaces the status of a successful reply.
        """
        token, future = self.pending.open()
        exchange.on_disconnect = lambda: self.handle_caller_left(token)
        future.add_done_callback(
            lambda done: exchange.answer(encode_reply(done.result(), status_if_found))
        )
        self.mailbox.put(build_event(token))

    def handle_caller_left(self, token: int) -> None:
        """Discard the pending request of a caller that closed the connection."""
        self.pending.discard(token)
        self.mailbox.put(CallerLeft(token))


def encode_reply(reply: BurstReply, status_if_found: int) -> HttpResponse:
    """Convert the core's reply to an HTTP response."""
    status = STATUS_BY_REPLY_KIND[reply.kind]
    if status == HTTP_OK and status_if_found:
        return json_response(status_if_found, {"error": "the path names no job"})
    if reply.kind is ReplyKind.QUEUE_LENGTH:
        return json_response(status, {"Pending": reply.queue_length})
    if status == HTTP_OK:
        return json_response(status, {"State": reply.kind.value})
    return json_response(
        status, {"error": reply.reason or reply.kind.value}, reply.retry_after_ms
    )
