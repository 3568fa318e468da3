"""The invariants that every recorded history of a simulation must meet."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.virtual.history import Answered
    from bench.virtual.history import History
    from bench.virtual.history import Started
    from bench.virtual.history import Submitted

__all__ = ["INVARIANTS", "find_violations"]

MAX_ANSWER_DELAY_MS = 500.0
MAX_STARTS_AFTER_DRAIN_MS = 2_000.0


def non_idempotent_tasks_start_once(history: History) -> list[str]:
    """Check that no non-idempotent task of a submission starts twice."""
    counts = Counter(
        (start.submission, start.task)
        for start in history.started
        if not start.idempotent
    )
    return [
        f"{key} started {count} times" for key, count in counts.items() if count > 1
    ]


def requests_get_one_answer(history: History) -> list[str]:
    """Check that no request gets more than one answer."""
    counts = Counter(answered.token for answered in history.answered)
    return [
        f"request {token} answered {n} times" for token, n in counts.items() if n > 1
    ]


def answers_cover_all_tasks(history: History) -> list[str]:
    """Check that an ended job's answer has the right outcome for each of its tasks.

    No task may be missing or have the answer of another task, and a complete
    job has only answered tasks.
    """
    violations = []
    jobs = {request.token: request.job for request in history.submitted}
    for answered in history.answered:
        job = jobs.get(answered.token)
        answer = answered.answer
        if job is None or answer.state not in ("complete", "failed"):
            continue
        expected_ids = {task.id for task in job.tasks}
        ids = [outcome.id for outcome in answer.outcomes]
        if len(ids) != len(expected_ids) or set(ids) != expected_ids:
            violations.append(
                f"{job.submission}: {answer.state} with tasks {sorted(ids)}"
            )
        wrong = [
            outcome
            for outcome in answer.outcomes
            if outcome.state == "answered"
            and outcome.answer != f"{job.submission}/{outcome.id}"
        ]
        if wrong or answer.submission != job.submission:
            violations.append(
                f"{job.submission}: answer of another task or job: {wrong}"
            )
        incomplete = any(outcome.state != "answered" for outcome in answer.outcomes)
        if answer.state == "complete" and incomplete:
            violations.append(f"{job.submission}: complete, but a task is not answered")
    return violations


def not_run_tasks_never_started(history: History) -> list[str]:
    """Check that a task reported as not run was not started.

    It may start afterwards for another request of the same key. An idempotent
    task is checked only if its key was submitted once: otherwise a request at
    another entry may run it as well.
    """
    violations = []
    starts: dict[tuple[str, str], list[Started]] = defaultdict(list)
    for start in history.started:
        starts[start.submission, start.task].append(start)
    request_counts = Counter(
        submitted.job.submission for submitted in history.submitted
    )
    for answered, request in answers_with_requests(history):
        submission = request.job.submission
        other_request_ms = time_of_other_request(history, submission, answered)
        for task in tasks_reported_not_run(answered, request):
            wrong = [
                start.at_ms
                for start in starts[submission, task]
                if (start.at_ms < answered.at_ms or start.at_ms < other_request_ms)
                and not (start.idempotent and request_counts[submission] > 1)
            ]
            if wrong:
                violations.append(
                    f"{submission}/{task} reported as not run at {answered.at_ms} ms, "
                    f"started at {wrong} ms"
                )
    return violations


def answers_with_requests(history: History) -> list[tuple[Answered, Submitted]]:
    """Return each answer with its request."""
    requests = {request.token: request for request in history.submitted}
    return [
        (answered, requests[answered.token])
        for answered in history.answered
        if answered.token in requests
    ]


def tasks_reported_not_run(answered: Answered, request: Submitted) -> list[str]:
    """Return the ids of the tasks that an answer reports as not run."""
    if answered.answer.state == "not_run":
        return [task.id for task in request.job.tasks]
    if answered.answer.state == "failed":
        return [
            outcome.id
            for outcome in answered.answer.outcomes
            if outcome.state == "not_run"
        ]
    return []


def time_of_other_request(
    history: History, submission: str, answered: Answered
) -> float:
    """Return the time from which another request of the key may start its tasks.

    That is the time of the answer if another request was open then, else the
    time of the next request; infinity if there is none.
    """
    answer_times = {other.token: other.at_ms for other in history.answered}
    times = [
        max(request.at_ms, answered.at_ms)
        for request in history.submitted
        if request.job.submission == submission
        and request.token != answered.token
        and (
            request.at_ms > answered.at_ms
            or answer_times.get(request.token, float("inf")) > answered.at_ms
        )
    ]
    return min(times, default=float("inf"))


def requests_answered_in_time(history: History) -> list[str]:
    """Check that each request whose connection holds is answered in time.

    If its entry is paused, the answer may come shortly after the entry resumes.
    A request that arrives during the pause has its whole budget from then on,
    as the entry could not read it before.
    """
    violations = []
    answer_times = {answered.token: answered.at_ms for answered in history.answered}
    for request in history.submitted:
        if request.token in history.broken_tokens:
            continue
        limit_ms = request.at_ms + request.job.budget_ms
        for pause in history.paused:
            if (
                pause.node == request.entry
                and pause.from_ms <= limit_ms + MAX_ANSWER_DELAY_MS
            ):
                unread = (
                    request.at_ms >= pause.from_ms and request.at_ms < pause.until_ms
                )
                budget_ms = request.job.budget_ms if unread else 0
                limit_ms = max(limit_ms, pause.until_ms + budget_ms)
        limit_ms += MAX_ANSWER_DELAY_MS
        answered_ms = answer_times.get(request.token)
        if answered_ms is None:
            violations.append(
                f"{request.job.submission} at {request.entry}: never answered"
            )
        elif answered_ms > limit_ms:
            late_ms = answered_ms - limit_ms
            violations.append(f"{request.job.submission}: {late_ms:.0f} ms late")
    return violations


def answered_tasks_were_started(history: History) -> list[str]:
    """Check that each task reported as answered was started."""
    started = {(start.submission, start.task) for start in history.started}
    return [
        f"{answered.answer.submission}/{outcome.id} answered but never started"
        for answered in history.answered
        for outcome in answered.answer.outcomes
        if outcome.state == "answered"
        and (answered.answer.submission, outcome.id) not in started
    ]


def draining_agents_get_no_starts(history: History) -> list[str]:
    """Check that a draining agent starts no task and soon is sent no starts.

    Entries may send starts for a short time, until they know that it drains.
    """
    violations: list[str] = []
    for drained in history.drained:
        violations.extend(
            f"{drained.agent} started {start.task} after it began to drain"
            for start in history.started
            if start.agent == drained.agent and start.at_ms > drained.at_ms
        )
        violations.extend(
            f"{drained.agent} was sent a start {sent.at_ms - drained.at_ms:.0f} ms "
            f"after it began to drain"
            for sent in history.starts_sent
            if sent.agent == drained.agent
            and sent.at_ms > drained.at_ms + MAX_STARTS_AFTER_DRAIN_MS
        )
    return violations


def preset_versions_never_decrease(history: History) -> list[str]:
    """Check that no node returns to an older version of the preset.

    A version has the same name at all nodes, and only one change of the preset
    is accepted as that version.
    """
    violations = []
    latest_versions: dict[str, int] = {}
    names: dict[int, str] = {0: "ordinary"}
    for observed in history.presets:
        if observed.version < latest_versions.get(observed.node, 0):
            violations.append(f"{observed.node} reverted to version {observed.version}")
        latest_versions[observed.node] = observed.version
        if names.setdefault(observed.version, observed.name) != observed.name:
            violations.append(
                f"version {observed.version} is {observed.name} at {observed.node}"
            )
    accepted = Counter(
        change.version
        for change in history.preset_changes
        if change.outcome == "accepted"
    )
    violations.extend(
        f"version {version} was accepted {count} times"
        for version, count in accepted.items()
        if count > 1
    )
    return violations


def decision_code_raises_nothing(history: History) -> list[str]:
    """Check that decision code raised no exception."""
    return list(history.failures)


INVARIANTS = (
    non_idempotent_tasks_start_once,
    requests_get_one_answer,
    answers_cover_all_tasks,
    not_run_tasks_never_started,
    requests_answered_in_time,
    answered_tasks_were_started,
    draining_agents_get_no_starts,
    preset_versions_never_decrease,
    decision_code_raises_nothing,
)


def find_violations(history: History) -> list[str]:
    """Return all violations, each with the name of the violated invariant."""
    return [
        f"{invariant.__name__}: {violation}"
        for invariant in INVARIANTS
        for violation in invariant(history)
    ]
