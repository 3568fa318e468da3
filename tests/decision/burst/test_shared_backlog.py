"""Tests of the backlog that entries share, and replays of uneven load."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry_callers import estimate_rates
from sardineferry.decision.burst.entry_callers import forecast_priority_wait_ms
from sardineferry.decision.burst.overload import ArrivalRates
from sardineferry.decision.burst.overload import find_prioritised_services
from sardineferry.decision.burst.overload.agent_backlog import FORWARD_INTERVAL_MS
from sardineferry.decision.burst.overload.agent_backlog import StatedBacklogs
from sardineferry.decision.burst.overload.backlog import BACKLOG_VALID_MS
from sardineferry.decision.burst.overload.backlog import KnownBacklog
from sardineferry.decision.burst.overload.backlog import find_shared_agents
from sardineferry.decision.burst.overload.entry_backlog import read_backlog_gauges
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.messages.burst import AgentBeat
from sardineferry.messages.burst import EntryBacklog
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.messages.burst import PriorityWork
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import WorkerRoom
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import logged
from tests.decision.burst.drive import route
from tests.decision.burst.drive import sent
from tests.decision.burst.drive import submit
from tests.decision.burst.uneven_load import GOAL_MS
from tests.decision.burst.uneven_load import URGENT_PATH
from tests.decision.burst.uneven_load import JobRecord
from tests.decision.burst.uneven_load import SharedWorkers
from tests.decision.burst.uneven_load import Stream

NOW_MS = 50_000
SOME = (PriorityWork(0, 100), PriorityWork(2, 40))
MORE = (PriorityWork(1, 500),)
ESTIMATE_MS = 200
# The work of one waiting task of the replayed jobs.
TASK_WORK = NEED.cpu * ESTIMATE_MS


def entry_with_priorities(*, different: bool = True) -> EntryDriver:
    """Return an entry whose second route, if so, is less urgent."""
    entry = EntryDriver(configured=False)
    lower = route(path_prefix="/l/", name="l", priority=int(different))
    entry.configuration = Configuration(1, (route(), lower), EdgeLimits(), b"1")
    entry.handle(ConfigurationRead(b"1"))
    return entry


def hear(entry: EntryDriver, *backlogs: EntryBacklog, agent: str = "a") -> None:
    view = entry.state.agents[agent]
    free = view.reported_free
    entry.handle(WorkerRoom(entry.now_ms, free, True, 0, 0.0, 0, backlogs), agent)


@pytest.mark.parametrize(
    ("routes", "services"),
    [
        ([], set()),
        ([route(), route(name="s")], set()),
        ([route(), route(service="other", priority=1)], set()),
        ([route(), route(priority=1), route(service="other")], {"desk"}),
    ],
)
def test_services_with_priorities(routes: list[object], services: set[str]) -> None:
    """Services of one priority each must be served as before."""
    assert find_prioritised_services(routes).keys() == services  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("priority", "age_ms", "work"),
    [
        (0, 0, 100),
        (1, 0, 100),
        (2, 0, 140),
        (-1, 0, 0),
        (2, BACKLOG_VALID_MS, 140),
        (2, BACKLOG_VALID_MS + 1, 0),
    ],
)
def test_work_ahead_counts_valid_statements_up_to_the_priority(
    priority: int, age_ms: int, work: float
) -> None:
    """Less urgent work, or what a silent entry had, must not cause refusals."""
    known = KnownBacklog()
    known.add(NOW_MS, [EntryBacklog("f", 0, SOME)])
    now_ms = NOW_MS + age_ms
    assert known.work_ahead(priority, now_ms) == work
    assert known.is_known(now_ms) == (age_ms <= BACKLOG_VALID_MS)
    known.expire(now_ms)
    assert bool(known.statements) == (age_ms <= BACKLOG_VALID_MS)


@pytest.mark.parametrize(
    ("statements", "work"),
    [
        ([(30, MORE), (10, SOME)], 140),
        ([(10, SOME), (30, MORE)], 140),
        ([(30, MORE), (10, ())], 0),
        ([(10, ()), (30, MORE)], 0),
    ],
)
def test_newest_statement_of_an_entry_counts(
    statements: list[tuple[int, tuple[PriorityWork, ...]]], work: float
) -> None:
    """An older statement may arrive later, through another agent."""
    known = KnownBacklog()
    for age_ms, waiting in statements:
        known.add(NOW_MS, [EntryBacklog("f", age_ms, waiting)])
    assert known.work_ahead(9, NOW_MS) == work
    assert known.is_known(NOW_MS) == bool(work)


def test_work_for_shared_workers_counts_by_the_part_that_is_shared() -> None:
    """Else capacity is left to work that other data centres do themselves."""
    entries = [
        EntryEndpoint(name, name, data_centre, "i")
        for name, data_centre in (("e", "x"), ("f", "x"), ("g", "y"))
    ]
    agents = {"a": "x", "b": "x", "c": "y", "d": "y"}
    shared = find_shared_agents(entries, agents)
    assert shared["g"] == set("abcd")
    # Each agent of y links to one of e and f.
    assert shared["e"] | shared["f"] == set("abcd")
    assert shared["e"] & shared["f"] == set("ab")
    known = KnownBacklog()
    known.shared_agents = {"f": set("ab")}
    known.agent_count = 4
    known.add(NOW_MS, [EntryBacklog("f", 0, MORE), EntryBacklog("g", 0, MORE)])
    assert known.work_by_priority(NOW_MS, only_shared=True) == {1: 750}
    assert known.work_ahead(1, NOW_MS) == 1_000


def test_statement_is_forwarded_again_only_if_newer_and_due() -> None:
    """Each capacity update with a statement costs each entry bytes and time."""
    stated = StatedBacklogs()
    stated.record("e", NOW_MS, SOME)
    assert stated.take_news("e", NOW_MS) == ()
    assert stated.take_news("f", NOW_MS + 3) == (EntryBacklog("e", 3, SOME),)
    assert stated.take_news("f", NOW_MS + FORWARD_INTERVAL_MS + 3) == ()
    stated.record("e", NOW_MS + 4, MORE)
    assert stated.take_news("f", NOW_MS + 50) == ()
    assert stated.take_news("g", NOW_MS + 50) == (EntryBacklog("e", 46, MORE),)
    later_ms = NOW_MS + FORWARD_INTERVAL_MS + 3
    assert stated.take_news("f", later_ms) == (EntryBacklog("e", 99, MORE),)


def test_end_of_waiting_is_forwarded_once_to_those_that_know_otherwise() -> None:
    """An entry would count work that is done until the statement expires."""
    stated = StatedBacklogs()
    stated.record("e", NOW_MS, SOME)
    stated.take_news("f", NOW_MS)
    stated.record("e", NOW_MS + 10, ())
    assert stated.take_news("g", NOW_MS + 10) == ()
    assert stated.take_news("f", NOW_MS + 11) == (EntryBacklog("e", 1, ()),)
    assert stated.take_news("f", NOW_MS + 200) == ()


@pytest.mark.parametrize("lose", ["silence", "restart"])
def test_agent_forwards_no_statement_of_a_lost_entry(lose: str) -> None:
    """A restarted entry has no jobs; of a silent one nothing is known."""
    stated = StatedBacklogs()
    stated.record("e", NOW_MS, SOME)
    now_ms = NOW_MS
    if lose == "restart":
        stated.forget("e")
    else:
        now_ms += BACKLOG_VALID_MS + 1
    assert stated.take_news("f", now_ms) == ()


@pytest.mark.parametrize(
    ("different", "tasks", "waiting"),
    [
        (True, 10, (PriorityWork(0, 2 * TASK_WORK // 2),)),
        (True, 8, ()),
        (False, 10, ()),
    ],
)
def test_echo_states_waiting_work_if_priorities_differ(
    different: bool, tasks: int, waiting: tuple[PriorityWork, ...]
) -> None:
    """Nothing is stated when nothing waits, and where jobs are served as before."""
    entry = entry_with_priorities(different=different)
    entry.handle(submit(1, job(1, tasks)))
    beat = sent(entry.handle(AgentBeat(entry.now_ms), "a"), EntryBeat)[-1]
    assert beat.waiting == waiting


def test_forecast_counts_known_work_of_others() -> None:
    """Without it an entry with a short queue admits jobs that then wait for others'."""
    entry = entry_with_priorities()
    capacity = 2.0 * TOTAL.cpu
    now_ms = entry.now_ms
    assert forecast_priority_wait_ms(entry.state, 1, now_ms) == 0.0
    work = (PriorityWork(0, 800_000), PriorityWork(1, 400_000))
    hear(entry, EntryBacklog("f", 20, work))
    assert estimate_rates(entry.state, now_ms).total == capacity
    assert forecast_priority_wait_ms(entry.state, 1, now_ms) == 1_200_000 / capacity
    assert forecast_priority_wait_ms(entry.state, 0, now_ms) == 800_000 / capacity
    entry.advance_time(BACKLOG_VALID_MS, "ab")
    assert forecast_priority_wait_ms(entry.state, 1, entry.now_ms) == 0.0


