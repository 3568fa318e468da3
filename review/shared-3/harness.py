"""Starts the deployed programs on loopback, with small stand-ins around them.

Store, minions, callers and proxies are tasks of one asyncio loop and use the standard
library alone. They follow ``PROTOCOL.md``; where it is silent they behave like sound
ones. Each machine has a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

__all__ = [
    "BROKEN",
    "CANCEL_MS",
    "CONFIG_APPLY_MS",
    "CONTACT_MS",
    "HELD",
    "HOST",
    "NOT_RUN",
    "PREFIX",
    "Answer",
    "Minion",
    "Proxy",
    "Site",
    "call",
    "make_job",
    "new_job_id",
    "now_ms",
    "run_case",
]

# Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "desk.example"
PREFIX = "/holds/"
SERVICE = "desk"
CANCEL_MS = 3_000
CONTACT_MS = 3_000
CONFIG_APPLY_MS = 2_000
HEARTBEAT_MS = 1_500
MAX_HOLD_MS = 1_000
GANG_WAIT_MS = 3_000
ZONES = {"gresik": "jawa", "cilacap": "jawa", "semarang": "jawa"}
MAX_LISTED_ENDS = 500
READY_TIMEOUT_S = 30.0
# What a handler of requests gets: method, path with query, headers and body. It returns
# status and body, or None to close the connection without an answer.
Handler = "Callable[[Request], Awaitable[tuple[int, bytes] | None]]"


class CaseError(Exception):
    """The case could not run."""


class Request(NamedTuple):
    """A request that a stand-in received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """What a caller got; status 0 means that the channel ended without an answer."""

    status: int
    body: Any


def now_ms() -> int:
    """Return the time of the machine's steady clock."""
    return time.monotonic_ns() // 1_000_000


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class HttpStandin:
    """An HTTP/1.1 server with keep-alive for one handler."""

    def __init__(self, ip: str, port: int, handle: Any) -> None:
        """Set the address and the handler; ``start`` listens."""
        self.ip, self.port, self.handle = ip, port, handle
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=256
        )

    def stop(self) -> None:
        """Stop to listen, and reset all channels."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a channel, one after the other."""
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ")
                path, _, text = target.partition("?")
                query = dict(pair.partition("=")[::2] for pair in text.split("&"))
                answer = await self.handle(Request(method, path, query, headers, body))
                if answer is None:
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    document: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Make a request on a channel of its own; close it after the time limit."""
    body = b"" if document is None else json.dumps(document).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Content-Length: {len(body)}",
        "Content-Type: application/json",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            message = await read_message(reader)
    except (TimeoutError, OSError):
        message = None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return Answer(0, None)
    first, _, content = message
    return Answer(int(first.split(" ")[1]), json.loads(content or b"null"))


class Topic:
    """The records of a topic's only partition, and the newest value of each key."""

    def __init__(self) -> None:
        """Create an empty topic."""
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}

    def append(self, record: bytes) -> None:
        """Append a keyed record; without a value its key is dropped."""
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (value, len(self.records))
        self.records.append(record)


