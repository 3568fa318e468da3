"""Tests of evacuations with joined cores: no run starts in an evacuated data centre.

Only entry ``e`` reads the store unless a test says otherwise; the others learn of an
evacuation over links.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.evacuation import EvacuationsRead
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.common_events import Drain
from sardineferry.messages.burst import Evacuations
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import job
from tests.decision.burst.drive import route
from tests.decision.burst.drive import submit
from tests.decision.burst.joined import WARM_UP_MS
from tests.decision.burst.joined import JoinedCores

if TYPE_CHECKING:
    from collections.abc import Callable

RUN_MS = 50
# An order, or a list that passes an agent, arrives within this time.
RELAYED_MS = 10
DATA_CENTRES = {
    **dict.fromkeys("ea", "dc-1"),
    **dict.fromkeys("fb", "dc-2"),
    **dict.fromkeys("gc", "dc-3"),
}


@pytest.fixture
def joined() -> JoinedCores:
    fleet = JoinedCores("efg", route(), DATA_CENTRES)
    for agent in "abc":
        fleet.add_agent(agent, TOTAL, RUN_MS)
    fleet.advance_time(WARM_UP_MS)
    return fleet


def read_list(
    joined: JoinedCores, position: int, *names: str, entry: str = "e"
) -> None:
    """Let an entry read a list from the store, and wait until all know of it."""
    joined.handle(entry, EvacuationsRead(Evacuations(position, names)))
    joined.advance_time(RELAYED_MS)


def agents_with_starts(joined: JoinedCores, first_number: int, entries: str) -> str:
    """Submit a job at each entry; return the agents where tasks have started."""
    started_ms = joined.now_ms
    for number, entry in enumerate(entries, first_number):
        submitted = job(number, tasks=3, estimate_ms=RUN_MS)
        joined.handle(entry, submit(number, submitted))
    joined.advance_time(4 * RUN_MS)
    runs = [run for run in joined.runs() if run.start_ms >= started_ms]
    return "".join(sorted({run.agent for run in runs}))


@pytest.mark.parametrize(
    ("names", "agents"),
    [
        ((), "abc"),
        (("dc-2",), "ac"),
        (("dc-1", "dc-3"), "b"),
        (("dc-1", "dc-2", "dc-3"), ""),
        (("nowhere",), "abc"),
    ],
    ids=["none", "one", "several", "all", "unknown name"],
)
def test_no_run_starts_in_an_evacuated_data_centre(
    joined: JoinedCores, names: tuple[str, ...], agents: str
) -> None:
    """Guards against starts by entries that have not read the list themselves."""
    read_list(joined, 5, *names)
    assert agents_with_starts(joined, 1, "efg") == agents
    expected = ReplyKind.COMPLETED if agents else ReplyKind.NOT_RUN
    assert [reply.kind for reply in joined.replies] == [expected] * 3


def test_processes_send_nothing_before_a_first_evacuation(joined: JoinedCores) -> None:
    """Guards against messages in deployments that are never evacuated."""
    read_list(joined, 5)
    positions = {
        name: core.state.evacuation.current.position
        for name, core in joined.cores.items()
    }
    assert positions == {"e": 5, "f": -1, "g": -1, "a": -1, "b": -1, "c": -1}


def cut_links_of_agent(joined: JoinedCores) -> None:
    """Let agent ``b`` miss the list, as all its links are down."""
    entries = [entry for agent, entry in joined.links if agent == "b"]
    for entry in entries:
        joined.break_link("b", entry)
        joined.report_break("b", entry)
        joined.report_break(entry, "b")
    read_list(joined, 5, "dc-2")
    for entry in entries:
        joined.open_link("b", entry)


def restart_agent(joined: JoinedCores) -> None:
    """Let agent ``b`` forget the list."""
    read_list(joined, 5, "dc-2")
    joined.kill("b")
    joined.restart_agent("b")
    joined.workers["b"].report()


def drain_entry(joined: JoinedCores) -> None:
    """Let the evacuation begin while an entry drains."""
    joined.handle("f", Drain("signal"))
    read_list(joined, 5, "dc-2")


def lose_all_instances(joined: JoinedCores) -> None:
    """Let all processes forget the list; only ``e`` reads the store afterwards."""
    read_list(joined, 5, "dc-2")
    for name in "efgabc":
        joined.kill(name)
    for entry in "efg":
        joined.start_entry(entry, "i2")
    for agent in "abc":
        joined.restart_agent(agent)
        joined.workers[agent].report()
    joined.handle("e", EvacuationsRead(Evacuations(5, ("dc-2",))))
    joined.handle("e", ConfigurationRead(b"1"))
    joined.advance_time(WARM_UP_MS)


def keep_store_down(joined: JoinedCores) -> None:
    """Let the list age while nobody can read the store."""
    read_list(joined, 5, "dc-2")
    joined.advance_time(10_000)


def offer_older_lists(joined: JoinedCores) -> None:
    """Let an entry read an older list, and one send an older list, afterwards."""
    read_list(joined, 5, "dc-2")
    read_list(joined, 4, "dc-3", entry="f")
    joined.handle("b", Evacuations(3, ()), "g")


def miss_revocation_and_evacuation(joined: JoinedCores) -> None:
    """Let the list be revoked and written again while one entry can't read it."""
    read_list(joined, 3, "dc-2", "dc-3", entry="f")
    read_list(joined, 4, entry="g")
    read_list(joined, 5, "dc-2")


