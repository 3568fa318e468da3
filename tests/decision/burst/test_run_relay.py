"""Tests of when an entry relays runs, and of agents that pass its messages on."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.other_runs import RelayingEntry
from sardineferry.decision.burst.run_relay import RelayedJob
from sardineferry.decision.burst.run_relay import RunRelay
from sardineferry.decision.burst.run_relay import RunSnapshot
from sardineferry.decision.effects import Send
from sardineferry.messages.burst import AgentRuns
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import RelayedRuns
from tests.decision.burst.drive import LINK
from tests.decision.burst.drive import AgentDriver

ENTRY = RelayingEntry("e", "i")
NOW_MS = 10_000
JOB_ID = "a1"
RUNNING: RunSnapshot = {RelayedJob("a", "1", JOB_ID, "f"): frozenset({0, 1})}
PART: RunSnapshot = {RelayedJob("a", "1", JOB_ID, "f"): frozenset({1})}
OTHER_LINK = "10.0.0.2:7000"
REMOTE_LINK = "10.1.0.1:7000"


def agent_runs(*tasks: int) -> tuple[AgentRuns, ...]:
    return (AgentRuns("a", "1", (JobTasks(JOB_ID, "f", tasks),)),)


@pytest.fixture
def relay() -> RunRelay:
    """Return a relay that has sent a complete list of ``RUNNING``."""
    relay = RunRelay()
    relay.use_link("b")
    message = relay.take_message(ENTRY, RUNNING, NOW_MS)
    assert message == RelayedRuns(
        "e", "i", 1, running=agent_runs(0, 1), is_complete=True
    )
    return relay


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (RUNNING, None),
        (PART, RelayedRuns("e", "i", 2, ended=agent_runs(0))),
        ({}, RelayedRuns("e", "i", 2, ended=agent_runs(0, 1))),
    ],
)
def test_only_changes_are_relayed_between_two_complete_lists(
    relay: RunRelay, now: RunSnapshot, expected: RelayedRuns | None
) -> None:
    assert relay.take_message(ENTRY, now, NOW_MS + 10) == expected


def test_complete_list_is_repeated_and_after_a_change_of_the_agent_sent_at_once(
    relay: RunRelay,
) -> None:
    """Guards against news that was lost with the agent that passes it on."""
    assert not relay.is_due(NOW_MS + 499)
    assert relay.is_due(NOW_MS + 500)
    relay.use_link("c")
    assert relay.is_due(NOW_MS + 10)
    message = relay.take_message(ENTRY, PART, NOW_MS + 10)
    assert message == RelayedRuns("e", "i", 2, running=agent_runs(1), is_complete=True)


@pytest.mark.parametrize(("is_urgent", "due_after_ms"), [(True, 10), (False, 200)])
def test_changes_are_relayed_together(
    relay: RunRelay, is_urgent: bool, due_after_ms: int
) -> None:
    """Guards against a message for each run of a busy deployment."""
    relay.note_change(NOW_MS, is_urgent=is_urgent)
    assert not relay.is_due(NOW_MS + due_after_ms - 1)
    assert relay.is_due(NOW_MS + due_after_ms)
    assert relay.next_due_ms() == NOW_MS + due_after_ms


def test_urgent_change_does_not_wait_with_others(relay: RunRelay) -> None:
    relay.note_done([JobTasks("short", "f", (0,))], NOW_MS)
    relay.note_change(NOW_MS + 50, is_urgent=True)
    assert relay.is_due(NOW_MS + 50)


@pytest.mark.parametrize(
    ("link", "after_ms", "is_repeated"),
    [("b", 100, True), ("b", 2_001, False), ("another", 100, False)],
)
def test_news_that_may_be_lost_with_its_link_is_sent_again(
    relay: RunRelay, link: str, after_ms: int, is_repeated: bool
) -> None:
    """Guards against done tasks that nobody hears of, as no list repeats them."""
    done = JobTasks("short", "f", (0,))
    relay.note_done([done], NOW_MS)
    relay.note_lost(["broken off"], NOW_MS)
    relay.note_cancelled("unwanted", NOW_MS)
    first = relay.take_message(ENTRY, RUNNING, NOW_MS + 10)
    assert first == RelayedRuns(
        "e", "i", 2, done=(done,), lost=("broken off",), cancelled=("unwanted",)
    )
    lost_ms = NOW_MS + 10 + after_ms
    relay.lose_link(link, lost_ms)
    relay.use_link("c" if link == "b" else "b")
    repeated = relay.take_message(ENTRY, {}, lost_ms)
    assert repeated is not None
    assert (repeated.done, repeated.lost, repeated.cancelled) == (
        (first.done, first.lost, first.cancelled) if is_repeated else ((), (), ())
    )


def passed_on(agent: AgentDriver) -> list[tuple[str, RelayedRuns]]:
    return [
        (effect.to, effect.message)
        for effect in agent.effects
        if isinstance(effect, Send) and isinstance(effect.message, RelayedRuns)
    ]


def test_agent_passes_relayed_runs_on_to_the_entries_of_its_data_centre_only() -> None:
    agent = AgentDriver()
    agent.link(OTHER_LINK, "f")
    agent.link(REMOTE_LINK, "g", data_centre="other")
    message = RelayedRuns("e", "i", 1, running=agent_runs(0))
    agent.handle(message, LINK)
    assert passed_on(agent) == [(OTHER_LINK, message)]


def test_agent_repeats_what_was_relayed_for_an_entry_that_links_later() -> None:
    """Guards against an entry that starts between two complete lists."""
    agent = AgentDriver()
    earlier = RelayedRuns("e", "i", 1, running=agent_runs(0), is_complete=True)
    complete = RelayedRuns("e", "i", 2, running=agent_runs(1), is_complete=True)
    later = RelayedRuns("e", "i", 3, ended=agent_runs(1))
    for message in (earlier, complete, later):
        agent.handle(message, LINK)
    agent.tick(100)
    agent.effects.clear()
    agent.link(OTHER_LINK, "f")
    expected = [message._replace(age_ms=100) for message in (complete, later)]
    assert passed_on(agent) == [(OTHER_LINK, message) for message in expected]
