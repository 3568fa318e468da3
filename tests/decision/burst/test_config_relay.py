"""Replays the distribution of a large configuration over narrow links."""

from __future__ import annotations

import heapq
import itertools
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from sardineferry.decision.burst.config_relay import FETCH_TIMEOUT_MS
from sardineferry.decision.burst.config_relay import PART_BYTES
from sardineferry.decision.burst.config_relay import PART_TIMEOUT_MS
from sardineferry.decision.burst.config_relay import STORE_READ_MS
from sardineferry.decision.burst.config_relay import ConfigRelay
from sardineferry.decision.burst.configuration import Route
from sardineferry.decision.burst.configuration import RouteTable
from sardineferry.decision.burst.link_selection import rank_entries
from sardineferry.decision.burst.link_selection import select_entries
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import ConfigOffer
from sardineferry.messages.burst import ConfigPart
from sardineferry.messages.burst import ConfigRequest
from sardineferry.messages.burst import EntryEndpoint
from tests.decision.burst.drive import route
from tests.decision.burst.drive import sent

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardineferry.decision.burst.effects import BurstEffect

LARGE = b"x" * 300_000
SMALL = b"x" * 3_000
# The slowest link of the users, and that of most agents.
NARROW_BYTES_PER_MS = 9_500 / 8
WIDE_BYTES_PER_MS = 1_000_000 / 8
DELAY_MS = 1.0
MESSAGE_BYTES = 40
TICK_MS = 200


class Process:
    """A relay and the link of its machine, which sends one message after the other."""

    def __init__(self, name: str, bytes_per_ms: float, is_entry: bool) -> None:
        self.name = name
        self.bytes_per_ms = bytes_per_ms
        self.is_entry = is_entry
        self.relay = (
            ConfigRelay(STORE_READ_MS, None) if is_entry else ConfigRelay(0, PART_BYTES)
        )
        self.links: list[str] = []
        self.sending_until_ms = 0.0
        self.longest_wait_ms = 0.0
        self.bytes_sent = 0
        self.adopted_ms: float | None = None


