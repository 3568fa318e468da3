"""The callers' and operators' HTTP interface of an entry."""

from __future__ import annotations

import threading
import uuid
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import unquote

import msgspec
from returns.pipeline import is_successful

from sardineferry.decision import events
from sardineferry.decision.effects import Answer
from sardineferry.decision.effects import DumpAnswer
from sardineferry.decision.effects import PresetAnswer
from sardineferry.entry import requests
from sardineferry.messages.job import JobAnswer
from sardineferry.waiting import WaitingRequests

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

    from sardineferry.mailbox import Mailbox
    from sardineferry.messages.job import Job
    from sardineferry.messages.job import JobState

__all__ = ["EntryApplication"]

WAIT_GRACE_S = 5.0
OPERATOR_TIMEOUT_S = 8.0
POLL_LIMIT_MS = 300_000
EDGE_RETRY_AFTER_MS = 1_000

STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    422: "422 Unprocessable Content",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


class HttpReply(NamedTuple):
    """A status and a JSON body; ``retry_after_ms`` sets Retry-After."""

    status: int
    body: object
    retry_after_ms: int = 0


class EntryApplication:
    """A WSGI application that talks to the core by messages."""

    def __init__(
        self,
        mailbox: Mailbox,
        teams: dict[str, int],
        dump: Callable[[], str],
        waiting_limit: int,
    ) -> None:
        """Name the core's mailbox, the teams and what gives the state.

        At most ``waiting_limit`` requests wait for jobs, so that threads are
        left for health checks and operators.
        """
        self.mailbox = mailbox
        self.teams = teams
        self.dump = dump
        self.leaving = False
        self.waiting_slots = threading.BoundedSemaphore(waiting_limit)
        self.preset: Callable[[], tuple[int, str]] = lambda: (0, "ordinary")
        self.jobs: WaitingRequests[JobAnswer] = WaitingRequests()
        self.changes: WaitingRequests[PresetAnswer] = WaitingRequests()
        self.dumps: WaitingRequests[str] = WaitingRequests()

    def answer(self, effect: Answer | PresetAnswer | DumpAnswer) -> None:
        """Answer the request that waits for this effect."""
        if isinstance(effect, Answer):
            self.jobs.answer(effect.token, effect.answer)
        elif isinstance(effect, PresetAnswer):
            self.changes.answer(effect.token, effect)
        else:
            self.dumps.answer(effect.token, effect.text)

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        reply = self.route(environ)
        text = msgspec.json.encode(reply.body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(text))),
        ]
        if reply.retry_after_ms:
            seconds = max(1, round(reply.retry_after_ms / 1_000))
            headers.append(("Retry-After", str(seconds)))
        start_response(STATUS_LINES[reply.status], headers)
        return [text]

    def route(self, environ: WSGIEnvironment) -> HttpReply:
        """Find and call what serves a path."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        parts = [unquote(part) for part in path.split("/") if part]
        match method, parts:
            case "POST", ["v1", "jobs"]:
                return self.submit(read_body(environ))
            case "GET", ["v1", "jobs", submission]:
                return self.poll(submission, wait_ms_of(environ))
            case "DELETE", ["v1", "jobs", submission]:
                return self.cancel(submission)
            case "GET", ["health"]:
                return HttpReply(200, {"status": "alive"})
            case "GET", ["ready"]:
                return self.ready()
            case "GET", ["v1", "dump"]:
                return HttpReply(200, msgspec.Raw(self.dump().encode()))
            case "GET", ["v1", "preset"]:
                version, name = self.preset()
                return HttpReply(200, {"name": name, "version": version})
            case "PUT", ["v1", "preset"]:
                return self.set_preset(read_body(environ))
            case "GET", ["v1", "agents", agent, "dump"]:
                return self.ask_agent(agent, events.DumpAgent)
            case "POST", ["v1", "agents", agent, "drain"]:
                return self.ask_agent(agent, events.DrainAgent)
            case _:
                return HttpReply(404, error_body("not_found", f"{method} {path}"))

    def ready(self) -> HttpReply:
        """Tell the balancer whether to send requests here."""
        if self.leaving:
            return HttpReply(503, {"status": "leaving"})
        return HttpReply(200, {"status": "ready"})

    def submit(self, body: bytes) -> HttpReply:
        """Submit a job; by default the reply is its whole answer."""
        parsed = requests.parse_job(body, self.teams)
        if not is_successful(parsed):
            return HttpReply(400, error_body("bad_request", str(parsed.failure())))
        job, wait = parsed.unwrap()
        if not wait:
            token, _ = self.jobs.open()
            self.mailbox.put(events.Submit(token, job))
            return HttpReply(202, {"submission": job.submission, "state": "pending"})
        if not self.waiting_slots.acquire(blocking=False):
            return job_reply(refuse_at_edge(job))
        try:
            token, future = self.jobs.open()
            self.mailbox.put(events.Submit(token, job))
            return self.await_job(token, future, job.budget_ms / 1_000 + WAIT_GRACE_S)
        finally:
            self.waiting_slots.release()

    def poll(self, submission: str, wait_ms: int) -> HttpReply:
        """Return a job's answer, now or at its end."""
        waits = wait_ms > 0 and self.waiting_slots.acquire(blocking=False)
        try:
            token, future = self.jobs.open()
            self.mailbox.put(events.PollJob(token, submission, waits))
            timeout_s = wait_ms / 1_000 if waits else OPERATOR_TIMEOUT_S
            return self.await_job(token, future, timeout_s)
        finally:
            if waits:
                self.waiting_slots.release()

    def cancel(self, submission: str) -> HttpReply:
        """Cancel a job and return its whole answer, or that it is pending."""
        token, future = self.jobs.open()
        self.mailbox.put(events.CancelJob(token, submission))
        if not self.waiting_slots.acquire(blocking=False):
            return HttpReply(202, {"submission": submission, "state": "pending"})
        try:
            return self.await_job(token, future, OPERATOR_TIMEOUT_S)
        finally:
            self.waiting_slots.release()

    def await_job(self, token: int, future: Any, timeout_s: float) -> HttpReply:
        """Wait for the core's answer to a job."""
        try:
            answer = future.result(timeout_s)
        except FutureTimeoutError:
            self.jobs.give_up(token)
            return HttpReply(202, {"state": "pending"})
        return job_reply(answer)

    def set_preset(self, body: bytes) -> HttpReply:
        """Change the preset; the reply comes after it was read back."""
        parsed = requests.parse_preset(body)
        if not is_successful(parsed):
            return HttpReply(400, error_body("bad_request", str(parsed.failure())))
        change = parsed.unwrap()
        token, future = self.changes.open()
        event = events.SetPreset(
            token, uuid.uuid4().hex, change["name"], change["expected_version"]
        )
        self.mailbox.put(event)
        try:
            answer = future.result(OPERATOR_TIMEOUT_S)
        except FutureTimeoutError:
            self.changes.give_up(token)
            return HttpReply(504, error_body("unknown", "no answer in time"))
        status = {"accepted": 200, "conflict": 409}.get(answer.outcome, 503)
        return HttpReply(
            status,
            {
                "outcome": answer.outcome,
                "name": answer.name,
                "version": answer.version,
            },
        )

    def ask_agent(
        self,
        agent: str,
        kind: type[events.DumpAgent] | type[events.DrainAgent],
    ) -> HttpReply:
        """Ask an agent for its state, or to drain."""
        token, future = self.dumps.open()
        self.mailbox.put(kind(token, agent))
        try:
            text = future.result(OPERATOR_TIMEOUT_S)
        except FutureTimeoutError:
            self.dumps.give_up(token)
            return HttpReply(504, error_body("unknown", "the agent did not answer"))
        if not text:
            return HttpReply(404, error_body("not_found", f"no agent {agent!r}"))
        return HttpReply(200, msgspec.Raw(text.encode()))


