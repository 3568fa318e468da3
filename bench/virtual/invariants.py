"""The laws of the brief, evaluated on a recorded history."""

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

LATE_GRACE_MS = 500.0
LEAVE_GRACE_MS = 2_000.0


def non_idempotent_tasks_start_once(history: History) -> list[str]:
    """Check that no non-idempotent task of a submission starts twice."""
    counts = Counter(
        (item.submission, item.task) for item in history.started if not item.idempotent
    )
    return [
        f"{key} started {count} times" for key, count in counts.items() if count > 1
    ]


def answered_once(history: History) -> list[str]:
    """Check that each request gets at most one answer."""
    counts = Counter(item.token for item in history.answered)
    return [
        f"request {token} answered {n} times" for token, n in counts.items() if n > 1
    ]


def answered_whole(history: History) -> list[str]:
    """Check that each task of an ended job has its own answer or outcome."""
    found = []
    jobs = {item.token: item.job for item in history.submitted}
    for item in history.answered:
        job = jobs.get(item.token)
        answer = item.answer
        if job is None or answer.state not in ("complete", "failed"):
            continue
        expected = {task.id for task in job.tasks}
        ids = [outcome.id for outcome in answer.outcomes]
        if len(ids) != len(expected) or set(ids) != expected:
            found.append(f"{job.submission}: {answer.state} with tasks {sorted(ids)}")
        wrong = [
            outcome
            for outcome in answer.outcomes
            if outcome.state == "answered"
            and outcome.answer != f"{job.submission}/{outcome.id}"
        ]
        if wrong or answer.submission != job.submission:
            found.append(f"{job.submission}: somebody else's answer {wrong}")
        half = any(outcome.state != "answered" for outcome in answer.outcomes)
        if answer.state == "complete" and half:
            found.append(f"{job.submission}: complete but half-answered")
    return found


def not_run_is_true(history: History) -> list[str]:
    """Check that what is told as not run starts only if it is asked for again.

    For idempotent tasks, which another request may run elsewhere, only keys
    that were submitted once are held to it.
    """
    found = []
    starts: dict[tuple[str, str], list[Started]] = defaultdict(list)
    for start in history.started:
        starts[start.submission, start.task].append(start)
    requests = Counter(item.job.submission for item in history.submitted)
    for item, submitted in answers_with_requests(history):
        submission = submitted.job.submission
        again_ms = asked_again(history, submission, item)
        for task in tasks_told_not_run(item, submitted):
            wrong = [
                start.at_ms
                for start in starts[submission, task]
                if (start.at_ms < item.at_ms or start.at_ms < again_ms)
                and not (start.idempotent and requests[submission] > 1)
            ]
            if wrong:
                found.append(
                    f"{submission}/{task} told not run at {item.at_ms}, started {wrong}"
                )
    return found


def answers_with_requests(history: History) -> list[tuple[Answered, Submitted]]:
    """Pair each answer with its request."""
    requests = {item.token: item for item in history.submitted}
    return [
        (item, requests[item.token])
        for item in history.answered
        if item.token in requests
    ]


def tasks_told_not_run(item: Answered, submitted: Submitted) -> list[str]:
    """Return the ids of tasks that an answer tells as not run."""
    if item.answer.state == "not_run":
        return [task.id for task in submitted.job.tasks]
    if item.answer.state == "failed":
        return [row.id for row in item.answer.outcomes if row.state == "not_run"]
    return []


def asked_again(history: History, submission: str, told: Answered) -> float:
    """Return from when starts of a key are asked for by another request.

    That is a later submission, or at once if a request is open elsewhere.
    """
    answered = {item.token: item.at_ms for item in history.answered}
    times = [
        max(item.at_ms, told.at_ms)
        for item in history.submitted
        if item.job.submission == submission
        and item.token != told.token
        and (
            item.at_ms > told.at_ms
            or answered.get(item.token, float("inf")) > told.at_ms
        )
    ]
    return min(times, default=float("inf"))


def answered_in_time(history: History) -> list[str]:
    """Check that each request with a live connection is answered in time.

    A request to an entry that freezes is answered soon after the entry goes
    on; one that arrives while it is frozen has its budget from then.
    """
    found = []
    answers = {item.token: item.at_ms for item in history.answered}
    for item in history.submitted:
        if item.token in history.broken_tokens:
            continue
        limit_ms = item.at_ms + item.job.budget_ms
        for pause in history.paused:
            if pause.node == item.entry and pause.from_ms <= limit_ms + LATE_GRACE_MS:
                unread = item.at_ms >= pause.from_ms and item.at_ms < pause.until_ms
                budget_ms = item.job.budget_ms if unread else 0
                limit_ms = max(limit_ms, pause.until_ms + budget_ms)
        limit_ms += LATE_GRACE_MS
        answered_ms = answers.get(item.token)
        if answered_ms is None:
            found.append(f"{item.job.submission} at {item.entry}: never answered")
        elif answered_ms > limit_ms:
            late_ms = answered_ms - limit_ms
            found.append(f"{item.job.submission}: {late_ms:.0f} ms late")
    return found


def answers_have_starts(history: History) -> list[str]:
    """Check that an answered task was started."""
    started = {(item.submission, item.task) for item in history.started}
    return [
        f"{item.answer.submission}/{outcome.id} answered but never started"
        for item in history.answered
        for outcome in item.answer.outcomes
        if outcome.state == "answered"
        and (item.answer.submission, outcome.id) not in started
    ]


def leaving_gets_nothing(history: History) -> list[str]:
    """Check that an agent that leaves starts nothing, and soon is sent nothing."""
    found: list[str] = []
    for left in history.drained:
        found.extend(
            f"{left.agent} started {item.task} after it began to leave"
            for item in history.started
            if item.agent == left.agent and item.at_ms > left.at_ms
        )
        found.extend(
            f"{left.agent} was sent a start {item.at_ms - left.at_ms:.0f} ms later"
            for item in history.starts_sent
            if item.agent == left.agent and item.at_ms > left.at_ms + LEAVE_GRACE_MS
        )
    return found


def preset_versions_never_decrease(history: History) -> list[str]:
    """Check that versions only grow, each with one name everywhere."""
    found = []
    latest: dict[str, int] = {}
    names: dict[int, str] = {0: "ordinary"}
    for seen in history.presets:
        if seen.version < latest.get(seen.node, 0):
            found.append(f"{seen.node} reverted to version {seen.version}")
        latest[seen.node] = seen.version
        if names.setdefault(seen.version, seen.name) != seen.name:
            found.append(f"version {seen.version} is {seen.name} at {seen.node}")
    accepted = Counter(
        item.version for item in history.preset_changes if item.outcome == "accepted"
    )
    found.extend(
        f"version {version} was accepted {count} times"
        for version, count in accepted.items()
        if count > 1
    )
    return found


def rules_do_not_fail(history: History) -> list[str]:
    """Check that no rule raised an error."""
    return list(history.failures)


INVARIANTS = (
    non_idempotent_tasks_start_once,
    answered_once,
    answered_whole,
    not_run_is_true,
    answered_in_time,
    answers_have_starts,
    leaving_gets_nothing,
    preset_versions_never_decrease,
    rules_do_not_fail,
)


def find_violations(history: History) -> list[str]:
    """Return every violation of every law, each with the law's name."""
    return [
        f"{law.__name__}: {violation}"
        for law in INVARIANTS
        for violation in law(history)
    ]
