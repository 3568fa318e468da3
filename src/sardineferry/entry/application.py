"""The HTTP interface of an entry for callers and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import parse_qs
from urllib.parse import unquote

import msgspec
from returns.pipeline import is_successful

from sardineferry.decision import events
from sardineferry.decision.effects import Answer
from sardineferry.decision.effects import DumpAnswer
from sardineferry.decision.effects import PresetAnswer
from sardineferry.entry import requests
from sardineferry.incarnation import new_incarnation
from sardineferry.messages.job import JobAnswer
from sardineferry.pending_requests import PendingRequests
from sardineferry.web import json_response

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.messages.job import Job
    from sardineferry.messages.job import JobState
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest
    from sardineferry.web import HttpResponse

__all__ = ["EntryApplication"]

# How long a request still waits for its job's answer once the job's time budget is
# over.
JOB_TIMEOUT_MARGIN_S = 5.0
# How long a request waits for the core, unless it waits for the end of a job.
CORE_TIMEOUT_S = 8.0
MAX_POLL_WAIT_MS = 300_000
BUSY_RETRY_AFTER_MS = 1_000

T = TypeVar("T")


class EntryApplication:
    """Passes HTTP requests to the core as events, and responds with its answers."""

    def __init__(
        self,
        loop: IoLoop,
        mailbox: Mailbox,
        teams: dict[str, int],
        dump: Callable[[], str],
        max_waiting: int,
    ) -> None:
        """Prepare to serve requests.

        ``mailbox`` is the core's, ``teams`` are the teams that may submit jobs and
        ``dump`` returns the core's state as JSON. At most ``max_waiting`` requests
        wait for jobs at the same time.
        """
        self.loop = loop
        self.mailbox = mailbox
        self.teams = teams
        self.dump = dump
        self.leaving = False
        self.max_waiting = max_waiting
        self.waiting_count = 0
        # Returns the version and name of the preset in force.
        self.current_preset: Callable[[], tuple[int, str]] = lambda: (0, "ordinary")
        self.pending_jobs: PendingRequests[JobAnswer] = PendingRequests()
        self.pending_preset_changes: PendingRequests[PresetAnswer] = PendingRequests()
        self.pending_agent_requests: PendingRequests[str] = PendingRequests()

    def answer(self, effect: Answer | PresetAnswer | DumpAnswer) -> None:
        """Answer the request that the effect's token identifies."""
        if isinstance(effect, Answer):
            self.pending_jobs.answer(effect.token, effect.answer)
        elif isinstance(effect, PresetAnswer):
            self.pending_preset_changes.answer(effect.token, effect)
        else:
            self.pending_agent_requests.answer(effect.token, effect.text)

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve a request according to its method and path."""
        parts = [unquote(part) for part in request.path.split("/") if part]
        match request.method, parts:
            case "POST", ["v1", "jobs"]:
                self.submit(exchange)
            case "GET", ["v1", "jobs", submission]:
                self.poll(exchange, submission, parse_wait_ms(request.query))
            case "DELETE", ["v1", "jobs", submission]:
                self.cancel(exchange, submission)
            case "GET", ["health"]:
                exchange.answer(json_response(200, {"status": "alive"}))
            case "GET", ["ready"]:
                exchange.answer(self.readiness_response())
            case "GET", ["v1", "dump"]:
                state = msgspec.Raw(self.dump().encode())
                exchange.answer(json_response(200, state))
            case "GET", ["v1", "preset"]:
                version, name = self.current_preset()
                exchange.answer(json_response(200, {"name": name, "version": version}))
            case "PUT", ["v1", "preset"]:
                self.set_preset(exchange)
            case "GET", ["v1", "agents", agent, "dump"]:
                self.ask_agent(exchange, agent, events.DumpAgent)
            case "POST", ["v1", "agents", agent, "drain"]:
                self.ask_agent(exchange, agent, events.DrainAgent)
            case _:
                reason = f"{request.method} {request.path}"
                exchange.answer(json_response(404, error_body("not_found", reason)))

    def readiness_response(self) -> HttpResponse:
        """Return the response to a load balancer's readiness check."""
        if self.leaving:
            return json_response(503, {"status": "leaving"})
        return json_response(200, {"status": "ready"})

    def submit(self, exchange: Exchange) -> None:
        """Submit a job; respond once it has ended, unless the body says not to wait."""
        parsed = requests.parse_job(exchange.request.body, self.teams)
        if not is_successful(parsed):
            reason = str(parsed.failure())
            exchange.answer(json_response(400, error_body("bad_request", reason)))
            return
        job, wait = parsed.unwrap()
        if not wait:
            token, _ = self.pending_jobs.open()
            self.mailbox.put(events.Submit(token, job))
            accepted = {"submission": job.submission, "state": "pending"}
            exchange.answer(json_response(202, accepted))
            return
        if not self.may_wait():
            exchange.answer(job_response(busy_answer(job)))
            return
        timeout_s = job.budget_ms / 1_000 + JOB_TIMEOUT_MARGIN_S
        self.send_job_event(
            exchange, lambda token: events.Submit(token, job), timeout_s
        )

    def poll(self, exchange: Exchange, submission: str, wait_ms: int) -> None:
        """Respond with a job's answer, at once or when the job has ended.

        The request waits for at most ``wait_ms``, and not at all if it is 0 or too
        many requests wait already.
        """
        waits = wait_ms > 0 and self.may_wait()
        timeout_s = wait_ms / 1_000 if waits else CORE_TIMEOUT_S
        self.send_job_event(
            exchange, lambda token: events.PollJob(token, submission, waits), timeout_s
        )

    def cancel(self, exchange: Exchange, submission: str) -> None:
        """Cancel a job and respond with its answer.

        If too many requests wait already, respond at once that the job is pending.
        """
        if not self.may_wait():
            token, _ = self.pending_jobs.open()
            self.mailbox.put(events.CancelJob(token, submission))
            pending = {"submission": submission, "state": "pending"}
            exchange.answer(json_response(202, pending))
            return
        self.send_job_event(
            exchange,
            lambda token: events.CancelJob(token, submission),
            CORE_TIMEOUT_S,
        )

    def may_wait(self) -> bool:
        """Return whether one more request may wait for a job."""
        return self.waiting_count < self.max_waiting

    def send_job_event(
        self, exchange: Exchange, build_event: Callable[[int], object], timeout_s: float
    ) -> None:
        """Send the core an event about a job and respond with the core's answer.

        ``build_event`` builds the event from the request's token. After the timeout,
        the response says that the job is pending.
        """
        token, future = self.pending_jobs.open()
        self.waiting_count += 1

        def stop_waiting() -> None:
            self.pending_jobs.discard(token)
            future.cancel()

        def respond(done: Future[JobAnswer]) -> None:
            self.waiting_count -= 1
            timer.cancel()
            if done.cancelled():
                exchange.answer(json_response(202, {"state": "pending"}))
            else:
                exchange.answer(job_response(done.result()))

        timer = self.loop.call_later(timeout_s, stop_waiting)
        future.add_done_callback(respond)
        # If the caller disconnects, the job continues and the caller may poll for it.
        exchange.on_disconnect = stop_waiting
        self.mailbox.put(build_event(token))

    def respond_when_done(
        self,
        future: Future[T],
        exchange: Exchange,
        to_response: Callable[[T], HttpResponse],
        discard: Callable[[], None],
        timeout_reason: str,
    ) -> None:
        """Respond to an operator's request when its future is done.

        After the timeout, ``discard`` removes the request and the response is an
        error with ``timeout_reason``.
        """

        def expire() -> None:
            discard()
            future.cancel()

        def respond(done: Future[T]) -> None:
            timer.cancel()
            if done.cancelled():
                exchange.answer(
                    json_response(504, error_body("unknown", timeout_reason))
                )
            else:
                exchange.answer(to_response(done.result()))

        timer = self.loop.call_later(CORE_TIMEOUT_S, expire)
        future.add_done_callback(respond)

    def set_preset(self, exchange: Exchange) -> None:
        """Change the preset; respond once the core has read the change from the log."""
        parsed = requests.parse_preset(exchange.request.body)
        if not is_successful(parsed):
            reason = str(parsed.failure())
            exchange.answer(json_response(400, error_body("bad_request", reason)))
            return
        change = parsed.unwrap()
        token, future = self.pending_preset_changes.open()
        self.respond_when_done(
            future,
            exchange,
            preset_response,
            lambda: self.pending_preset_changes.discard(token),
            "no answer in time",
        )
        event = events.SetPreset(
            token, new_incarnation(), change["name"], change["expected_version"]
        )
        self.mailbox.put(event)

    def ask_agent(
        self,
        exchange: Exchange,
        agent: str,
        event_type: type[events.DumpAgent] | type[events.DrainAgent],
    ) -> None:
        """Ask an agent for its state, or to drain; respond 404 if it is not linked."""
        token, future = self.pending_agent_requests.open()

        def to_response(text: str) -> HttpResponse:
            if not text:
                return json_response(
                    404, error_body("not_found", f"no agent {agent!r}")
                )
            return json_response(200, msgspec.Raw(text.encode()))

        self.respond_when_done(
            future,
            exchange,
            to_response,
            lambda: self.pending_agent_requests.discard(token),
            "the agent did not answer",
        )
        self.mailbox.put(event_type(token, agent))