def refuse_at_edge(job: Job) -> JobAnswer:
    """Refuse a job that the core never saw, as truthfully as can be.

    Nothing was started for this request; an earlier one with the key may
    have run elsewhere unless its caller rules that out.
    """
    books = any(not task.idempotent for task in job.tasks)
    state: JobState = "unknown" if job.resubmission and books else "not_run"
    reason = "too many requests wait at this entry"
    return JobAnswer(job.submission, state, reason, EDGE_RETRY_AFTER_MS, ())


def read_body(environ: WSGIEnvironment) -> bytes:
    """Read the whole request body; waitress has bounded its size."""
    body: bytes = environ["wsgi.input"].read()
    return body


def wait_ms_of(environ: WSGIEnvironment) -> int:
    """Return the wait that a poll asks for, in milliseconds."""
    values = parse_qs(environ.get("QUERY_STRING", "")).get("wait_ms", ["0"])
    if not values[0].isdecimal():
        return 0
    return min(POLL_LIMIT_MS, int(values[0]))


def error_body(code: str, reason: str) -> dict[str, str]:
    """Return the body of an error."""
    return {"error": code, "reason": reason}


def job_reply(answer: JobAnswer) -> HttpReply:
    """Turn a job's answer into a reply with a distinct status."""
    body = {
        "submission": answer.submission,
        "state": answer.state,
        "reason": answer.reason,
        "retry_after_ms": answer.retry_after_ms,
        "tasks": [outcome._asdict() for outcome in answer.outcomes],
    }
    return HttpReply(status_of(answer), body, answer.retry_after_ms)


def status_of(answer: JobAnswer) -> int:
    """Return the HTTP status of a job's answer."""
    if answer.state == "pending":
        return 202
    if answer.reason.startswith("conflict"):
        return 409
    if answer.state == "unknown":
        return 404 if answer.reason == "not known here" else 504
    if answer.state != "not_run":
        return 200
    return 503 if answer.retry_after_ms else 422