@pytest.mark.parametrize(("priority", "tasks_ahead"), [(0, 4), (1, 12)])
def test_forecast_for_a_priority_counts_no_less_urgent_work(
    priority: int, tasks_ahead: int
) -> None:
    """An urgent job must not be refused for less urgent ones that wait."""
    entry = entry_with_priorities()
    entry.handle(submit(1, job(1, 12)))
    lower = submit(2, job(2, 8))
    entry.handle(lower._replace(path=lower.path.replace("/q/", "/l/")))
    # What has just arrived would count as the rate of more urgent work to come.
    entry.state.arrival_rates = ArrivalRates()
    wait_ms = forecast_priority_wait_ms(entry.state, priority, entry.now_ms)
    assert wait_ms == tasks_ahead * NEED.cpu * 100 / (2 * TOTAL.cpu)


def test_refusal_and_gauges_show_the_terms_of_the_forecast() -> None:
    """An operator must see why a job was refused while this entry's queue is short."""
    entry = entry_with_priorities()
    work = (PriorityWork(0, 100_000_000),)
    hear(entry, EntryBacklog("f", 20, work))
    # Free workers would show that the statement is out of date.
    entry.handle(submit(1, job(1, 8)))
    effects = entry.handle(submit(3, job(3)))
    (fields,) = logged(effects, "job refused")
    assert fields["priority"] == 0
    assert (fields["own_work"], fields["others_work"]) == (0, 100_000_000)
    # A refusal for another reason rests on no forecast.
    unsupported = submit(2, job(2, unsupported="x"))
    (fields,) = logged(entry.handle(unsupported), "job refused")
    assert "others_work" not in fields
    waiting, age = read_backlog_gauges(entry.state, entry.now_ms)
    assert waiting.values == {"0": 100_000_000}
    assert age.values == {"": 20}


