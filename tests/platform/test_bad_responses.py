"""Tests that a bad response of the worker or the store fails only one call.

Later calls must still work, and the loop must go on.
"""

from __future__ import annotations

import base64
import json
import random
import struct
from typing import TYPE_CHECKING

import pytest

from sardineferry.decision.burst.evacuation import EvacuationsRead
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.worker import HoldAnswered
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.burst.worker import StartAnswered
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopAnswered
from sardineferry.decision.burst.worker import StopRun
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.messages.burst import Evacuations
from sardineferry.messages.burst import RunRef
from sardineferry.platform.configuration import CONFIG_TOPIC
from sardineferry.platform.store import StoreClient
from sardineferry.platform.store import keyed_record
from sardineferry.platform.topic_watch import TopicWatch
from sardineferry.platform.topic_watch import configuration_handler
from sardineferry.platform.topic_watch import evacuations_handler
from sardineferry.platform.worker import WorkerClient
from sardineferry.web import HttpLimits
from sardineferry.web import HttpResponse
from sardineferry.web import HttpServer
from tests.loops import run_until

if TYPE_CHECKING:
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

RUN = RunRef("0000000000000001.0.0.0", 1)
HOLD = HoldWorker(0, 0, 0, 1, "w")
EMPTY_LISTS = b'{"ClockMs":5,"born":7,"Running":[],"Finished":[]}'
BAD_BODIES = [
    b"",
    b"{",
    b"\xff\xfe\x00",
    b'{"ClockMs":"\xc3\x28"}',
    b"[]",
    b"null",
    b'{"ClockMs":1e400,"Running":[],"Finished":[]}',
    b'{"ClockMs":1,"Running":null,"Finished":[]}',
    b'{"ClockMs":1,"Running":[[]],"Finished":[]}',
    b'{"ClockMs":1,"Running":[["t"]],"Finished":[]}',
    b'{"ClockMs":1,"Running":[[1,2,3,4]],"Finished":[]}',
    b'{"ClockMs":1,"Running":[["t",1,"","x"]],"Finished":[]}',
    b'{"ClockMs":1,"Running":[["t",1,"",{"a":1}]],"Finished":[]}',
    b'{"ClockMs":1,"Running":[],"Finished":[["x","t",1,"done",""]]}',
    b'{"ClockMs":1,"Running":[],"Finished":[[1,"t",null,"done",""]]}',
    b"[" * 100_000,
]


class ScriptedServer:
    """Responds with each of ``bodies`` in turn, then with ``default_body``."""

    def __init__(
        self,
        loop: IoLoop,
        bodies: list[bytes],
        default_body: bytes,
        status: int = 200,
    ) -> None:
        self.status = status
        self.bodies = list(bodies)
        self.default_body = default_body
        self.paths: list[str] = []
        server = HttpServer(loop, "127.0.0.1:0", self.handle, HttpLimits())
        server.start()
        self.address = f"127.0.0.1:{server.port}"

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        self.paths.append(request.path)
        body = self.bodies.pop(0) if self.bodies else self.default_body
        exchange.answer(HttpResponse(self.status, body))


@pytest.fixture
def loop() -> IoLoop:
    return IoLoop()


def next_event(loop: IoLoop, mailbox: Mailbox) -> object:
    run_until(loop, lambda: mailbox.events)
    taken = mailbox.take()
    assert taken is not None
    return taken[0]


@pytest.mark.parametrize("body", BAD_BODIES)
def test_undecodable_lists_count_as_no_answer_and_the_next_hold_works(
    loop: IoLoop, body: bytes
) -> None:
    mailbox = Mailbox()
    server = ScriptedServer(loop, [body], EMPTY_LISTS)
    worker = WorkerClient(loop, server.address, mailbox)
    worker.perform(HOLD)
    answer = next_event(loop, mailbox)
    assert isinstance(answer, HoldAnswered)
    assert not answer.answered
    worker.perform(HOLD)
    answer = next_event(loop, mailbox)
    assert isinstance(answer, HoldAnswered)
    assert (answer.answered, answer.born_ms) == (True, 7)


@pytest.mark.parametrize("body", BAD_BODIES)
def test_undecodable_response_to_an_order_counts_by_its_status(
    loop: IoLoop, body: bytes
) -> None:
    mailbox = Mailbox()
    server = ScriptedServer(loop, [body, body], b"{}")
    worker = WorkerClient(loop, server.address, mailbox)
    worker.perform(StartRun(RUN, "spec", 10, 1, "w"))
    start = next_event(loop, mailbox)
    worker.perform(StopRun(RUN, 1, "w"))
    stop = next_event(loop, mailbox)
    assert isinstance(start, StartAnswered)
    assert start.answer is StartAnswer.STARTED
    assert isinstance(stop, StopAnswered)
    assert stop.answered


