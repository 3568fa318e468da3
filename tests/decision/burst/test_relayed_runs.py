"""Tests of copies in deployments with several entries in a data centre.

Each agent is linked to one entry of each other data centre.
"""

from __future__ import annotations

import itertools

import pytest

from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry_state import UNINFORMED_MS
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.messages.burst import Resources
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import job
from tests.decision.burst.drive import route
from tests.decision.burst.drive import submit
from tests.decision.burst.joined import WARM_UP_MS
from tests.decision.burst.joined import JoinedCores

RUN_MS = 2_000
RETRANSMIT_MS = 1_300
# By then a report of a run has reached all entries: an order, a report, the interval
# between relayed messages, a relayed message and its way over an agent.
RELAYED_MS = 20
# The longest time until an entry has heard of tasks that are done: the delays of a
# report and of a relay.
DONE_RELAYED_MS = 650 + 200 + RELAYED_MS
STOPPED_MS = RELAYED_MS + 50
REFRESH_MS = 500
# As for agents that report themselves, see test_late_copies.
KEPT_MS = 1_266 + 2 * 200
LATE_COPY_MS = 2_000
# Agents dial an entry that has started again within this time.
LINK_DELAY_MS = 120
JOB = job(tasks=2, estimate_ms=RUN_MS)
# Three entries and two agents in each of two data centres, one of each in a third.
DATA_CENTRES = {
    **dict.fromkeys("ea", "dc-1"),
    **dict.fromkeys("fghbc", "dc-2"),
    **dict.fromkeys("ijkdx", "dc-3"),
}
ENTRIES = "efghijk"
AGENTS = "abcdx"


def make_fleet(run_ms: int = RUN_MS, without_room: str = "") -> JoinedCores:
    """Return the data centres, whose agents have linked to the entries they select."""
    joined = JoinedCores(ENTRIES, route(), DATA_CENTRES)
    for agent in AGENTS:
        total = TOTAL if agent not in without_room else Resources(1, 1, 0)
        joined.add_agent(agent, total, run_ms)
    joined.advance_time(WARM_UP_MS)
    return joined


def entries_of(joined: JoinedCores, data_centre: str) -> list[str]:
    return [name for name in joined.entries if DATA_CENTRES[name] == data_centre]


def unlinked_entries(joined: JoinedCores, agent: str) -> list[str]:
    """Return the entries that an agent is not linked to."""
    return [name for name in joined.entries if (agent, name) not in joined.links]


def informed_entry(joined: JoinedCores, agent: str, data_centre: str) -> str:
    """Return the entry of another data centre that an agent is linked to."""
    (name,) = [
        name
        for name in entries_of(joined, data_centre)
        if (agent, name) in joined.links
    ]
    return name


def lose_answer(joined: JoinedCores, end: str) -> None:
    """Let the first submission, at ``e``, end so that its caller got no answer."""
    joined.handle("e", submit(1, JOB))
    if end == "completed":
        joined.advance_time(RUN_MS + 100)
        assert joined.replies_to(1) == [ReplyKind.COMPLETED]
    else:
        joined.advance_time(500)
    if end == "caller left":
        joined.handle("e", CallerLeft(1))
    elif end == "killed":
        joined.kill("e")


@pytest.mark.parametrize("end", ["completed", "caller left", "killed"])
@pytest.mark.parametrize(
    ("second", "third"),
    [pair for pair in itertools.product("fgh", "ghijk") if len({*pair}) == 2],
)
def test_copy_at_an_entry_without_a_link_to_the_agent_never_meets_the_runs(
    end: str, second: str, third: str
) -> None:
    """Guards against review/6: nobody told the entry of the runs elsewhere."""
    joined = make_fleet()
    lose_answer(joined, end)
    joined.advance_time(RETRANSMIT_MS)
    joined.handle(second, submit(2, JOB))
    joined.advance_time(LATE_COPY_MS - RETRANSMIT_MS)
    joined.handle(third, submit(3, JOB))
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]
    assert joined.replies_to(3) == [ReplyKind.COMPLETED]


