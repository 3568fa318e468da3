"""The callers' HTTP interface: jobs that are held open until they end."""

from __future__ import annotations

import re
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING
from typing import NamedTuple

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

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

    from sardineferry.decision.burst.configuration import EdgeLimits
    from sardineferry.mailbox import Mailbox
    from sardineferry.waiting import WaitingRequests

__all__ = ["CallerApplication", "parse_job"]

JOB_ID = re.compile(r"[0-9a-f]{16}")
SPEC_LIMIT_BYTES = 4_000
# Between looks whether a caller that waits has closed its connection.
DISCONNECT_POLL_S = 0.1
MS_PER_S = 1_000
HTTP_OK = 200

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    410: "410 Gone",
    413: "413 Content Too Large",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
}
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


class HttpReply(NamedTuple):
    """A status and a JSON body; ``retry_after_ms`` sets Retry-After."""

    status: int
    body: dict[str, object]
    retry_after_ms: int = 0


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
    """A WSGI application that talks to the entry's core by messages."""

    def __init__(
        self,
        mailbox: Mailbox,
        waiting: WaitingRequests[BurstReply],
        waiting_limit: int,
        limits: Callable[[], EdgeLimits],
    ) -> None:
        """Name the core's mailbox, and the limits in force.

        At most ``waiting_limit`` callers wait, so that threads are left to
        refuse the others at once.
        """
        self.mailbox = mailbox
        self.waiting = waiting
        self.waiting_limit = waiting_limit
        self.limits = limits

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        reply = self.serve(environ)
        encoded = msgspec.json.encode(reply.body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(encoded))),
        ]
        if reply.retry_after_ms:
            seconds = -(-reply.retry_after_ms // MS_PER_S)
            headers.append(("Retry-After", str(seconds)))
        start_response(STATUS_LINES[reply.status], headers)
        return [encoded]

    def serve(self, environ: WSGIEnvironment) -> HttpReply:
        """Decode a request, wait for the core's answer and encode it."""
        host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        job_id = path.rpartition("/")[2]
        if method == "GET" and not job_id:
            return self.ask(environ, lambda token: ShowQueue(token, host, path))
        if method not in ("GET", "POST", "DELETE"):
            return HttpReply(405, {"error": "method not allowed"})
        if method == "GET":
            return self.ask(environ, lambda token: ShowJob(token, host, path))
        if method == "DELETE":
            return self.ask(environ, lambda token: CancelJob(token, host, path))
        limit = self.limits().body_bytes
        if int(environ.get("CONTENT_LENGTH") or 0) > limit:
            return HttpReply(413, {"error": f"body exceeds {limit} bytes"})
        body = environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            return HttpReply(413, {"error": f"body exceeds {limit} bytes"})
        if not JOB_ID.fullmatch(job_id):
            # The core knows whether the queue exists at all.
            return self.ask(environ, lambda token: ShowQueue(token, host, path), 400)
        parsed = parse_job(job_id, body)
        if isinstance(parsed, Failure):
            return HttpReply(400, {"error": parsed.failure()})
        job = parsed.unwrap()
        return self.ask(environ, lambda token: SubmitJob(token, host, path, job))

    def ask(
        self,
        environ: WSGIEnvironment,
        event: Callable[[int], object],
        found_status: int = 0,
    ) -> HttpReply:
        """Hand an event to the core and wait while the caller does.

        ``found_status`` replaces the status of a positive answer.
        """
        if len(self.waiting.futures) >= self.waiting_limit:
            return HttpReply(503, {"error": "too many callers wait"}, MS_PER_S)
        token, future = self.waiting.open()
        self.mailbox.put(event(token))
        gone = environ.get("waitress.client_disconnected", lambda: False)
        while True:
            try:
                reply = future.result(DISCONNECT_POLL_S)
            except FutureTimeoutError:
                if gone():
                    self.waiting.give_up(token)
                    self.mailbox.put(CallerLeft(token))
                    return HttpReply(503, {"error": "caller left"})
                continue
            return encode_reply(reply, found_status)


def encode_reply(reply: BurstReply, found_status: int) -> HttpReply:
    """Return the answer in the platform's terms."""
    status = STATUSES[reply.kind]
    if status == HTTP_OK and found_status:
        return HttpReply(found_status, {"error": "the path names no job"})
    if reply.kind is ReplyKind.QUEUE_LENGTH:
        return HttpReply(status, {"Pending": reply.queue_length})
    if status == HTTP_OK:
        return HttpReply(status, {"State": reply.kind.value})
    return HttpReply(
        status, {"error": reply.reason or reply.kind.value}, reply.retry_after_ms
    )