@pytest.mark.parametrize(
    ("status", "body", "answered", "fenced"),
    [
        (200, b"{}", True, False),
        (409, b'{"Reason":"fence"}', True, True),
        (409, b'{"Reason":"old"}', True, False),
        (421, b"", True, False),
        (429, b"{}", False, False),
        (500, b"{}", False, False),
        (503, b"{}", False, False),
    ],
)
def test_stop_that_an_unhealthy_worker_ignored_counts_as_unanswered(
    loop: IoLoop, status: int, body: bytes, answered: bool, fenced: bool
) -> None:
    mailbox = Mailbox()
    server = ScriptedServer(loop, [], body, status)
    WorkerClient(loop, server.address, mailbox).perform(StopRun(RUN, 1, "w"))
    stop = next_event(loop, mailbox)
    assert isinstance(stop, StopAnswered)
    assert (stop.answered, stop.fenced) == (answered, fenced)


@pytest.mark.parametrize("status", [200, 400, 409, 421, 429, 500, 503])
def test_answer_to_a_start_has_the_status_of_the_response(
    loop: IoLoop, status: int
) -> None:
    mailbox = Mailbox()
    server = ScriptedServer(loop, [], b"{}", status)
    worker = WorkerClient(loop, server.address, mailbox)
    worker.perform(StartRun(RUN, "spec", 10, 1, "w"))
    start = next_event(loop, mailbox)
    assert isinstance(start, StartAnswered)
    assert start.status == status


