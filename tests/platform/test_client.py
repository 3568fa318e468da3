"""Tests of the log client against the stand-in, over loopback."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.pipeline import is_successful

from sardineferry.decision.effects import Append
from sardineferry.decision.events import AppendFailed
from sardineferry.decision.events import LogRecords
from sardineferry.http_server import HttpServer
from sardineferry.mailbox import Mailbox
from sardineferry.platform import LogClient
from sardineferry.platform import LogTail
from sardineferry.standin import LogStandin

if TYPE_CHECKING:
    from collections.abc import Iterator

WAIT_S = 10.0


@pytest.fixture
def standin() -> LogStandin:
    return LogStandin()


@pytest.fixture
def address(standin: LogStandin) -> Iterator[str]:
    server = HttpServer(standin, "127.0.0.1:0", 4, 1_000_000)
    server.start()
    yield f"127.0.0.1:{server.port}"
    server.stop()


def test_read_returns_records_in_order(address: str) -> None:
    client = LogClient(address)
    for name in ("a", "b", "c"):
        assert is_successful(client.append("s-1", name, f"body {name}"))
    batch = client.read("s-1", 1).unwrap()
    found = [(item.offset, item.record_id) for item in batch.records]
    assert found == [(1, "b"), (2, "c")]


def test_read_tells_the_first_offset_kept(standin: LogStandin, address: str) -> None:
    standin.faults["retention"] = 2
    client = LogClient(address)
    for name in ("a", "b", "c"):
        client.append("s", name, "")
    batch = client.read("s", 0).unwrap()
    assert (batch.first_offset, len(batch.records)) == (1, 2)


@pytest.mark.parametrize("fault", ["outage", "lose_answers"])
def test_append_reports_failure(standin: LogStandin, address: str, fault: str) -> None:
    standin.faults.update({fault: 1})  # type: ignore[misc]
    client = LogClient(address)
    assert not is_successful(client.append("s", "a", ""))
    standin.faults["outage"] = False
    kept = client.read("s", 0).unwrap().records
    assert len(kept) == (1 if fault == "lose_answers" else 0)


def test_client_reports_refused_connection() -> None:
    result = LogClient("127.0.0.1:1").append("s", "a", "")
    assert "cannot connect" in result.failure().reason
    assert not result.failure().ambiguous


def test_tail_shows_a_record_whose_answer_was_lost(
    standin: LogStandin, address: str
) -> None:
    standin.faults["lose_answers"] = 1
    mailbox = Mailbox()
    tail = LogTail("s", address, mailbox, poll_ms=10)
    tail.append(Append("s", "a", "body"))
    tail.start()
    first = mailbox.take(WAIT_S)
    second = mailbox.take(WAIT_S)
    assert first is not None
    assert isinstance(first[0], LogRecords)
    assert second is not None
    assert second[0] == AppendFailed("s", "a")