def test_delay_of_an_update_adds_to_the_age_of_its_statements() -> None:
    """An update that a link has held up must not make old statements look new."""
    entry = entry_with_priorities()
    held_up = WorkerRoom(
        entry.now_ms, TOTAL, True, 0, 0.0, 0, (EntryBacklog("f", 0, SOME),)
    )
    entry.now_ms += BACKLOG_VALID_MS + 1
    entry.handle(held_up, "a")
    assert not entry.state.known_backlog.is_known(entry.now_ms)


def uneven_streams(
    entries: str, load: float, agents: int, until_ms: int
) -> list[Stream]:
    """Return streams of which the first entry's has three times as many jobs."""
    tasks_per_ms = load * agents * 8 / ESTIMATE_MS
    weights = [3] + [1] * (len(entries) - 1)
    return [
        Stream(
            name, URGENT_PATH, 2 * sum(weights) / tasks_per_ms / weight, 2, 0, until_ms
        )
        for name, weight in zip(entries, weights, strict=True)
    ]


def start_workers(
    entries: str, *, is_shared: bool = True, same_priority: bool = False
) -> SharedWorkers:
    places = dict.fromkeys(entries + "abcd", "dc")
    workers = SharedWorkers(
        entries, is_shared=is_shared, same_priority=same_priority, data_centres=places
    )
    for name in "abcd":
        workers.add_agent(name, Resources(8_000, 100_000, 0), ESTIMATE_MS)
    workers.warm_up()
    return workers