@pytest.mark.parametrize(
    "cause_failure",
    [
        cut_links_of_agent,
        restart_agent,
        drain_entry,
        lose_all_instances,
        keep_store_down,
        offer_older_lists,
        miss_revocation_and_evacuation,
    ],
)
def test_evacuation_holds_after_a_failure_until_it_is_revoked(
    joined: JoinedCores, cause_failure: Callable[[JoinedCores], None]
) -> None:
    """Guards against starts after a failure that makes processes miss the list.

    The entry that reads the revocation is another one than that which read the list.
    """
    cause_failure(joined)
    joined.advance_time(WARM_UP_MS)
    assert agents_with_starts(joined, 1, "efg") == "ac"
    read_list(joined, 6, entry="g")
    assert "b" in agents_with_starts(joined, 11, "efg" if "f" in joined.cores else "e")
    assert joined.simultaneous_runs() == []


def test_cut_off_part_learns_of_a_revocation_when_it_links_again(
    joined: JoinedCores,
) -> None:
    """Guards against a list that stays in force as its revocation was missed."""
    read_list(joined, 5, "dc-2")
    cut = [link for link in joined.links if link[0] == "b"]
    for agent, entry in cut:
        joined.break_link(agent, entry)
        joined.report_break(agent, entry)
        joined.report_break(entry, agent)
    joined.kill("e")
    joined.kill("g")
    joined.start_entry("g", "i2")
    # A process that has never seen an evacuation corrects the one that it is told of.
    read_list(joined, 6, entry="g")
    joined.open_link("b", "g")
    joined.advance_time(RELAYED_MS)
    state = joined.cores["b"].state
    assert state.evacuation.current == Evacuations(6, ())


def test_jobs_that_wait_are_refused_at_once_and_started_ones_end(
    joined: JoinedCores,
) -> None:
    """Guards against waiting for capacity that an evacuation has taken away."""
    for worker in joined.workers.values():
        worker.run_ms = 1_000
    for number in range(1, 9):
        submitted = job(number, tasks=4, estimate_ms=1_000)
        joined.handle("e", submit(number, submitted))
    joined.advance_time(RELAYED_MS)
    core = joined.cores["e"]
    assert isinstance(core, BurstEntryCore)
    waiting = [active for active in core.state.queue if not active.may_have_run]
    assert waiting
    read_list(joined, 5, "dc-1", "dc-2", "dc-3")
    assert {reply.token for reply in joined.replies} == {
        token for active in waiting for token in active.tokens
    }
    assert {reply.kind for reply in joined.replies} == {ReplyKind.NOT_RUN}
    joined.replies.clear()
    joined.advance_time(1_500)
    assert {reply.kind for reply in joined.replies} == {ReplyKind.COMPLETED}
