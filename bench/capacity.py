"""Measures how each cost grows with one quantity, and fits a line to it.

Writes ``bench/slopes.json``, from which ``bench.capacity_page`` computes
docs/CAPACITY.md. Costs of a process are measured on real processes over
loopback; costs of the decision code alone are measured in this process.
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
from bench.fleet import BIN_DIR
from bench.fleet import Fleet
from bench.fleet import TargetPlan
from bench.processes import make_job
from bench.processes import read_loopback_bytes
from bench.processes import read_usage
from bench.processes import submit_job
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

SLOPES_PATH = Path(__file__).parent / "slopes.json"
SETTLE_AFTER_START_S = 2.0
IDLE_MEASUREMENT_S = 10.0
US_PER_S = 1e6


class FittedLine(NamedTuple):
    """A line fitted to measured points, and its largest error at a point."""

    name: str
    unit: str
    slope: float
    intercept: float
    worst_error: float
    points: list[tuple[float, float]]


def fit_line(name: str, unit: str, points: list[tuple[float, float]]) -> FittedLine:
    """Fit a line to points by least squares."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    worst_error = max(abs(y - (slope * x + intercept)) for x, y in points)
    return FittedLine(name, unit, slope, intercept, worst_error, points)


def measure_and_fit(
    name: str, unit: str, values: tuple[int, ...], measure: Callable[[int], float]
) -> FittedLine:
    """Measure at each value, fit a line to the results and print it."""
    line = fit_line(name, unit, [(value, measure(value)) for value in values])
    print(
        f"{name}: {line.slope:.4g} {unit} each, {line.intercept:.4g} {unit} fixed, "
        f"worst error {line.worst_error:.3g}"
    )
    return line


class IdleCost(NamedTuple):
    """Cost of one idle entry and one idle agent, and of all loopback traffic."""

    entry_cores: float
    entry_mb: float
    agent_cores: float
    agent_mb: float
    loopback_bytes_per_s: float


def measure_idle_cost(entries: int, agents: int) -> IdleCost:
    """Measure a fleet without jobs."""
    with Fleet(entries, [TargetPlan()] * agents) as fleet:
        time.sleep(SETTLE_AFTER_START_S)
        names = ("entry-0", "agent-0")
        pids = [fleet.processes[name].pid for name in names]
        before = [read_usage(pid) for pid in pids]
        bytes_before = read_loopback_bytes(fleet)
        started_s = time.monotonic()
        time.sleep(IDLE_MEASUREMENT_S)
        elapsed_s = time.monotonic() - started_s
        bytes_per_s = (read_loopback_bytes(fleet) - bytes_before) / elapsed_s
        after = [read_usage(pid) for pid in pids]
    cores = [
        (end.cpu_s - begin.cpu_s) / elapsed_s
        for begin, end in zip(before, after, strict=True)
    ]
    return IdleCost(
        cores[0], after[0].resident_mb, cores[1], after[1].resident_mb, bytes_per_s
    )


def fit_idle_costs() -> list[FittedLine]:
    """Fit idle costs by agents (with 2 entries) and by entries (with 4 agents)."""
    by_agents = {count: measure_idle_cost(2, count) for count in (4, 16, 40)}
    by_entries = {count: measure_idle_cost(count, 4) for count in (2, 4, 6)}

    def fit_by_agents(
        name: str, unit: str, select_cost: Callable[[IdleCost], float]
    ) -> FittedLine:
        return measure_and_fit(
            name, unit, tuple(by_agents), lambda agents: select_cost(by_agents[agents])
        )

    def fit_by_entries(
        name: str, unit: str, select_cost: Callable[[IdleCost], float]
    ) -> FittedLine:
        return measure_and_fit(
            name,
            unit,
            tuple(by_entries),
            lambda entries: select_cost(by_entries[entries]),
        )

    return [
        fit_by_agents("entry_cpu_by_agents", "cores", lambda cost: cost.entry_cores),
        fit_by_agents("entry_mb_by_agents", "MB", lambda cost: cost.entry_mb),
        fit_by_agents(
            "bytes_by_agents", "bytes/s", lambda cost: cost.loopback_bytes_per_s
        ),
        fit_by_entries("agent_cpu_by_entries", "cores", lambda cost: cost.agent_cores),
        fit_by_entries("agent_mb_by_entries", "MB", lambda cost: cost.agent_mb),
        fit_by_entries("entry_cpu_by_entries", "cores", lambda cost: cost.entry_cores),
        fit_by_entries(
            "bytes_by_entries", "bytes/s", lambda cost: cost.loopback_bytes_per_s
        ),
    ]