def test_exception_while_decoding_a_response_counts_as_no_answer(
    loop: IoLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> object:
        raise ValueError("planted")

    mailbox = Mailbox()
    server = ScriptedServer(loop, [], EMPTY_LISTS)
    worker = WorkerClient(loop, server.address, mailbox)
    monkeypatch.setattr("sardineferry.platform.worker.decode_lists", fail)
    worker.perform(HOLD)
    answer = next_event(loop, mailbox)
    assert isinstance(answer, HoldAnswered)
    assert not answer.answered


def newest_page(value: bytes, end: int = 1) -> bytes:
    text = base64.b64encode(value).decode()
    item = f'{{"Key":"config","Value":"{text}","Offset":0}}'
    return f'{{"items":[{item}],"HasMore":false,"EndOffset":{end}}}'.encode()


@pytest.mark.parametrize(
    "bodies",
    [
        *([body] for body in BAD_BODIES[:8]),
        [b'{"items":[{"Key":"config","Value":"***"}],"EndOffset":1}'],
        [b'{"items":[{"Key":7}],"EndOffset":1}'],
        [newest_page(b"1"), b"short"],
        [newest_page(b"1"), struct.pack(">QQ", 9, 0) + b"\0\0\xff\xff"],
        [newest_page(b"1"), struct.pack(">QQ", 9, 0) + b"\0\0"],
    ],
)
def test_watch_continues_after_undecodable_responses(
    loop: IoLoop, bodies: list[bytes]
) -> None:
    mailbox = Mailbox()
    server = ScriptedServer(loop, bodies, newest_page(b"2"))
    watch = TopicWatch(
        loop,
        CONFIG_TOPIC,
        StoreClient(loop, server.address),
        0,
        random.Random(1),
        configuration_handler(mailbox),
    )
    watch.start()
    while next_event(loop, mailbox) != ConfigurationRead(b"2"):
        pass


def record_page(end: int, *records: bytes) -> bytes:
    lengths_and_records = b"".join(struct.pack(">I", len(r)) + r for r in records)
    return struct.pack(">QQ", end, 0) + lengths_and_records


@pytest.mark.parametrize(
    ("read", "newest_reads"),
    [
        (record_page(2, keyed_record("config", b"2")), 1),
        (record_page(3, keyed_record("x", b"1"), keyed_record("config", b"2")), 1),
        (record_page(1), 1),
        (record_page(9, keyed_record("config", b"1")), 2),
        (record_page(2, b"\x09short"), 2),
        (record_page(2, b""), 2),
        (record_page(2, b"\x01\xff2"), 2),
    ],
    ids=["one", "two", "none", "gap", "short key", "empty", "key not UTF-8"],
)
def test_watch_reads_all_values_again_only_if_a_record_may_be_missing(
    loop: IoLoop, read: bytes, newest_reads: int
) -> None:
    server = ScriptedServer(loop, [newest_page(b"1"), read], newest_page(b"2"))
    if newest_reads == 1 and read == record_page(1):
        server.bodies.append(record_page(2, keyed_record("config", b"2")))
    seen: list[bytes] = []
    watch = TopicWatch(
        loop,
        CONFIG_TOPIC,
        StoreClient(loop, server.address),
        0,
        random.Random(1),
        lambda values, _position: seen.append(values["config"]),
    )
    watch.start()
    run_until(loop, lambda: b"2" in seen)
    assert server.paths.count("/v1/log-newest") == newest_reads
    assert seen == [b"1", b"2"]


def test_watch_forgets_a_deleted_key(loop: IoLoop) -> None:
    deleted = record_page(2, keyed_record("config", b""))
    server = ScriptedServer(loop, [newest_page(b"1"), deleted], newest_page(b"2"))
    seen: list[dict[str, bytes]] = []
    client = StoreClient(loop, server.address)
    watch = TopicWatch(
        loop,
        CONFIG_TOPIC,
        client,
        0,
        random.Random(1),
        lambda values, _position: seen.append(dict(values)),
    )
    watch.start()
    run_until(loop, lambda: len(seen) >= 2)
    assert seen[:2] == [{"config": b"1"}, {}]


def test_watch_continues_after_an_exception_in_its_callback(
    loop: IoLoop,
) -> None:
    calls: list[int] = []

    def on_values(_values: dict[str, bytes], _position: int) -> None:
        calls.append(1)
        if len(calls) < 3:
            raise ValueError("planted")

    server = ScriptedServer(loop, [], newest_page(b"1"))
    client = StoreClient(loop, server.address)
    random_source = random.Random(1)
    TopicWatch(loop, CONFIG_TOPIC, client, 0, random_source, on_values).start()
    run_until(loop, lambda: len(calls) >= 3)


@pytest.mark.parametrize(
    ("records", "names"),
    [
        ({"evacuate/x": b"{}", "config": b"1"}, ("x",)),
        ({"evacuate/x": b"{}", "evacuate/y": b'{"By":"op"}'}, ("x", "y")),
        ({"evacuate/x": b"{", "evacuate/y": b"{}"}, ("y",)),
        ({"evacuate/x": b"[]", "evacuate/y": b"\xff", "evacuate/z": b"{}"}, ("z",)),
        ({"evacuate/": b"{}", "evacuated": b"{}"}, ()),
        ({}, ()),
    ],
    ids=["one", "two", "cut off", "not an object", "no name", "none"],
)
def test_unreadable_evacuation_does_not_affect_the_others(
    records: dict[str, bytes], names: tuple[str, ...]
) -> None:
    """Guards against an evacuation that is missed because of another record."""
    mailbox = Mailbox()
    evacuations_handler(mailbox)(records, 4)
    taken = mailbox.take()
    assert taken is not None
    assert taken[0] == EvacuationsRead(Evacuations(4, names))


def test_evacuations_are_read_with_their_offset_also_after_deletions(
    loop: IoLoop,
) -> None:
    """Guards against a list whose position does not rise with the store's offset."""
    pages = [evacuation_page(True, 1), evacuation_page(False, 3)]
    responses = [
        HttpResponse(200, pages[0]),
        # The position is that of the first page.
        HttpResponse(200, pages[1]),
        HttpResponse(200, record_page(2, keyed_record("evacuate/b", b""))),
        HttpResponse(410, b'{"FirstOffset":9}'),
        HttpResponse(200, evacuation_page(False, 9)),
    ]

    def handle(_request: HttpRequest, exchange: Exchange) -> None:
        exchange.answer(responses.pop(0) if responses else HttpResponse(503, b""))

    server = HttpServer(loop, "127.0.0.1:0", handle, HttpLimits())
    server.start()
    mailbox = Mailbox()
    client = StoreClient(loop, f"127.0.0.1:{server.port}")
    on_values = evacuations_handler(mailbox)
    TopicWatch(loop, CONFIG_TOPIC, client, 0, random.Random(1), on_values).start()
    lists = [next_event(loop, mailbox) for _ in range(3)]
    assert lists == [
        EvacuationsRead(Evacuations(1, ("a", "b"))),
        EvacuationsRead(Evacuations(2, ("a",))),
        EvacuationsRead(Evacuations(9, ("b",))),
    ]


def evacuation_page(has_more: bool, end: int) -> bytes:
    key = "evacuate/a" if has_more else "evacuate/b"
    page = {
        "items": [{"Key": key, "Value": "e30=", "Offset": 0}],
        "HasMore": has_more,
        "EndOffset": end,
    }
    return json.dumps(page).encode()