@pytest.mark.parametrize("run_ms", [150, RUN_MS])
@pytest.mark.parametrize("copy_delay_ms", [5, 60])
def test_copies_of_a_completed_job_are_answered_without_a_run(
    run_ms: int, copy_delay_ms: int
) -> None:
    """Guards against review/7: two entries that were not told of the tasks done."""
    joined = make_fleet(run_ms)
    short = job(tasks=2, estimate_ms=run_ms)
    joined.handle("e", submit(1, short))
    joined.advance_time(run_ms + DONE_RELAYED_MS)
    assert joined.replies_to(1) == [ReplyKind.COMPLETED]
    runs = joined.runs()
    for token, entry in enumerate("fghijk", 2):
        joined.handle(entry, submit(token, short))
        assert joined.replies_to(token) == [ReplyKind.COMPLETED]
        joined.advance_time(copy_delay_ms)
    assert joined.runs() == runs


def test_runs_that_an_entry_orders_elsewhere_are_known_to_its_neighbours() -> None:
    """Guards against telling of other entries' runs in another data centre alone."""
    # No worker of its own data centre has room.
    joined = make_fleet(without_room="bc")
    second = informed_entry(joined, "a", "dc-2")
    others = [name for name in "fgh" if name != second]
    joined.handle(second, submit(2, JOB))
    joined.advance_time(RELAYED_MS)
    assert {run.agent for run in joined.runs()} <= set("adx")
    for token, entry in enumerate(others, 3):
        joined.handle(entry, submit(token, JOB))
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert len(joined.runs()) == JOB.steps[0].tasks


@pytest.mark.parametrize("place", list("fghijk"))
def test_copy_of_a_job_that_was_cancelled_in_another_data_centre_is_not_run(
    place: str,
) -> None:
    """Guards against review/8: a cancellation reached one entry of each other one."""
    joined = make_fleet()
    submitted = submit(1, JOB)
    joined.handle("e", submitted)
    joined.advance_time(RELAYED_MS)
    joined.handle("e", CancelJob(2, submitted.host, submitted.path))
    joined.advance_time(RELAYED_MS)
    joined.handle(place, submit(3, JOB))
    joined.advance_time(RUN_MS)
    assert joined.replies_to(3) == [ReplyKind.CANCELLED]
    assert len(joined.runs()) == JOB.steps[0].tasks


@pytest.mark.parametrize("place", list("fghijk"))
def test_cancelling_at_an_entry_without_a_link_to_the_agent_stops_the_job(
    place: str,
) -> None:
    """Guards against a 410 for a job that runs in another data centre."""
    joined = make_fleet()
    submitted = submit(1, JOB)
    joined.handle("e", submitted)
    joined.advance_time(RELAYED_MS)
    joined.handle(place, CancelJob(2, submitted.host, submitted.path))
    joined.advance_time(STOPPED_MS)
    assert joined.replies_to(1) == [ReplyKind.CANCELLED]
    assert joined.replies_to(2) == [ReplyKind.CANCELLED]
    assert all(run.end_ms is not None for run in joined.runs())
    for token, entry in enumerate(ENTRIES, 3):
        joined.handle(entry, submit(token, JOB))
        assert joined.replies_to(token) == [ReplyKind.CANCELLED]


@pytest.mark.parametrize(
    "trouble",
    [
        "relay killed",
        "relay cut off unnoticed",
        "informed entry killed",
        "owner killed",
    ],
)
def test_copy_meets_no_run_although_what_relayed_it_is_lost(trouble: str) -> None:
    """Guards against forgetting runs that go on with a process that told of them."""
    joined = make_fleet(run_ms=3 * RUN_MS)
    submitted = job(tasks=2, estimate_ms=3 * RUN_MS)
    joined.handle("e", submit(1, submitted))
    joined.advance_time(RELAYED_MS)
    agent = joined.runs()[0].agent
    data_centre = next(
        dc for dc in ("dc-2", "dc-3") if dc != joined.data_centre_of(agent)
    )
    told = informed_entry(joined, agent, data_centre)
    core = joined.cores[told]
    assert isinstance(core, BurstEntryCore)
    relay = core.state.run_relay.link
    assert relay in joined.workers
    if trouble == "relay killed":
        joined.kill(relay)
    elif trouble == "relay cut off unnoticed":
        for link in [link for link in joined.links if link[0] == relay]:
            joined.break_link(*link)
    elif trouble == "informed entry killed":
        joined.kill(told)
    else:
        joined.kill(agent)
        joined.restart_agent(agent)
    joined.advance_time(700)
    for token, entry in enumerate(entries_of(joined, data_centre), 2):
        joined.handle(entry, submit(token, submitted))
    joined.advance_time(4 * RUN_MS)
    assert joined.simultaneous_runs() == []


