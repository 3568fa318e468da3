"""The callers' and operators' HTTP interface of an entry."""

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

WAIT_GRACE_S = 5.0
OPERATOR_TIMEOUT_S = 8.0
POLL_LIMIT_MS = 300_000
EDGE_RETRY_AFTER_MS = 1_000

T = TypeVar("T")


class EntryApplication:
    """Hands requests to the core by messages, and its replies back."""

    def __init__(
        self,
        loop: IoLoop,
        mailbox: Mailbox,
        teams: dict[str, int],
        dump: Callable[[], str],
        waiting_limit: int,
    ) -> None:
        """Name the core's mailbox, the teams and what gives the state.

        At most ``waiting_limit`` requests wait for jobs.
        """
        self.loop = loop
        self.mailbox = mailbox
        self.teams = teams
        self.dump = dump
        self.leaving = False
        self.waiting_limit = waiting_limit
        self.waiting_count = 0
        self.preset: Callable[[], tuple[int, str]] = lambda: (0, "ordinary")
        self.jobs: PendingRequests[JobAnswer] = PendingRequests()
        self.changes: PendingRequests[PresetAnswer] = PendingRequests()
        self.dumps: PendingRequests[str] = PendingRequests()

    def answer(self, effect: Answer | PresetAnswer | DumpAnswer) -> None:
        """Answer the request that waits for this effect."""
        if isinstance(effect, Answer):
            self.jobs.answer(effect.token, effect.answer)
        elif isinstance(effect, PresetAnswer):
            self.changes.answer(effect.token, effect)
        else:
            self.dumps.answer(effect.token, effect.text)

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Find and call what serves a path."""
        parts = [unquote(part) for part in request.path.split("/") if part]
        match request.method, parts:
            case "POST", ["v1", "jobs"]:
                self.submit(exchange)
            case "GET", ["v1", "jobs", submission]:
                self.poll(exchange, submission, wait_ms_of(request.query))
            case "DELETE", ["v1", "jobs", submission]:
                self.cancel(exchange, submission)
            case "GET", ["health"]:
                exchange.answer(json_response(200, {"status": "alive"}))
            case "GET", ["ready"]:
                exchange.answer(self.ready())
            case "GET", ["v1", "dump"]:
                state = msgspec.Raw(self.dump().encode())
                exchange.answer(json_response(200, state))
            case "GET", ["v1", "preset"]:
                version, name = self.preset()
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

    def ready(self) -> HttpResponse:
        """Tell the balancer whether to send requests here."""
        if self.leaving:
            return json_response(503, {"status": "leaving"})
        return json_response(200, {"status": "ready"})

    def submit(self, exchange: Exchange) -> None:
        """Submit a job; by default the reply is its whole answer."""
        parsed = requests.parse_job(exchange.request.body, self.teams)
        if not is_successful(parsed):
            reason = str(parsed.failure())
            exchange.answer(json_response(400, error_body("bad_request", reason)))
            return
        job, wait = parsed.unwrap()
        if not wait:
            token, _ = self.jobs.open()
            self.mailbox.put(events.Submit(token, job))
            accepted = {"submission": job.submission, "state": "pending"}
            exchange.answer(json_response(202, accepted))
            return
        if not self.may_wait():
            exchange.answer(job_reply(refuse_at_edge(job)))
            return
        timeout_s = job.budget_ms / 1_000 + WAIT_GRACE_S
        self.await_job(exchange, lambda token: events.Submit(token, job), timeout_s)

    def poll(self, exchange: Exchange, submission: str, wait_ms: int) -> None:
        """Return a job's answer, now or at its end."""
        waits = wait_ms > 0 and self.may_wait()
        timeout_s = wait_ms / 1_000 if waits else OPERATOR_TIMEOUT_S
        self.await_job(
            exchange, lambda token: events.PollJob(token, submission, waits), timeout_s
        )

    def cancel(self, exchange: Exchange, submission: str) -> None:
        """Cancel a job and return its whole answer, or that it is pending."""
        if not self.may_wait():
            token, _ = self.jobs.open()
            self.mailbox.put(events.CancelJob(token, submission))
            pending = {"submission": submission, "state": "pending"}
            exchange.answer(json_response(202, pending))
            return
        self.await_job(
            exchange,
            lambda token: events.CancelJob(token, submission),
            OPERATOR_TIMEOUT_S,
        )

    def may_wait(self) -> bool:
        """Tell whether one more request may wait for a job."""
        return self.waiting_count < self.waiting_limit

    def await_job(
        self, exchange: Exchange, event: Callable[[int], object], timeout_s: float
    ) -> None:
        """Ask the core about a job; reply with its answer."""
        token, future = self.jobs.open()
        self.waiting_count += 1

        def give_up() -> None:
            self.jobs.discard(token)
            future.cancel()

        def reply(done: Future[JobAnswer]) -> None:
            self.waiting_count -= 1
            timer.cancel()
            if done.cancelled():
                exchange.answer(json_response(202, {"state": "pending"}))
            else:
                exchange.answer(job_reply(done.result()))

        timer = self.loop.call_later(timeout_s, give_up)
        future.add_done_callback(reply)
        # A job goes on without its caller; who left may poll for the answer.
        exchange.on_disconnect = give_up
        self.mailbox.put(event(token))

    def await_operator(
        self,
        future: Future[T],
        exchange: Exchange,
        reply_of: Callable[[T], HttpResponse],
        give_up: Callable[[], None],
        reason: str,
    ) -> None:
        """Reply to an operator's request, in time or with a time-out."""

        def expire() -> None:
            give_up()
            future.cancel()

        def reply(done: Future[T]) -> None:
            timer.cancel()
            if done.cancelled():
                exchange.answer(json_response(504, error_body("unknown", reason)))
            else:
                exchange.answer(reply_of(done.result()))

        timer = self.loop.call_later(OPERATOR_TIMEOUT_S, expire)
        future.add_done_callback(reply)

    def set_preset(self, exchange: Exchange) -> None:
        """Change the preset; the reply comes after it was read back."""
        parsed = requests.parse_preset(exchange.request.body)
        if not is_successful(parsed):
            reason = str(parsed.failure())
            exchange.answer(json_response(400, error_body("bad_request", reason)))
            return
        change = parsed.unwrap()
        token, future = self.changes.open()
        self.await_operator(
            future,
            exchange,
            preset_reply,
            lambda: self.changes.discard(token),
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
        kind: type[events.DumpAgent] | type[events.DrainAgent],
    ) -> None:
        """Ask an agent for its state, or to drain."""
        token, future = self.dumps.open()

        def reply_of(text: str) -> HttpResponse:
            if not text:
                return json_response(
                    404, error_body("not_found", f"no agent {agent!r}")
                )
            return json_response(200, msgspec.Raw(text.encode()))

        self.await_operator(
            future,
            exchange,
            reply_of,
            lambda: self.dumps.discard(token),
            "the agent did not answer",
        )
        self.mailbox.put(kind(token, agent))