class Store:
    """The platform's store: keyed topics in memory.

    ``translations`` maps addresses in records to others of the same length, as a
    network that translates addresses does.
    """

    def __init__(self, ip: str, port: int, translations: dict[bytes, bytes]) -> None:
        """Create it without topics."""
        self.translations = translations
        self.topics: dict[str, Topic] = {}
        self.changed = asyncio.Event()
        # Set by each read of the operator's topic that waits for records.
        self.config_awaited = asyncio.Event()
        self.http = HttpStandin(ip, port, self.handle)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a key, as the operator does."""
        self.add(topic, bytes([len(key)]) + key.encode() + value)

    def add(self, topic: str, record: bytes) -> None:
        """Append a record, and wake the reads that wait."""
        for old, new in self.translations.items():
            record = record.replace(old, new)
        self.topics.setdefault(topic, Topic()).append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: Request) -> tuple[int, bytes]:
        """Serve the calls of the store that the programs make."""
        name = request.query.get("Topic", "")
        topic = self.topics.setdefault(name, Topic())
        match request.method, request.path:
            case "POST", "/v1/log-append":
                await asyncio.sleep(0.004)
                offset, position = len(topic.records), 0
                while position < len(request.body):
                    (length,) = struct.unpack_from(">I", request.body, position)
                    position += 4 + length
                    self.add(name, request.body[position - length : position])
                end = {"Offset": offset, "EndOffset": len(topic.records)}
                return 200, json.dumps(end).encode()
            case "GET", "/v1/log-newest":
                items = [
                    {
                        "Key": key,
                        "Value": base64.b64encode(value).decode(),
                        "Offset": offset,
                    }
                    for key, (value, offset) in sorted(topic.newest.items())
                ]
                page = {
                    "items": items,
                    "HasMore": False,
                    "EndOffset": len(topic.records),
                }
                return 200, json.dumps(page).encode()
            case "GET", "/v1/log-read":
                start = int(request.query["From"])
                if name == "keyed.op":
                    self.config_awaited.set()
                until_ms = now_ms() + int(request.query.get("WaitMs", "0"))
                while start >= len(topic.records) and now_ms() < until_ms:
                    left_s = max(0.001, (until_ms - now_ms()) / 1_000)
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), left_s)
                records = topic.records[start:]
                head = struct.pack(">QQ", len(topic.records), 0)
                packed = [struct.pack(">I", len(item)) + item for item in records]
                return 200, head + b"".join(packed)
        return 404, b"{}"


class Run:
    """A task at work at a minion."""

    def __init__(self, task: str, attempt: int, work_ms: int) -> None:
        """Begin to work now."""
        self.task, self.attempt, self.work_ms = task, attempt, work_ms
        self.started_ms = now_ms()

    def percent(self) -> int:
        """Return the progress."""
        return min(99, 100 * (now_ms() - self.started_ms) // max(1, self.work_ms))


class Minion:
    """A minion that doesn't guard its room; tasks are simulated by time alone.

    A task's ``Spec`` is JSON with its ``work_ms``.
    """

    def __init__(self, site: Site, index: int, kind: str, cpu: int) -> None:
        """Create it without a life."""
        self.site, self.index, self.cpu = site, index, cpu
        self.ip = site.side_ip(index)
        self.name = f"minion-{index}"
        self.http = HttpStandin(self.ip, site.ports["app"], self.handle)
        self.lives = 0
        self.up = False
        self.fails = False
        self.live(kind)

    def live(self, kind: str, first_beat_ms: int = 0) -> None:
        """Begin a life, which knows nothing of the one before."""
        self.lives += 1
        self.kind = kind
        self.id = f"i-{self.index:04x}{self.lives:04x}"
        self.born = time.time_ns() // 1_000_000
        self.zero_ms = now_ms()
        self.beat_due_ms = now_ms() + first_beat_ms
        self.sequence = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[list[object]] = []
        self.last_end = 0
        self.rejected: dict[str, int] = {}
        self.token = 0
        self.lease_ms = 0

    async def start(self) -> None:
        """Serve, send heartbeats and let tasks work."""
        self.up = True
        await self.http.start()
        self.site.spawn_task(self.work())
        self.site.spawn_task(self.beat())

    def crash(self) -> None:
        """End all tasks; nothing is sent or answered any more."""
        self.up = False
        for run in self.runs.values():
            self.site.note("lost", self.name, f"{run.task} run {run.attempt}")
        self.runs.clear()
        self.http.stop()

    async def come_back(self, kind: str, first_beat_ms: int) -> None:
        """Begin another life at the same address."""
        self.live(kind, first_beat_ms)
        self.up = True
        await self.http.start()
        self.site.note("life", self.name, f"{self.id}, of kind {kind}")

    async def work(self) -> None:
        """End tasks that are done or whose lease has lapsed."""
        while True:
            await asyncio.sleep(0.005)
            for run in list(self.runs.values()):
                if now_ms() >= run.started_ms + run.work_ms:
                    self.end(run, "failed" if self.fails else "done")
                elif now_ms() > self.lease_ms:
                    self.end(run, "lapsed")

    def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        del self.runs[run.task, run.attempt]
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.attempt, how, ""])
        self.reject(run.task, run.attempt)
        self.site.note("end", self.name, f"{run.task} run {run.attempt}: {how}")

    def reject(self, task: str, attempt: int) -> None:
        """Reject starts of this run and of lower ones."""
        self.rejected[task] = max(attempt, self.rejected.get(task, 0))

    async def beat(self) -> None:
        """Send heartbeats to the machine's own agent."""
        while True:
            await asyncio.sleep(0.01)
            if not self.up or now_ms() < self.beat_due_ms:
                continue
            self.beat_due_ms = now_ms() + HEARTBEAT_MS
            self.sequence += 1
            beat = {
                "Service": SERVICE,
                "Address": f"{self.ip}:{self.site.ports['app']}",
                "Zone": self.site.zone_of_side(self.index),
                "Version": "v1",
                "Capacity": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Room": {"Cpu": self.cpu, "MemMb": 131_072, "Gpu": 0},
                "Labels": [self.kind, f"r1-{self.index // 3}"],
                "ClockMs": now_ms() - self.zero_ms,
                "Seq": self.sequence,
                "born": self.born,
            }
            path = f"/v1/instances/{self.id}"
            control = self.site.ports["control"]
            self.site.spawn_task(
                call(self.ip, control, "PUT", path, beat, timeout_s=1.0)
            )

    async def handle(self, request: Request) -> tuple[int, bytes] | None:
        """Serve the calls of the agent."""
        if request.headers.get("expected-instance", self.id) != self.id:
            return 421, b"{}"
        body = json.loads(request.body)
        life = self.lives
        if body.get("FencingToken", 0) < self.token:
            return self.answer(409, Reason="fence")
        self.token = body.get("FencingToken", 0)
        match request.path:
            case "/v1/run-start":
                return self.run_start(body)
            case "/v1/run-stop":
                run = self.runs.get((body["Task"], body["Attempt"]))
                if run is not None:
                    self.end(run, "stopped")
                self.reject(body["Task"], body["Attempt"])
                return self.answer(200)
            case "/v1/hold":
                self.extend(body.get("DeadlineMs", 0))
                acked = body.get("LastAcked", 0)
                self.ends = [item for item in self.ends if int(str(item[0])) > acked]
                until_ms = now_ms() + body.get("WaitMs", 0)
                while not self.ends and now_ms() < until_ms and self.lives == life:
                    await asyncio.sleep(0.003)
                if self.lives != life or not self.up:
                    return None
                rows = [
                    [run.task, run.attempt, "", run.percent(), 0]
                    for run in self.runs.values()
                ]
                ends = self.ends[:MAX_LISTED_ENDS]
                return self.answer(200, Running=rows, Finished=ends)
        return 404, b"{}"

    def run_start(self, body: dict[str, Any]) -> tuple[int, bytes]:
        """Start a task, unless the order is outdated or late."""
        task, attempt = body["Task"], body["Attempt"]
        if (task, attempt) in self.runs:
            return self.answer(200)
        if attempt <= self.rejected.get(task, 0):
            return self.answer(409, Reason="old")
        if body["DeadlineMs"] <= now_ms() - self.zero_ms:
            return self.answer(409, Reason="late")
        self.extend(body["DeadlineMs"])
        run = Run(task, attempt, json.loads(body["Spec"])["work_ms"])
        self.runs[task, attempt] = run
        self.site.note("start", self.name, f"{task} run {attempt}")
        self.site.starts.append(Start(now_ms(), self, self.kind, task, attempt))
        self.site.check_start(self, task)
        return self.answer(200)

    def extend(self, deadline_ms: int) -> None:
        """Extend the lease, to the longest lease at most."""
        until_ms = min(deadline_ms + self.zero_ms, now_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, until_ms)

    def answer(self, status: int, **fields: object) -> tuple[int, bytes]:
        """Return a response with the minion's clock."""
        clock = {"ClockMs": now_ms() - self.zero_ms, "born": self.born}
        return status, json.dumps({**clock, **fields}).encode()