@pytest.mark.parametrize("data_centre", ["dc-2", "dc-3"])
def test_data_centre_soon_has_another_informed_entry(data_centre: str) -> None:
    """Guards against runs that nobody is told of while an entry starts again."""
    joined = make_fleet()
    told = informed_entry(joined, "a", data_centre)
    joined.kill(told)
    joined.advance_time(250)
    joined.handle("e", submit(1, JOB))
    joined.advance_time(RELAYED_MS)
    others = [name for name in entries_of(joined, data_centre) if name != told]
    for token, entry in enumerate(others, 2):
        joined.handle(entry, submit(token, JOB))
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []


def test_entry_that_has_just_started_is_told_what_was_relayed_before() -> None:
    """Guards against a copy at an entry that started after the relayed messages."""
    joined = make_fleet()
    joined.handle("e", submit(1, JOB))
    joined.advance_time(RELAYED_MS)
    agent = joined.runs()[0].agent
    restarted = next(
        name
        for name in unlinked_entries(joined, agent)
        if DATA_CENTRES[name] != DATA_CENTRES[agent]
    )
    joined.kill(restarted)
    joined.advance_time(100)
    joined.restart_entry(restarted)
    joined.handle(restarted, ConfigurationRead(b"1"))
    joined.advance_time(10)
    joined.handle(restarted, submit(2, JOB))
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]


@pytest.mark.parametrize("lost", ["entry", "agent", "entry and agent"])
def test_relayed_runs_of_lost_processes_do_not_delay_the_next_submission(
    lost: str,
) -> None:
    """Guards against holding a job for longer than its runs can last."""
    joined = make_fleet(run_ms=4 * RUN_MS, without_room="bc")
    submitted = job(tasks=2, estimate_ms=4 * RUN_MS)
    first = informed_entry(joined, "a", "dc-2")
    joined.handle(first, submit(1, submitted))
    joined.advance_time(REFRESH_MS)
    ordered = joined.runs()
    assert ordered
    assert {DATA_CENTRES[run.agent] for run in ordered} <= {"dc-1", "dc-3"}
    if "entry" in lost:
        joined.kill(first)
    if "agent" in lost:
        for agent in {run.agent for run in ordered}:
            joined.kill(agent)
            joined.workers[agent].crash()
    lost_ms = joined.now_ms
    joined.advance_time(RETRANSMIT_MS)
    second = next(name for name in "fgh" if name != first)
    joined.handle(second, submit(2, submitted))
    bound_ms = RETRANSMIT_MS if lost == "entry" else KEPT_MS
    joined.advance_time(bound_ms - RETRANSMIT_MS + 100)
    later = [run for run in joined.runs() if run.start_ms > lost_ms]
    assert len(later) == submitted.steps[0].tasks
    assert joined.simultaneous_runs() == []


@pytest.mark.parametrize("end", ["caller left", "killed"])
@pytest.mark.parametrize(
    ("second", "third"), [("f", "g"), ("g", "h"), ("f", "k"), ("g", "i")]
)
@pytest.mark.parametrize("copy_delay_ms", [RELAYED_MS, 60])
def test_copies_of_a_job_whose_short_runs_were_lost_never_meet(
    end: str, second: str, third: str, copy_delay_ms: int
) -> None:
    """Guards against two entries that both take a copy for a new request."""
    run_ms = 150
    joined = make_fleet(run_ms)
    short = job(tasks=2, estimate_ms=run_ms)
    joined.handle("e", submit(1, short))
    joined.advance_time(50)
    if end == "caller left":
        joined.handle("e", CallerLeft(1))
    else:
        joined.kill("e")
    joined.advance_time(RETRANSMIT_MS)
    assert joined.replies_to(1) == []
    joined.handle(second, submit(2, short))
    joined.advance_time(copy_delay_ms)
    joined.handle(third, submit(3, short))
    joined.advance_time(1_000)
    assert joined.simultaneous_runs() == []
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]
    assert joined.replies_to(3) == [ReplyKind.COMPLETED]


