"""Measures how cost grows with one quantity at a time, and fits lines.

Writes ``bench/slopes.json``, from which ``bench.capacity_page`` makes
docs/CAPACITY.md. Real processes on loopback where a process's cost is meant,
the decision code alone where only that grows.
"""

from __future__ import annotations

import json
import os
import resource
import statistics
import subprocess
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts
import msgspec

from bench.entry_core import make_core
from bench.entry_core import measure_task_us
from bench.fleet import BIN
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.processes import link_bytes
from bench.processes import make_job
from bench.processes import submit
from bench.processes import usage_of
from sardineferry.decision.agent.table import Row
from sardineferry.decision.agent.table import StartTable
from sardineferry.decision.claims import ClaimRecord
from sardineferry.decision.claims import ClaimTable
from sardineferry.decision.effects import Send
from sardineferry.decision.events import LogRecord
from sardineferry.messages import wire
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskResult

if TYPE_CHECKING:
    from collections.abc import Callable

SLOPES = Path(__file__).parent / "slopes.json"
SETTLE_S = 2.0
IDLE_S = 10.0
US_PER_S = 1e6


class Line(NamedTuple):
    """A fitted line and its largest error over the points."""

    name: str
    unit: str
    slope: float
    intercept: float
    worst_error: float
    points: list[tuple[float, float]]


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Line:
    """Fit a line by least squares."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    error = max(abs(y - (slope * x + intercept)) for x, y in points)
    return Line(name, unit, slope, intercept, error, points)


def sweep(
    name: str, unit: str, values: tuple[int, ...], measure: Callable[[int], float]
) -> Line:
    """Measure at each value and fit."""
    line = fit(name, unit, [(value, measure(value)) for value in values])
    print(
        f"{name}: {line.slope:.4g} {unit} each, {line.intercept:.4g} {unit} fixed, "
        f"worst error {line.worst_error:.3g}"
    )
    return line


class Idle(NamedTuple):
    """Idle cost: processor shares, resident MB, bytes/s on loopback."""

    entry_share: float
    entry_mb: float
    agent_share: float
    agent_mb: float
    bytes_per_s: float


def idle_cost(entries: int, agents: int) -> Idle:
    """Measure an idle fleet."""
    with Fleet(entries, [TargetPlan()] * agents) as fleet:
        time.sleep(SETTLE_S)
        names = ("entry-0", "agent-0")
        pids = [fleet.processes[name].pid for name in names]
        before = [usage_of(pid) for pid in pids]
        bytes_before = link_bytes(fleet)
        begun_s = time.monotonic()
        time.sleep(IDLE_S)
        took_s = time.monotonic() - begun_s
        sent = (link_bytes(fleet) - bytes_before) / took_s
        after = [usage_of(pid) for pid in pids]
    shares = [
        (end.cpu_s - begin.cpu_s) / took_s
        for begin, end in zip(before, after, strict=True)
    ]
    return Idle(shares[0], after[0].resident_mb, shares[1], after[1].resident_mb, sent)


def idle_lines() -> list[Line]:
    """Fit idle costs by agents (at 2 entries) and by entries (at 4 agents)."""
    by_agents = {count: idle_cost(2, count) for count in (4, 16, 40)}
    by_entries = {count: idle_cost(count, 4) for count in (2, 4, 6)}

    def agents(name: str, unit: str, pick: Callable[[Idle], float]) -> Line:
        return sweep(name, unit, tuple(by_agents), lambda n: pick(by_agents[n]))

    def entries(name: str, unit: str, pick: Callable[[Idle], float]) -> Line:
        return sweep(name, unit, tuple(by_entries), lambda n: pick(by_entries[n]))

    return [
        agents("entry_cpu_by_agents", "cores", lambda idle: idle.entry_share),
        agents("entry_mb_by_agents", "MB", lambda idle: idle.entry_mb),
        agents("bytes_by_agents", "bytes/s", lambda idle: idle.bytes_per_s),
        entries("agent_cpu_by_entries", "cores", lambda idle: idle.agent_share),
        entries("agent_mb_by_entries", "MB", lambda idle: idle.agent_mb),
        entries("entry_cpu_by_entries", "cores", lambda idle: idle.entry_share),
        entries("bytes_by_entries", "bytes/s", lambda idle: idle.bytes_per_s),
    ]


def entry_busy_us(tasks_per_job: int) -> float:
    """Return the entry's processor time for one whole job in microseconds."""
    jobs = max(10, 4_000 // tasks_per_job)
    with Fleet(1, [TargetPlan(slots=64)] * 6) as fleet:
        submit(fleet.https[0], make_job("warm", 64, 5, holds=0))
        pid = fleet.processes["entry-0"].pid
        before = usage_of(pid)
        for index in range(jobs):
            submit(fleet.https[0], make_job(f"j{index}", tasks_per_job, 5, holds=0))
        return (usage_of(pid).cpu_s - before.cpu_s) / jobs * US_PER_S


def table_bytes(rows: int) -> float:
    """Return the memory of a start table in bytes."""
    tracemalloc.start()
    table = StartTable(rows + 1)
    result = TaskResult("answered", "x" * 100, "", 5)
    for index in range(rows):
        held = table.get_or_create(f"submission-{index // 10}", 0)
        row = Row(
            Attempt(f"submission-{index // 10}", f"t{index % 10}", 1), None, 0, "e"
        )
        row.result = result._replace(answer=f"{index:0100d}")
        table.put(held, row)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def claim_bytes(claims: int) -> float:
    """Return the memory of a claim table in bytes."""
    roster = tuple(f"agent-{index}#run" for index in range(24))
    tracemalloc.start()
    table = ClaimTable(600_000)
    for index in range(0, claims, 10):
        pairs = tuple((f"submission-{index + step:012d}", 1) for step in range(10))
        body = ClaimRecord("entry", "run", pairs, roster)
        record = LogRecord(index, "id", msgspec.json.encode(body).decode())
        table.apply_record(record, 0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def fold_us(claims: int) -> float:
    """Return the processor time of reading a record of claims in microseconds."""
    roster = tuple(f"agent-{index}#run" for index in range(24))
    pairs = tuple((f"submission-{step:012d}", 1) for step in range(claims))
    text = msgspec.json.encode(ClaimRecord("entry", "run", pairs, roster)).decode()
    table = ClaimTable(600_000)
    repeats = 300
    begun_s = time.process_time()
    for index in range(repeats):
        table.claims.clear()
        table.apply_record(LogRecord(index, "id", text), 0)
    return (time.process_time() - begun_s) / repeats * US_PER_S


def start_frame_bytes(tasks: int) -> float:
    """Return the bytes of a frame of starts and one of their answers."""
    starts = [
        wire.Start(
            Attempt("submission-000000000001", f"t{index}", 1),
            "0123456789ab",
            1,
            2_000,
            Task(f"t{index}", "quote", True, "x" * 100),
        )
        for index in range(tasks)
    ]
    result = TaskResult("answered", "x" * 100, "", 340)
    dones = [wire.Done(item.attempt, result, 3) for item in starts]
    return float(len(wire.CODEC.encode(starts)) + len(wire.CODEC.encode(dones)))


def digest_bytes(teams: int) -> float:
    """Return the bytes of a digest."""
    running = {f"team-{index:02d}": index for index in range(teams)}
    return float(len(wire.CODEC.encode([wire.PeerDigest("entry-00", running)])))


def preset_us(agents: int) -> float:
    """Return the entry's time to tell a change to its agents in microseconds."""
    core = make_core(agents)
    repeats = 200
    begun_s = time.process_time()
    for version in range(1, repeats + 1):
        name = "peak" if version % 2 else "ordinary"
        for effect in core.handle(wire.PresetNotice(version, name), "peer", 0):
            if isinstance(effect, Send):
                wire.CODEC.encode([effect.message])
    return (time.process_time() - begun_s) / repeats * US_PER_S


def operator_ms(calls: int) -> float:
    """Return the processor time of operators' commands in milliseconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    command = [str(BIN / "sardineferry"), "validate", "examples/tanjung-entry.json"]
    for _ in range(calls):
        subprocess.run(command, check=True, capture_output=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return used_s * 1_000


def process_lines() -> list[Line]:
    """Measure what needs real processes."""
    return [
        *idle_lines(),
        sweep("entry_us_by_job_tasks", "us", (50, 200, 600, 1_300), entry_busy_us),
        sweep("operator_ms_by_calls", "ms", (2, 5, 10), operator_ms),
    ]


def decision_lines() -> list[Line]:
    """Measure the decision code alone."""
    return [
        sweep(
            "decision_us_by_agents",
            "us",
            (6, 60, 270),
            lambda agents: measure_task_us(agents, jobs=50),
        ),
        sweep("preset_us_by_agents", "us", (10, 90, 270), preset_us),
        sweep("table_bytes_by_rows", "bytes", (1_000, 10_000, 50_000), table_bytes),
        sweep("claim_bytes_by_claims", "bytes", (1_000, 10_000, 50_000), claim_bytes),
        sweep("fold_us_by_claims", "us", (10, 100, 400), fold_us),
        sweep("frame_bytes_by_tasks", "bytes", (1, 16, 128), start_frame_bytes),
        sweep("digest_bytes_by_teams", "bytes", (7, 30, 77), digest_bytes),
    ]


def main(processes: bool = True) -> None:
    """Measure every slope and write them down.

    Args:
        processes: Measure real processes too; else their lines are kept.

    """
    document = json.loads(SLOPES.read_text())
    kept = {line["name"]: line for line in document["lines"]}
    lines = [*(process_lines() if processes else []), *decision_lines()]
    kept |= {line.name: line._asdict() for line in lines}
    written = {"machine": f"{os.cpu_count()} cores", "lines": list(kept.values())}
    SLOPES.write_text(json.dumps(written, indent=1) + "\n")


if __name__ == "__main__":
    cyclopts.run(main)