class Start(NamedTuple):
    """A task that a minion has begun on an order."""

    at_ms: int
    minion: Minion
    kind: str
    task: str
    attempt: int


class Proxy:
    """Forwards channels to a target, except while it is cut.

    A cut is silent for open channels, and refuses new ones. Channels may also go silent
    for good, while new ones work.
    """

    def __init__(self, ip: str, port: int, target_ip: str, target_port: int) -> None:
        """Set both addresses; ``start`` listens."""
        self.ip, self.port = ip, port
        self.target = (target_ip, target_port)
        self.server: asyncio.Server | None = None
        self.is_open = asyncio.Event()
        # Channels that are opened from now on have the last number.
        self.generation = 0

    async def start(self) -> None:
        """Listen, and forward what was held back."""
        self.is_open.set()
        self.server = await asyncio.start_server(
            self.forward, self.ip, self.port, backlog=256
        )

    def cut(self) -> None:
        """Hold back all bytes, and refuse new channels."""
        self.is_open.clear()
        if self.server is not None:
            self.server.close()
            self.server = None

    def silence(self) -> None:
        """Let the open channels go silent for good, without a reset."""
        self.generation += 1

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a channel in both directions."""
        generation = self.generation
        try:
            there = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pump(reader, there[1], generation),
            self.pump(there[0], writer, generation),
        )

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        """Forward one direction until it ends."""
        try:
            while chunk := await reader.read(65_536):
                await self.is_open.wait()
                if generation == self.generation:
                    writer.write(chunk)
                    await writer.drain()
            await self.is_open.wait()
            if generation == self.generation:
                writer.close()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()


class Site:
    """Entries, agents and the stand-ins around them.

    With ``proxied``, agents and entries reach each other, and entries the store,
    through proxies: one of each for every entry.
    """

    def __init__(
        self,
        entry_zones: list[str],
        side_zones: list[str],
        *,
        cpu: int = 8_000,
        kinds: list[str] | None = None,
        proxied: bool = False,
    ) -> None:
        """Choose addresses and ports; ``start`` starts everything."""
        self.entry_zones, self.side_zones = entry_zones, side_zones
        self.proxied = proxied
        self.network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        names = ("front", "ready", "control", "link", "app", "store", "metrics")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        translations = {}
        if proxied:
            for index in range(len(entry_zones)):
                own = f"{self.entry_ip(index)}:{self.ports['link']}".encode()
                public = f"{self.public_ip(index)}:{self.ports['link']}".encode()
                translations[own] = public
        self.directory = tempfile.TemporaryDirectory(prefix="sardineferry-review-")
        self.store = Store(f"{self.network}.90", self.ports["store"], translations)
        self.began_ms = now_ms()
        self.record: list[str] = []
        self.starts: list[Start] = []
        self.check_start: Callable[[Minion, str], None] = lambda _minion, _task: None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        kinds = kinds or ["a"] * len(side_zones)
        self.minions = [
            Minion(self, index, kinds[index], cpu) for index in range(len(side_zones))
        ]
        self.link_proxies: list[Proxy] = []
        self.store_proxies: list[Proxy] = []
        roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}

    def entry_ip(self, index: int) -> str:
        """Return the address of an entry's machine."""
        return f"{self.network}.1{index}"

    def public_ip(self, index: int) -> str:
        """Return the address at which agents reach an entry."""
        return f"{self.network}.5{index}" if self.proxied else self.entry_ip(index)

    def side_ip(self, index: int) -> str:
        """Return the address of a minion's machine."""
        return f"{self.network}.{100 + index}"

    def zone_of_side(self, index: int) -> str:
        """Return the zone of a minion's machine."""
        return self.side_zones[index]

    def note(self, what: str, where: str, text: str) -> None:
        """Add a line to the record."""
        at_s = (now_ms() - self.began_ms) / 1_000
        self.record.append(f"{at_s:8.3f} s  {what:<8} {where:<12} {text}")

    def spawn_task(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self) -> None:
        """Start all stand-ins and programs, and wait until they serve."""
        await self.store.http.start()
        self.put_config(1)
        for index in range(len(self.entry_zones) if self.proxied else 0):
            link, store = self.ports["link"], self.ports["store"]
            self.link_proxies.append(
                Proxy(self.public_ip(index), link, self.entry_ip(index), link)
            )
            self.store_proxies.append(
                Proxy(self.public_ip(index), store, f"{self.network}.90", store)
            )
        for proxy in (*self.link_proxies, *self.store_proxies):
            await proxy.start()
        for minion in self.minions:
            await minion.start()
        await self.start_programs()
        for index in range(len(self.entry_zones)):
            await self.wait_ready(index)
        # Agents have linked to all entries that they choose, and workers are known.
        await asyncio.sleep(4.0)

    async def start_programs(self) -> None:
        """Start all entries and agents, or those that were killed."""
        for index in range(len(self.entry_zones)):
            await self.start_entry(index)
        for index in range(len(self.side_zones)):
            await self.start_agent(index)

    def put_config(self, version: int, prefixes: Sequence[str] = (PREFIX,)) -> None:
        """Write the operator's config, with a route for each prefix."""
        routes = [
            {
                "Name": f"r{prefix.replace('/', '-')}",
                "Host": HOST,
                "PathPrefix": prefix,
                "Type": "non_idempotent",
                "TimeoutMs": 1_500,
                "TargetLatencyMs": 60,
                "Priority": 0,
                "Service": SERVICE,
                "Attempts": 4,
                "SlackFactor": 1.6,
            }
            for prefix in prefixes
        ]
        service = {
            "Name": SERVICE,
            "HealthPath": "/healthz",
            "MaxConns": 64,
            "Protocol": "h1",
            "Tls": False,
            "Constraints": False,
            "Standby": False,
        }
        limits = {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 262_144,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        }
        document = {
            "Version": version,
            "Routes": routes,
            "Services": [service],
            "Limits": limits,
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def settings(self, name: str, ip: str, zone: str, **fields: object) -> Path:
        """Write the settings file of a program."""
        store_ip = fields.pop("store_ip", f"{self.network}.90")
        ports = self.ports
        document = {
            "NodeName": name,
            "Ip": ip,
            "Zone": zone,
            "Region": ZONES[zone],
            "Zones": ZONES,
            "PortRange": [ports["link"], ports["link"]],
            "Seeds": [f"{self.public_ip(0)}:{ports['control']}"],
            "Bootstrap": True,
            "DataDir": None,
            "Discovery": "local",
            "Entry": "vip",
            "HeartbeatMs": HEARTBEAT_MS,
            "Commands": "rpc",
            "Bounds": {
                "ContactMs": CONTACT_MS,
                "AckMs": 4_000,
                "DrainMs": 2_000,
                "GraceS": 6,
                "ConfigApplyMs": 2_000,
                "MaxHoldMs": MAX_HOLD_MS,
                "KillGraceMs": 50,
                "GangWaitMs": GANG_WAIT_MS,
                "cancel_ms": CANCEL_MS,
                "RemoteFactor": 1.5,
                "RetransmitMs": 1_300,
            },
            "platform": {
                "Address": f"{store_ip}:{ports['store']}",
                "form": "log",
                "WritesPerS": 800,
                "ReadsPerS": 2_000,
                "parts": 8,
                "keep_s": 300,
            },
            **fields,
        }
        path = Path(self.directory.name) / f"{name}.json"
        path.write_text(json.dumps(document))
        return path

    async def start_entry(self, index: int) -> None:
        """Start an entry, unless it runs."""
        ip, ports = self.entry_ip(index), self.ports
        listen = {
            "Front": f"{ip}:{ports['front']}",
            "Ready": f"{ip}:{ports['ready']}",
            "Control": f"{ip}:{ports['control']}",
        }
        store = {"store_ip": self.public_ip(index)} if self.proxied else {}
        path = self.settings(
            f"edge-{index}",
            ip,
            self.entry_zones[index],
            Role="entry",
            MachineClass="edge",
            Serves=["edge", "control"],
            Listen=listen,
            Limits={"CpuShare": 0.537, "CpuCores": 2, "MemoryMb": 300, "MaxFds": 4_100},
            **store,
        )
        await self.start_program(f"edge-{index}", "entry", path)

    async def start_agent(self, index: int) -> None:
        """Start an agent, unless it runs."""
        ip, ports = self.side_ip(index), self.ports
        path = self.settings(
            f"side-{index}",
            ip,
            self.side_zones[index],
            Role="agent",
            MachineClass="side",
            Serves=["side"],
            Listen={"Control": f"{ip}:{ports['control']}"},
            Limits={"CpuShare": 0.645, "CpuCores": 1, "MemoryMb": 168, "MaxFds": 4_096},
            app=f"{ip}:{ports['app']}",
            Service=SERVICE,
        )
        await self.start_program(f"side-{index}", "agent", path)

    async def start_program(self, name: str, role: str, path: Path) -> None:
        """Start a program with the command of the deploy file, unless it runs."""
        if name in self.processes:
            return
        kept = {"PATH", "HOME", "LANG"} & set(os.environ)
        with (Path(self.directory.name) / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self.commands[role],
                cwd=REPOSITORY,
                stdout=log,
                stderr=log,
                env={
                    **{variable: os.environ[variable] for variable in kept},
                    "PYTHONPATH": str(REPOSITORY / "target/deps"),
                    "SARDINEFERRY_SETTINGS": str(path),
                    "SARDINEFERRY_METRICS_PORT": str(self.ports["metrics"]),
                },
            )

    async def kill(self, names: list[str]) -> None:
        """Kill programs at the same moment."""
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
            self.note("kill", name, "SIGKILL")
        for name in names:
            await self.processes.pop(name).wait()

    async def wait_ready(self, index: int) -> None:
        """Wait until an entry is ready."""
        until_ms = now_ms() + READY_TIMEOUT_S * 1_000
        ip, port = self.entry_ip(index), self.ports["ready"]
        while (await call(ip, port, "GET", "/v1/readyz", timeout_s=1.0)).status != 200:
            if now_ms() > until_ms:
                raise CaseError(f"entry {index} is not ready\n{self.log_tails()}")
            await asyncio.sleep(0.05)

    async def request(
        self,
        entry: int,
        method: str,
        job_id: str,
        job: object = None,
        deadline_ms: int = 20_000,
    ) -> Answer:
        """Send an entry a request about a job, as a requester does."""
        where = f"edge-{entry}"
        self.note("send", where, f"{method} {job_id}")
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
        answer = await call(
            self.entry_ip(entry),
            self.ports["front"],
            method,
            PREFIX + job_id,
            job,
            headers,
            deadline_ms / 1_000,
        )
        self.note(
            "answer", where, f"{method} {job_id}: {answer.status} {answer.body or ''}"
        )
        return answer

    def log_tails(self) -> str:
        """Return the ends of the programs' logs."""
        paths = sorted(Path(self.directory.name).glob("*.log"))
        return "\n".join(f"{path.name}: {path.read_text()[-600:]}" for path in paths)

    async def stop(self) -> None:
        """End all programs and stand-ins."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            await process.wait()
        # Channels that are open now are not closed in order.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        for task in list(self.tasks):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            for path in Path(self.directory.name).glob("*.log"):
                target = Path(os.environ["KEEP_LOGS"]) / path.name
                target.write_text(path.read_text())
        self.directory.cleanup()


def free_ports(count: int) -> list[int]:
    """Return ports that are free on all loopback addresses at the moment."""
    with contextlib.ExitStack() as sockets:
        ports = []
        for _ in range(count):
            bound = sockets.enter_context(socket.socket())
            bound.bind(("", 0))
            ports.append(bound.getsockname()[1])
        return ports


def make_job(tasks: int, work_ms: int, cpu: int, **step: object) -> dict[str, object]:
    """Return the body of a Burstable job."""
    fields = {"Count": tasks, "Cpu": cpu, "MemMb": 64, "EstimateMs": work_ms, **step}
    spec = json.dumps({"work_ms": work_ms})
    return {"Spec": spec, "Burstable": True, "Steps": [fields]}


def new_job_id() -> str:
    """Return a job's id."""
    return f"{random.getrandbits(64):016x}"


def run_case(
    make_site: Callable[[], Site],
    play: Callable[[Site, bool], Awaitable[list[str]]],
    record: Path,
) -> None:
    """Play a case and exit with its status.

    ``play`` gets the site and whether there is a disruption. It returns the breaks of
    the rule, each as a line. It raises ``CaseError`` if the case could not run.
    """
    has_trouble = os.environ.get("TROUBLE") != "0"

    async def run() -> int:
        site = make_site()
        try:
            async with asyncio.timeout(110.0):
                await site.start()
                breaks = await play(site, has_trouble)
            status = BROKEN if breaks else HELD
            lines = [f"BROKEN: {line}" for line in breaks] or ["held"]
        except (CaseError, TimeoutError, OSError) as error:
            status, lines = NOT_RUN, [f"could not run: {error!r} {error}"]
        finally:
            await site.stop()
        lines.insert(0, f"TROUBLE={int(has_trouble)}")
        record.write_text("\n".join([*site.record, *lines]) + "\n")
        print("\n".join(lines))
        return status

    sys.exit(asyncio.run(run()))