def preset_reply(answer: PresetAnswer) -> HttpResponse:
    """Turn the outcome of a change of preset into a reply."""
    status = {"accepted": 200, "conflict": 409}.get(answer.outcome, 503)
    body = {"outcome": answer.outcome, "name": answer.name, "version": answer.version}
    return json_response(status, body)


def refuse_at_edge(job: Job) -> JobAnswer:
    """Refuse a job that the core never saw, as truthfully as can be.

    Nothing was started for this request; an earlier one with the key may
    have run elsewhere unless its caller rules that out.
    """
    books = any(not task.idempotent for task in job.tasks)
    state: JobState = "unknown" if job.resubmission and books else "not_run"
    reason = "too many requests wait at this entry"
    return JobAnswer(job.submission, state, reason, EDGE_RETRY_AFTER_MS, ())


def wait_ms_of(query: str) -> int:
    """Return the wait that a poll asks for, in milliseconds."""
    values = parse_qs(query).get("wait_ms", ["0"])
    if not values[0].isdecimal():
        return 0
    return min(POLL_LIMIT_MS, int(values[0]))


def error_body(code: str, reason: str) -> dict[str, str]:
    """Return the body of an error."""
    return {"error": code, "reason": reason}


def job_reply(answer: JobAnswer) -> HttpResponse:
    """Turn a job's answer into a reply with a distinct status."""
    body = {
        "submission": answer.submission,
        "state": answer.state,
        "reason": answer.reason,
        "retry_after_ms": answer.retry_after_ms,
        "tasks": [outcome._asdict() for outcome in answer.outcomes],
    }
    return json_response(status_of(answer), body, answer.retry_after_ms)


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