class Network:
    """Entries and agents that exchange the messages of their relays."""

    def __init__(self, entries: int, agents: int) -> None:
        self.now_ms = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        endpoints = [
            EntryEndpoint(f"e{n}", f"e{n}", f"dc{n % 3}", "i") for n in range(entries)
        ]
        self.processes = {
            endpoint.name: Process(endpoint.name, NARROW_BYTES_PER_MS, is_entry=True)
            for endpoint in endpoints
        }
        for number in range(agents):
            agent = Process(f"a{number}", WIDE_BYTES_PER_MS, is_entry=False)
            self.processes[agent.name] = agent
            ranking = rank_entries(agent.name, endpoints)
            for name in sorted(select_entries(ranking, f"dc{number % 3}", ())):
                agent.links.append(name)
                self.processes[name].links.append(agent.name)
        for process in self.processes.values():
            process.relay.hold(1, b"old")
            self.tick(process)

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (at_ms, next(self.sequence), action))

    def run_until(self, end_ms: float) -> None:
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.queue)
            action()

    def tick(self, process: Process) -> None:
        self.send(process, process.relay.continue_transfers(int(self.now_ms)))
        self.at(self.now_ms + TICK_MS, lambda: self.tick(process))

    def send(self, sender: Process, effects: Iterable[BurstEffect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            message, receiver = effect.message, self.processes[effect.to]
            size = MESSAGE_BYTES
            if isinstance(message, ConfigPart):
                size += len(message.text)
            waited_ms = max(0.0, sender.sending_until_ms - self.now_ms)
            sender.longest_wait_ms = max(sender.longest_wait_ms, waited_ms)
            sender.sending_until_ms = (
                max(self.now_ms, sender.sending_until_ms) + size / sender.bytes_per_ms
            )
            sender.bytes_sent += size
            # The receiver's link carries the message as well.
            arrival_ms = sender.sending_until_ms + DELAY_MS
            arrival_ms += size / receiver.bytes_per_ms
            arrive = partial(self.receive, receiver, message, sender)
            self.at(arrival_ms, arrive)

    def receive(self, process: Process, message: object, sender: Process) -> None:
        relay, link, now = process.relay, sender.name, int(self.now_ms)
        if isinstance(message, ConfigOffer):
            is_news = relay.is_news(message.version)
            self.send(process, relay.answer_offer(link, message, now))
            if is_news and not process.is_entry:
                self.send(process, relay.announce(process.links))
        elif isinstance(message, ConfigRequest):
            self.send(process, relay.answer_request(link, message, now))
        elif isinstance(message, ConfigPart):
            received = relay.receive_part(link, message, now)
            self.send(process, received.effects)
            if received.text is not None:
                self.hold(process, message.version, received.text)

    def hold(self, process: Process, version: int, text: bytes) -> None:
        if process.relay.hold(version, text):
            process.adopted_ms = self.now_ms
            if process.is_entry:
                self.send(process, process.relay.announce(process.links))
            self.send(process, process.relay.continue_transfers(int(self.now_ms)))


class Spread(NamedTuple):
    """How a configuration spread from the entries that read the store."""

    last_adopted_ms: float
    texts_sent: float
    agents_with_text: int
    longest_wait_ms: float


def spread(text: bytes, without_store: int) -> Spread:
    network = Network(entries=13, agents=71)
    entries = [p for p in network.processes.values() if p.is_entry]
    for number, entry in enumerate(entries[without_store:]):
        network.at(10.0 + number, partial(network.hold, entry, 2, text))
    network.run_until(6_000)
    assert all(entry.relay.text == text for entry in entries)
    return Spread(
        max(entry.adopted_ms or 0.0 for entry in entries),
        sum(p.bytes_sent for p in network.processes.values()) / len(text),
        sum(p.relay.text == text for p in network.processes.values() if not p.is_entry),
        max(p.longest_wait_ms for p in network.processes.values()),
    )


def test_large_configuration_travels_once_to_who_lacks_it() -> None:
    """The load that stopped pametnici-book-grown: 1,660 routes, 4 of 13 refused."""
    result = spread(LARGE, without_store=4)
    # One copy for each of the four, and one for each agent that passes it on.
    assert result.agents_with_text <= 4
    assert result.texts_sent <= 2 * 4 + 1
    assert result.last_adopted_ms <= 2_000
    # A message waits behind the parts that its process sends and passes on.
    assert result.longest_wait_ms <= 2 * PART_BYTES / NARROW_BYTES_PER_MS


def test_large_configuration_that_all_read_from_the_store_is_not_sent() -> None:
    result = spread(LARGE, without_store=0)
    assert result.agents_with_text == 0
    assert result.texts_sent < 1


def test_small_configuration_is_kept_by_all_agents() -> None:
    """A restarted entry that can't read the store gets it from any agent."""
    assert spread(SMALL, without_store=4).agents_with_text == 71


def relay_with_offers(*links: str) -> ConfigRelay:
    relay = ConfigRelay(0, None)
    for link in links:
        relay.answer_offer(link, ConfigOffer(2, len(LARGE)), 0)
    return relay


@pytest.mark.parametrize("lost", ["silent", "closed"])
def test_fetch_continues_from_another_process_where_it_stopped(lost: str) -> None:
    relay = relay_with_offers("a", "b")
    relay.receive_part("a", ConfigPart(2, len(LARGE), 0, LARGE[:PART_BYTES]), 10)
    if lost == "closed":
        effects = relay.drop_link("a", 20)
    else:
        assert relay.continue_transfers(10 + FETCH_TIMEOUT_MS - 1) == []
        effects = relay.continue_transfers(10 + FETCH_TIMEOUT_MS)
    assert effects == [Send("b", ConfigRequest(2, PART_BYTES))]


def test_one_part_is_in_flight_at_a_time() -> None:
    relay = ConfigRelay(0, None)
    relay.hold(2, LARGE)
    first = relay.answer_request("a", ConfigRequest(2, 0), 0)
    assert [effect.to for effect in first if isinstance(effect, Send)] == ["a"]
    assert relay.answer_request("b", ConfigRequest(2, 0), 1) == []
    # "a" confirms by its next request, and waits for its turn.
    second = relay.answer_request("a", ConfigRequest(2, PART_BYTES), 2)
    assert [effect.to for effect in second if isinstance(effect, Send)] == ["b"]
    # "b" does not confirm.
    assert relay.continue_transfers(1 + PART_TIMEOUT_MS) == []
    third = relay.continue_transfers(2 + PART_TIMEOUT_MS)
    assert sent(third, ConfigPart)[0].offset == PART_BYTES


def test_part_of_an_abandoned_fetch_is_confirmed_at_once() -> None:
    relay = relay_with_offers("a")
    relay.hold(2, LARGE)
    part = ConfigPart(2, len(LARGE), 0, LARGE[:PART_BYTES])
    received = relay.receive_part("a", part, 10)
    assert received.effects == [Send("a", ConfigRequest(2, len(LARGE)))]
    assert received.text is None


ROUTES = (
    route(name="all", path_prefix="/"),
    route(name="q", path_prefix="/q/"),
    route(name="deep", path_prefix="/q/deep/"),
    route(name="second", path_prefix="/q/"),
    route(name="other", host="other.example", path_prefix="/q/"),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("desk.example", "/q/1", "q"),
        ("desk.example", "/q/deep/1", "deep"),
        ("desk.example", "/q/deep", "q"),
        ("desk.example", "/other", "all"),
        ("other.example", "/q/1", "other"),
        ("other.example", "/", None),
        ("unknown.example", "/q/1", None),
        ("", "", None),
    ],
)
def test_longest_prefix_of_the_host_is_found(
    host: str, path: str, name: str | None
) -> None:
    found = RouteTable(ROUTES).match(host, path)
    assert (found.name if found is not None else None) == name


def test_look_up_does_not_depend_on_the_number_of_routes() -> None:
    many: list[Route] = [
        route(name=str(n), host=f"h{n % 100}", path_prefix=f"/q{n:05}/")
        for n in range(5_000)
    ]
    table = RouteTable(many)
    found = table.match("h42", "/q04242/1")
    assert found is not None
    assert found.name == "4242"
    assert max(len(lengths) for lengths in table.prefix_lengths.values()) == 1