@pytest.mark.parametrize("copy_delay_ms", [RELAYED_MS, 60])
def test_entry_that_has_just_started_tells_others_of_all_its_runs(
    copy_delay_ms: int,
) -> None:
    """Guards against taking a copy for a new request for want of knowledge."""
    run_ms = 150
    joined = make_fleet(run_ms)
    short = job(tasks=2, estimate_ms=run_ms)
    joined.kill("f")
    joined.advance_time(1_000)
    joined.restart_entry("f")
    joined.handle("f", ConfigurationRead(b"1"))
    joined.advance_time(500)
    joined.handle("f", submit(1, short))
    joined.advance_time(copy_delay_ms)
    for token, entry in enumerate("ghijk", 2):
        joined.handle(entry, submit(token, short))
    joined.advance_time(1_000)
    assert joined.simultaneous_runs() == []
    assert len(joined.runs()) == short.steps[0].tasks


@pytest.mark.parametrize("place", list("fghijk"))
def test_cancelling_at_an_entry_that_does_not_know_a_waiting_job_cancels_it(
    place: str,
) -> None:
    """Guards against review/9: nobody reports jobs that wait."""
    joined = make_fleet()
    room = len(AGENTS) * TOTAL.cpu // NEED.cpu
    joined.handle("e", submit(100, job(2, tasks=room, estimate_ms=RUN_MS)))
    joined.advance_time(RELAYED_MS)
    waiting = submit(1, JOB)
    joined.handle("e", waiting)
    joined.advance_time(100)
    joined.handle(place, CancelJob(2, waiting.host, waiting.path))
    joined.advance_time(2 * RUN_MS)
    assert joined.replies_to(1) == [ReplyKind.CANCELLED]
    assert joined.replies_to(2) == [ReplyKind.NO_JOB]
    assert len(joined.runs()) == room
    for token, entry in enumerate(ENTRIES, 3):
        joined.handle(entry, submit(token, JOB))
        assert joined.replies_to(token) == [ReplyKind.CANCELLED]


@pytest.mark.parametrize("is_noticed", [False, True])
def test_job_that_was_cancelled_without_links_is_cancelled_once_they_are_back(
    is_noticed: bool,
) -> None:
    """Guards against review/10: an entry that has frozen tells nobody."""
    joined = make_fleet()
    submitted = submit(1, JOB)
    joined.handle("e", submitted)
    joined.advance_time(RELAYED_MS)
    links = [link for link in joined.links if link[1] == "e"]
    for link in links:
        joined.break_link(*link)
        if is_noticed:
            joined.report_break("e", link[0])
    joined.handle("e", CancelJob(2, submitted.host, submitted.path))
    for link in links:
        joined.report_break(*link)
        joined.open_link(*link)
    joined.advance_time(RELAYED_MS)
    for token, entry in enumerate(ENTRIES, 3):
        joined.handle(entry, submit(token, JOB))
        assert joined.replies_to(token) == [ReplyKind.CANCELLED]
    joined.advance_time(RUN_MS)
    assert len(joined.runs()) == JOB.steps[0].tasks


