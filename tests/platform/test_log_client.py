"""Tests of the log client and the log tail with a stand-in for the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.pipeline import is_successful

from sardineferry.decision.effects import Append
from sardineferry.decision.events import AppendFailed
from sardineferry.decision.events import LogRecords
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.platform.log_client import LogClient
from sardineferry.platform.log_tail import LogTail
from sardineferry.platform.store import StoreClient
from sardineferry.standin import LogStandin
from sardineferry.standin.web import StandinServer
from tests.loops import run_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from concurrent.futures import Future
    from typing import Any

    from returns.result import Result


@pytest.fixture
def standin() -> LogStandin:
    return LogStandin()


@pytest.fixture
def address(standin: LogStandin) -> Iterator[str]:
    server = StandinServer(standin, "127.0.0.1:0", 4)
    server.start()
    yield f"127.0.0.1:{server.port}"
    server.stop()


@pytest.fixture
def loop() -> IoLoop:
    return IoLoop()


class BlockingClient:
    """A log client whose calls run the loop until they are done."""

    def __init__(self, loop: IoLoop, address: str) -> None:
        self.loop = loop
        self.store = StoreClient(loop, address)
        self.log = LogClient(self.store)

    def wait_for(self, call: Future[Result[Any, Any]]) -> Result[Any, Any]:
        run_until(self.loop, call.done)
        return call.result()

    def append(self, stream: str, record_id: str, body: str) -> Result[Any, Any]:
        return self.wait_for(self.log.append(stream, record_id, body))

    def read(self, stream: str, start: int) -> LogRecords:
        batch: LogRecords = self.wait_for(self.log.read_page(stream, start)).unwrap()[0]
        return batch


def test_read_returns_records_in_order(loop: IoLoop, address: str) -> None:
    client = BlockingClient(loop, address)
    for name in ("a", "b", "c"):
        assert is_successful(client.append("s-1", name, f"body {name}"))
    batch = client.read("s-1", 1)
    found = [(item.offset, item.record_id) for item in batch.records]
    assert found == [(1, "b"), (2, "c")]


def test_read_of_deleted_records_returns_the_first_kept_offset(
    loop: IoLoop, standin: LogStandin, address: str
) -> None:
    standin.faults["retention"] = 2
    client = BlockingClient(loop, address)
    for name in ("a", "b", "c"):
        client.append("s", name, "")
    failure = client.wait_for(client.log.read_page("s", 0)).failure()
    assert failure.first_kept == 1


@pytest.mark.parametrize("fault", ["outage", "lose_answers"])
def test_append_reports_failure(
    loop: IoLoop, standin: LogStandin, address: str, fault: str
) -> None:
    standin.faults.update({fault: 1})  # type: ignore[misc]
    client = BlockingClient(loop, address)
    assert not is_successful(client.append("s", "a", ""))
    standin.faults["outage"] = False
    kept = client.read("s", 0).records
    assert len(kept) == (1 if fault == "lose_answers" else 0)


def test_client_reports_refused_connection(loop: IoLoop) -> None:
    result = BlockingClient(loop, "127.0.0.1:1").append("s", "a", "")
    assert "cannot connect" in result.failure().reason
    assert not result.failure().ambiguous


class TailWithMailbox:
    """A log tail of a stream, and the mailbox that it fills."""

    def __init__(self, loop: IoLoop, address: str, poll_ms: int = 10) -> None:
        self.loop = loop
        self.mailbox = Mailbox()
        store = StoreClient(loop, address)
        self.tail = LogTail(loop, "s", store, self.mailbox, poll_ms)
        self.tail.start()

    def next_event(self) -> object:
        run_until(self.loop, lambda: self.mailbox.events)
        taken = self.mailbox.take()
        assert taken is not None
        return taken[0]

    def next_records(self) -> LogRecords:
        while True:
            event = self.next_event()
            if isinstance(event, LogRecords) and event.records:
                return event


def test_tail_reads_a_record_whose_append_response_was_lost(
    loop: IoLoop, standin: LogStandin, address: str
) -> None:
    standin.faults["lose_answers"] = 1
    tail = TailWithMailbox(loop, address, poll_ms=1_000)
    tail.tail.append(Append("s", "a", "body"))
    first = tail.next_event()
    assert isinstance(first, LogRecords)
    assert [record.record_id for record in first.records] == ["a"]
    assert tail.next_event() == AppendFailed("s", "a")


def test_tail_appends_in_order(loop: IoLoop, address: str) -> None:
    tail = TailWithMailbox(loop, address, poll_ms=1_000)
    for name in ("a", "b", "c"):
        tail.tail.append(Append("s", name, ""))
    found = [
        record.record_id for _ in range(3) for record in tail.next_records().records
    ]
    assert found == ["a", "b", "c"]


def test_tail_continues_after_records_were_deleted(
    loop: IoLoop, standin: LogStandin, address: str
) -> None:
    standin.faults["retention"] = 1
    writer = BlockingClient(loop, address)
    for name in ("a", "b", "c"):
        writer.append("s", name, "")
    batch = TailWithMailbox(loop, address).next_records()
    assert (batch.first_offset, [item.record_id for item in batch.records]) == (
        2,
        ["c"],
    )


def test_tail_skips_records_of_another_format(
    loop: IoLoop, standin: LogStandin, address: str
) -> None:
    writer = BlockingClient(loop, address)
    writer.wait_for(writer.store.append("s", [b"\xc1 not a record"]))
    writer.append("s", "a", "")
    tail = TailWithMailbox(loop, address)
    assert [record.record_id for record in tail.next_records().records] == ["a"]


def test_tail_continues_after_an_outage(
    loop: IoLoop, standin: LogStandin, address: str
) -> None:
    standin.faults["outage"] = True
    tail = TailWithMailbox(loop, address)
    tail.tail.append(Append("s", "a", ""))
    assert tail.next_event() == AppendFailed("s", "a")
    standin.faults["outage"] = False
    tail.tail.append(Append("s", "b", ""))
    assert [record.record_id for record in tail.next_records().records] == ["b"]