def measure_entry_us_per_job(tasks_per_job: int) -> float:
    """Return an entry's processor time per job in microseconds."""
    jobs = max(10, 4_000 // tasks_per_job)
    with Fleet(1, [TargetPlan(slots=64)] * 6) as fleet:
        submit_job(fleet.http_addresses[0], make_job("warm", 64, 5, hold_every=0))
        pid = fleet.processes["entry-0"].pid
        before = read_usage(pid)
        for job_index in range(jobs):
            submit_job(
                fleet.http_addresses[0],
                make_job(f"j{job_index}", tasks_per_job, 5, hold_every=0),
            )
        return (read_usage(pid).cpu_s - before.cpu_s) / jobs * US_PER_S


def measure_start_table_bytes(rows: int) -> float:
    """Return the bytes that a start table with so many rows takes."""
    tracemalloc.start()
    table = StartTable(rows + 1)
    result = TaskResult("answered", "x" * 100, "", 5)
    for index in range(rows):
        submission = table.get_or_create(f"submission-{index // 10}", 0)
        row = Row(
            Attempt(f"submission-{index // 10}", f"t{index % 10}", 1), None, 0, "e"
        )
        row.result = result._replace(answer=f"{index:0100d}")
        table.put(submission, row)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def measure_claim_table_bytes(claims: int) -> float:
    """Return the bytes that a claim table with so many claims takes."""
    roster = tuple(f"agent-{index}#run" for index in range(24))
    tracemalloc.start()
    table = ClaimTable(600_000)
    for index in range(0, claims, 10):
        claim_pairs = tuple(
            (f"submission-{index + offset:012d}", 1) for offset in range(10)
        )
        batch = ClaimRecord("entry", "run", claim_pairs, roster)
        record = LogRecord(index, "id", msgspec.json.encode(batch).decode())
        table.apply_record(record, 0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def measure_claim_record_us(claims: int) -> float:
    """Return the microseconds of processor time to apply one claim record."""
    roster = tuple(f"agent-{index}#run" for index in range(24))
    claim_pairs = tuple((f"submission-{number:012d}", 1) for number in range(claims))
    text = msgspec.json.encode(
        ClaimRecord("entry", "run", claim_pairs, roster)
    ).decode()
    table = ClaimTable(600_000)
    repeats = 300
    started_s = time.process_time()
    for index in range(repeats):
        table.claims.clear()
        table.apply_record(LogRecord(index, "id", text), 0)
    return (time.process_time() - started_s) / repeats * US_PER_S


def start_and_answer_bytes(tasks: int) -> float:
    """Return the bytes of one frame with starts and one with their answers."""
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
    answers = [wire.Done(start.attempt, result, 3) for start in starts]
    return float(len(wire.CODEC.encode(starts)) + len(wire.CODEC.encode(answers)))


def peer_digest_bytes(teams: int) -> float:
    """Return the bytes of a frame with the digest that an entry sends to a peer."""
    running = {f"team-{index:02d}": index for index in range(teams)}
    return float(len(wire.CODEC.encode([wire.PeerDigest("entry-00", running)])))


def measure_preset_us(agents: int) -> float:
    """Return the microseconds an entry takes to pass a new preset to its agents."""
    core = make_core(agents)
    repeats = 200
    started_s = time.process_time()
    for version in range(1, repeats + 1):
        name = "peak" if version % 2 else "ordinary"
        for effect in core.handle(wire.PresetNotice(version, name), "peer", 0):
            if isinstance(effect, Send):
                wire.CODEC.encode([effect.message])
    return (time.process_time() - started_s) / repeats * US_PER_S


def measure_commands_ms(calls: int) -> float:
    """Return the processor time of so many operator commands in milliseconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    command = [str(BIN_DIR / "sardineferry"), "validate", "examples/tanjung-entry.json"]
    for _ in range(calls):
        subprocess.run(command, check=True, capture_output=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return used_s * 1_000


def fit_process_costs() -> list[FittedLine]:
    """Measure and fit the costs that need real processes."""
    return [
        *fit_idle_costs(),
        measure_and_fit(
            "entry_us_by_job_tasks",
            "us",
            (50, 200, 600, 1_300),
            measure_entry_us_per_job,
        ),
        measure_and_fit("operator_ms_by_calls", "ms", (2, 5, 10), measure_commands_ms),
    ]


def fit_decision_costs() -> list[FittedLine]:
    """Measure and fit the costs of the decision code alone."""
    return [
        measure_and_fit(
            "decision_us_by_agents",
            "us",
            (6, 60, 270),
            lambda agents: measure_task_us(agents, jobs=50),
        ),
        measure_and_fit("preset_us_by_agents", "us", (10, 90, 270), measure_preset_us),
        measure_and_fit(
            "table_bytes_by_rows",
            "bytes",
            (1_000, 10_000, 50_000),
            measure_start_table_bytes,
        ),
        measure_and_fit(
            "claim_bytes_by_claims",
            "bytes",
            (1_000, 10_000, 50_000),
            measure_claim_table_bytes,
        ),
        measure_and_fit(
            "fold_us_by_claims", "us", (10, 100, 400), measure_claim_record_us
        ),
        measure_and_fit(
            "frame_bytes_by_tasks", "bytes", (1, 16, 128), start_and_answer_bytes
        ),
        measure_and_fit(
            "digest_bytes_by_teams", "bytes", (7, 30, 77), peer_digest_bytes
        ),
    ]


def main(processes: bool = True) -> None:
    """Measure all costs and write their fitted lines to slopes.json.

    Args:
        processes: Measure real processes, too; otherwise keep their earlier lines.

    """
    document = json.loads(SLOPES_PATH.read_text())
    lines_by_name = {line["name"]: line for line in document["lines"]}
    lines = [*(fit_process_costs() if processes else []), *fit_decision_costs()]
    lines_by_name |= {line.name: line._asdict() for line in lines}
    new_document = {
        "machine": f"{os.cpu_count()} cores",
        "lines": list(lines_by_name.values()),
    }
    SLOPES_PATH.write_text(json.dumps(new_document, indent=1) + "\n")


if __name__ == "__main__":
    cyclopts.run(main)