@pytest.mark.parametrize("places", ["ijk", "fghijk", "gk"])
def test_entries_that_hold_copies_release_them_one_after_the_other(
    places: str,
) -> None:
    """Guards against many entries that start a job at once when its runs are lost."""
    joined = make_fleet(run_ms=2 * RUN_MS)
    submitted = job(tasks=2, estimate_ms=2 * RUN_MS)
    joined.handle("e", submit(1, submitted))
    joined.advance_time(RELAYED_MS)
    for token, entry in enumerate(places, 2):
        joined.handle(entry, submit(token, submitted))
    joined.advance_time(100)
    joined.handle("e", CallerLeft(1))
    joined.advance_time(5 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert len(joined.runs()) == 2 * submitted.steps[0].tasks
    for token in range(2, 2 + len(places)):
        assert joined.replies_to(token) == [ReplyKind.COMPLETED]


def test_entry_that_starts_waits_for_the_links_of_all_agents() -> None:
    """Guards against a copy that is run before the agent of its job has linked."""
    joined = make_fleet()
    joined.handle("f", submit(1, JOB))
    joined.advance_time(RELAYED_MS)
    joined.kill("g")
    joined.advance_time(1_000)
    joined.start_entry("g", "again")
    joined.handle("g", ConfigurationRead(b"1"))
    linked = [agent for agent in AGENTS if "g" in joined.linked_entries[agent]]
    busy = {run.agent for run in joined.runs()}
    idle = [agent for agent in linked if agent not in busy]
    assert idle
    assert busy <= set(linked)
    for agent in idle:
        joined.open_link(agent, "g")
    joined.advance_time(5)
    joined.handle("g", submit(2, JOB))
    joined.advance_time(LINK_DELAY_MS - 5)
    for agent in busy:
        joined.open_link(agent, "g")
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]


@pytest.mark.parametrize("place", list("fghijk"))
def test_entry_that_starts_later_is_told_of_cancelled_jobs(place: str) -> None:
    """Guards against a copy at an entry that was down when its job was cancelled."""
    joined = make_fleet()
    submitted = submit(1, JOB)
    joined.handle("e", submitted)
    joined.advance_time(RELAYED_MS)
    joined.kill(place)
    joined.handle("e", CancelJob(2, submitted.host, submitted.path))
    joined.advance_time(LATE_COPY_MS)
    joined.restart_entry(place)
    joined.handle(place, ConfigurationRead(b"1"))
    joined.advance_time(10)
    joined.handle(place, submit(3, JOB))
    assert joined.replies_to(3) == [ReplyKind.CANCELLED]


def test_first_requests_cost_few_relayed_messages() -> None:
    """Guards against processor time for runs that no copy can meet yet."""
    run_ms = 250
    joined = make_fleet(run_ms)
    joined.advance_time(UNINFORMED_MS)
    cores = [joined.cores[entry] for entry in "fghijk"]
    for number in range(10, 50):
        joined.handle("e", submit(number, job(number, estimate_ms=run_ms)))
        joined.advance_time(25)
    # Every 200 ms, and a complete list every 500 ms.
    for core in cores:
        assert isinstance(core, BurstEntryCore)
        assert core.state.counters["relays_sent"] <= 8


def test_copy_of_a_first_request_never_meets_its_runs_elsewhere() -> None:
    """Guards against runs that nobody relays before a copy can come."""
    joined = make_fleet()
    joined.advance_time(UNINFORMED_MS)
    joined.handle("e", submit(1, JOB))
    joined.advance_time(RETRANSMIT_MS)
    for token, entry in enumerate("fghijk", 2):
        joined.handle(entry, submit(token, JOB))
    joined.advance_time(RUN_MS)
    assert len(joined.runs()) == JOB.steps[0].tasks
    for token in range(1, 8):
        assert joined.replies_to(token) == [ReplyKind.COMPLETED]


def test_runs_of_an_entry_that_has_just_started_are_relayed_at_once() -> None:
    """Guards against copies at entries that neither know the job nor are told soon."""
    joined = make_fleet()
    joined.kill("e")
    joined.advance_time(UNINFORMED_MS)
    joined.restart_entry("e")
    joined.handle("e", ConfigurationRead(b"1"))
    joined.advance_time(500)
    # Other runs, so that a complete list has just been relayed.
    joined.handle("e", submit(100, job(2, estimate_ms=RUN_MS)))
    joined.advance_time(2 * RELAYED_MS)
    joined.handle("e", submit(1, JOB))
    joined.advance_time(RELAYED_MS)
    for token, entry in enumerate("fghijk", 2):
        joined.handle(entry, submit(token, JOB))
    joined.advance_time(RUN_MS)
    assert joined.simultaneous_runs() == []
    assert len(joined.runs()) == 1 + JOB.steps[0].tasks
