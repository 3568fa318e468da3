"""Tests of an entry's HTTP interface with a fake core."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sardineferry.decision import events
from sardineferry.decision.effects import Answer
from sardineferry.decision.effects import DumpAnswer
from sardineferry.decision.effects import PresetAnswer
from sardineferry.entry.application import EntryApplication
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.messages.job import JobAnswer
from sardineferry.messages.job import TaskOutcome
from sardineferry.web import Exchange
from sardineferry.web import HttpRequest
from sardineferry.web import HttpResponse

JOB = {
    "submission": "key",
    "team": "t",
    "deadline_ms": 1_000,
    "tasks": [{"id": "a", "kind": "quote", "idempotent": True}],
}
OUTCOME = TaskOutcome("a", "answered", "text", "")


class FakeCaller:
    """Records the responses to a request."""

    def __init__(self) -> None:
        self.responses: list[HttpResponse] = []

    def answer(self, _exchange: Exchange, response: HttpResponse) -> None:
        self.responses.append(response)


class FakeCore:
    """Answers the events that an application sends to the core, with fixed answers."""

    def __init__(
        self,
        answer: JobAnswer | None,
        outcome: str = "accepted",
        max_waiting: int = 4,
    ) -> None:
        self.mailbox = Mailbox()
        self.application = EntryApplication(
            IoLoop(), self.mailbox, {"t": 1}, lambda: '{"a":1}', max_waiting
        )
        self.job_answer = answer
        self.outcome = outcome

    def serve(self) -> None:
        while (received := self.mailbox.take()) is not None:
            event = received[0]
            if isinstance(event, events.SetPreset):
                effect = PresetAnswer(event.token, self.outcome, 3, "peak")
                self.application.answer(effect)
            elif isinstance(event, events.DumpAgent | events.DrainAgent):
                known = event.agent == "agent-0"
                self.application.answer(
                    DumpAnswer(event.token, '{"agent":"agent-0"}' if known else "")
                )
            elif isinstance(event, events.Submit | events.PollJob | events.CancelJob):
                assert self.job_answer is not None
                self.application.answer(Answer(event.token, self.job_answer))

    def call(
        self, method: str, path: str, body: object = None, serve: bool = True
    ) -> tuple[int, dict[str, str], Any]:
        content = b"" if body is None else json.dumps(body).encode()
        path, _, query = path.partition("?")
        caller = FakeCaller()
        request = HttpRequest(method, path, query, {}, content)
        exchange = Exchange(caller, request)  # type: ignore[arg-type]
        self.application.handle(request, exchange)
        if serve:
            self.serve()
        (response,) = caller.responses
        return response.status, dict(response.headers), json.loads(response.body)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (JobAnswer("key", "complete", "", 0, (OUTCOME,)), 200),
        (JobAnswer("key", "failed", "r", 0, (OUTCOME,)), 200),
        (JobAnswer("key", "not_run", "queue is full", 1_000, ()), 503),
        (JobAnswer("key", "not_run", "can never run", 0, ()), 422),
        (JobAnswer("key", "unknown", "the owner was lost", 1_000, ()), 504),
        (JobAnswer("key", "unknown", "conflict: other tasks", 0, ()), 409),
        (JobAnswer("key", "unknown", "not known here", 0, ()), 404),
        (JobAnswer("key", "pending", "running", 0, ()), 202),
    ],
)
def test_submit_responds_with_the_status_of_the_answer(
    answer: JobAnswer, status: int
) -> None:
    actual_status, headers, body = FakeCore(answer).call("POST", "/v1/jobs", JOB)
    assert (actual_status, body["state"]) == (status, answer.state)
    assert ("Retry-After" in headers) == (answer.retry_after_ms > 0)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/health", None, 200),
        ("GET", "/ready", None, 200),
        ("GET", "/v1/dump", None, 200),
        ("GET", "/v1/preset", None, 200),
        ("GET", "/v1/jobs/key", None, 200),
        ("GET", "/v1/jobs/key?wait_ms=10", None, 200),
        ("GET", "/v1/jobs/key?wait_ms=soon", None, 200),
        ("DELETE", "/v1/jobs/key", None, 200),
        ("GET", "/v1/agents/agent-0/dump", None, 200),
        ("GET", "/v1/agents/nobody/dump", None, 404),
        ("POST", "/v1/agents/agent-0/drain", {}, 200),
        ("GET", "/nowhere", None, 404),
        ("POST", "/v1/jobs", {"team": "t"}, 400),
        ("POST", "/v1/jobs", {**JOB, "wait": False}, 202),
        ("PUT", "/v1/preset", {"name": "peak", "expected_version": 2}, 200),
        ("PUT", "/v1/preset", {"name": "feast", "expected_version": 2}, 400),
    ],
)
def test_paths_are_served_with_the_expected_status(
    method: str, path: str, body: object, status: int
) -> None:
    core = FakeCore(JobAnswer("key", "complete", "", 0, (OUTCOME,)))
    assert core.call(method, path, body)[0] == status


@pytest.mark.parametrize(
    ("outcome", "status"), [("accepted", 200), ("conflict", 409), ("unknown", 503)]
)
def test_set_preset_returns_outcome_and_preset_in_force(
    outcome: str, status: int
) -> None:
    core = FakeCore(None, outcome)
    change = {"name": "peak", "expected_version": 2}
    actual_status, _, body = core.call("PUT", "/v1/preset", change)
    assert (actual_status, body) == (
        status,
        {"outcome": outcome, "name": "peak", "version": 3},
    )


def test_leaving_entry_is_healthy_but_not_ready() -> None:
    core = FakeCore(None)
    core.application.leaving = True
    assert core.call("GET", "/ready")[0] == 503
    assert core.call("GET", "/health")[0] == 200


@pytest.mark.parametrize(
    ("idempotent", "resubmission", "status", "state"),
    [
        (True, True, 503, "not_run"),
        (False, False, 503, "not_run"),
        (False, True, 504, "unknown"),
    ],
)
def test_jobs_are_refused_but_readiness_is_served_if_too_many_requests_wait(
    idempotent: bool, resubmission: bool, status: int, state: str
) -> None:
    core = FakeCore(None, max_waiting=0)
    task = {"id": "a", "kind": "quote", "idempotent": idempotent}
    job = {**JOB, "tasks": [task], "resubmission": resubmission}
    actual_status, headers, body = core.call("POST", "/v1/jobs", job, serve=False)
    assert (actual_status, body["state"]) == (status, state)
    assert "Retry-After" in headers
    assert core.mailbox.take() is None
    assert core.call("GET", "/ready")[0] == 200