def replay_uneven_load(
    entries: str, load: float, *, is_shared: bool
) -> list[JobRecord]:
    """Replay the load with three seeds."""
    records: list[JobRecord] = []
    for seed in (1, 2, 3):
        workers = start_workers(entries, is_shared=is_shared)
        streams = uneven_streams(entries, load, 4, 3_000)
        records += workers.replay(streams, 4_500, ESTIMATE_MS, seed)
    return records


def count_in_time(records: list[JobRecord]) -> int:
    goal_ms = 1.6 * ESTIMATE_MS + GOAL_MS
    return sum(
        record.reply is ReplyKind.COMPLETED and record.took_ms <= goal_ms
        for record in records
    )


def count_admitted_in_vain(records: list[JobRecord]) -> int:
    """Count jobs that were admitted but ended late or were given up."""
    refused = sum(record.reason.startswith("forecast") for record in records)
    return len(records) - refused - count_in_time(records)


@pytest.mark.parametrize(("entries", "load"), [("ef", 2.0), ("efg", 2.0), ("efg", 2.5)])
def test_uneven_load_is_refused_neither_too_early_nor_too_late(
    entries: str, load: float
) -> None:
    """Guards against refusals by a guessed share of the workers.

    Without statements, jobs are admitted in vain; refusing too many would show as
    fewer jobs in time.
    """
    before = replay_uneven_load(entries, load, is_shared=False)
    after = replay_uneven_load(entries, load, is_shared=True)
    assert len(after) == len(before)
    assert count_in_time(after) > count_in_time(before)
    assert count_admitted_in_vain(after) < 0.95 * count_admitted_in_vain(before)


def statements(workers: SharedWorkers) -> list[object]:
    """Return all messages that state or forward waiting work."""
    return [
        message
        for _, message in workers.sent
        if (isinstance(message, EntryBeat) and message.waiting)
        or (isinstance(message, WorkerRoom) and message.backlogs)
    ]


@pytest.mark.parametrize(("load", "same_priority"), [(0.3, False), (2.0, True)])
def test_nothing_is_sent_when_nothing_waits_or_priorities_are_equal(
    load: float, same_priority: bool
) -> None:
    """Statements would only cost under normal load and with one priority."""
    workers = start_workers("efg", same_priority=same_priority)
    workers.replay(uneven_streams("efg", load, 4, 1_000), 2_000, ESTIMATE_MS, 1)
    assert not statements(workers)


def known_to(workers: SharedWorkers, entry: str) -> set[str]:
    """Return the entries whose waiting work an entry knows."""
    core = workers.cores[entry]
    assert isinstance(core, BurstEntryCore)
    known = core.state.known_backlog
    return {
        name
        for name, statement in known.statements.items()
        if statement.waiting
        and workers.now_ms - statement.stated_ms <= BACKLOG_VALID_MS
    }


def overload_one_entry(workers: SharedWorkers, until_ms: int) -> None:
    stream = Stream("e", URGENT_PATH, 10, 4, 0, until_ms)
    other = Stream("f", URGENT_PATH, 60, 1, 0, until_ms)
    workers.replay([stream, other], until_ms, ESTIMATE_MS, 1)


@pytest.mark.parametrize("fault", ["none", "silent", "links lost", "agents restarted"])
def test_statement_reaches_other_entries_and_expires_after_a_fault(fault: str) -> None:
    """An entry that is cut off must not cause refusals at others for long."""
    workers = start_workers("ef")
    overload_one_entry(workers, 600)
    assert known_to(workers, "f") == {"e"}
    if fault == "silent":
        workers.silent.add("e")
    elif fault == "links lost":
        for agent in "abcd":
            workers.break_link(agent, "e")
    elif fault == "agents restarted":
        for agent in "abcd":
            workers.kill(agent)
            workers.restart_agent(agent)
            workers.workers[agent].report()
    overload_one_entry(workers, BACKLOG_VALID_MS + 20)
    if fault in ("none", "agents restarted"):
        assert known_to(workers, "f") == {"e"}
    else:
        assert known_to(workers, "f") == set()