def preset_response(answer: PresetAnswer) -> HttpResponse:
    """Convert the outcome of a preset change to a response."""
    status = {"accepted": 200, "conflict": 409}.get(answer.outcome, 503)
    body = {"outcome": answer.outcome, "name": answer.name, "version": answer.version}
    return json_response(status, body)


def busy_answer(job: Job) -> JobAnswer:
    """Return the answer to a job that is refused because too many requests wait.

    The core doesn't get the job, so this request runs nothing. An earlier request
    with the same key may have run its bookings, though, unless the caller states
    that there was none.
    """
    has_booking = any(not task.idempotent for task in job.tasks)
    state: JobState = "unknown" if job.resubmission and has_booking else "not_run"
    reason = "too many requests wait at this entry"
    return JobAnswer(job.submission, state, reason, BUSY_RETRY_AFTER_MS, ())


def parse_wait_ms(query: str) -> int:
    """Return the ``wait_ms`` of a query; 0 if it is missing or not a number."""
    values = parse_qs(query).get("wait_ms", ["0"])
    if not values[0].isdecimal():
        return 0
    return min(MAX_POLL_WAIT_MS, int(values[0]))


def error_body(code: str, reason: str) -> dict[str, str]:
    """Return the body of an error response."""
    return {"error": code, "reason": reason}


def job_response(answer: JobAnswer) -> HttpResponse:
    """Convert the answer to a job to a response."""
    body = {
        "submission": answer.submission,
        "state": answer.state,
        "reason": answer.reason,
        "retry_after_ms": answer.retry_after_ms,
        "tasks": [outcome._asdict() for outcome in answer.outcomes],
    }
    return json_response(http_status(answer), body, answer.retry_after_ms)


def http_status(answer: JobAnswer) -> int:
    """Return the HTTP status of the answer to a job."""
    if answer.state == "pending":
        return 202
    if answer.reason.startswith("conflict"):
        return 409
    if answer.state == "unknown":
        return 404 if answer.reason == "not known here" else 504
    if answer.state != "not_run":
        return 200
    return 503 if answer.retry_after_ms else 422
