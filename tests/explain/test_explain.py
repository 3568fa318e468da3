"""Tests that losses are explained from logs."""

from __future__ import annotations

import tracemalloc
from typing import TYPE_CHECKING

import pytest

from sardineferry.console.commands.explain import explain
from sardineferry.explain import Cause
from sardineferry.explain import explain_logs
from tests.explain.logs import line
from tests.explain.logs import write

if TYPE_CHECKING:
    from pathlib import Path

JOB = "00000000000000aa"


def admitted(job: str = JOB) -> bytes:
    return line("job admitted", job=job, route="r", estimate_ms=100, tasks=2)


def ordered(job: str = JOB, waited_ms: int = 0, speed: float = 1.0) -> bytes:
    return line(
        "runs ordered", job=job, agent="a", tasks=[0], waited_ms=waited_ms, speed=speed
    )


def run_ended(how: str = "done", reason: str = "done", run_ms: int = 100) -> bytes:
    return line("run ended", task=f"{JOB}.0.0.0", how=how, reason=reason, run_ms=run_ms)


def ended(
    job: str = JOB,
    outcome: str = "completed",
    reason: str = "all tasks done",
    took_ms: int = 300,
) -> bytes:
    return line(
        "job ended",
        job=job,
        route="r",
        outcome=outcome,
        reason=reason,
        took_ms=took_ms,
        goal_ms=200,
    )


def refused(reason: str, free_cpu: int = 0) -> bytes:
    return line("job refused", job=JOB, reason=reason, free_cpu=free_cpu)


def usual_orders() -> list[bytes]:
    return [ordered(f"{n:016x}") for n in range(64)]


@pytest.mark.parametrize(
    ("entry_lines", "agent_lines", "cause"),
    [
        ([admitted(), ordered(), ended(took_ms=200)], [run_ended()], None),
        ([admitted(), ordered(waited_ms=60), ended()], [run_ended()], Cause.WAITED),
        (
            [admitted(), ordered(speed=1.7), ended()],
            [run_ended(run_ms=180)],
            Cause.SLOW_WORKER,
        ),
        (
            [admitted(), ordered(), ended()],
            [run_ended(run_ms=140)],
            Cause.WORK_OVER_ESTIMATE,
        ),
        ([admitted(), ordered(), ended()], [run_ended()], Cause.NARROWLY_LATE),
        (
            [admitted(), ordered(waited_ms=90), ended()],
            [run_ended("lost", "entry lost")],
            Cause.RUN_LOST,
        ),
        (
            [admitted(), ordered(), ended()],
            [run_ended("lost", "stalled"), run_ended()],
            Cause.RUN_STALLED,
        ),
        (
            [admitted(), ordered(), ended()],
            [run_ended("failed", "failed"), run_ended()],
            Cause.RUN_FAILED,
        ),
        (
            [admitted(), ordered(), ended(outcome="failed", reason="attempts used up")],
            [],
            Cause.RUN_FAILED,
        ),
        (
            [admitted(), ended(outcome="not run", reason="no room in time")],
            [],
            Cause.WAITED,
        ),
        (
            [admitted(), ended(outcome="cancelled", reason="caller left")],
            [],
            Cause.CALLER_LEFT,
        ),
        ([refused("forecast wait 300 ms", 9_000)], [], Cause.FORECAST_FREE),
        ([refused("forecast wait 300 ms", 10)], [], Cause.FORECAST_FULL),
        ([refused("no configuration yet")], [], Cause.NO_CONFIGURATION),
        ([refused("no worker of the service is linked")], [], Cause.NO_WORKER),
        ([refused("entry is leaving")], [], Cause.STOPPING),
        ([refused("not supported: gangs")], [], Cause.UNSUPPORTED),
        ([refused("a reason of a later version")], [], Cause.OTHER),
        ([admitted(), line("Started.", name="e")], [], Cause.RESTART),
        ([ended()], [], Cause.OTHER),
    ],
)
def test_each_loss_has_one_cause(
    tmp_path: Path,
    entry_lines: list[bytes],
    agent_lines: list[bytes],
    cause: Cause | None,
) -> None:
    paths = write(tmp_path, entry=[*usual_orders(), *entry_lines], agent=agent_lines)
    losses = explain_logs(paths).losses
    assert [loss.cause for loss in losses] == ([] if cause is None else [cause])


def test_runs_count_for_each_entry_that_a_job_was_late_at(tmp_path: Path) -> None:
    late = [*usual_orders(), admitted(), ordered(), ended()]
    agent = [run_ended("lost", "entry lost")]
    report = explain_logs(write(tmp_path, first=late, second=late, agent=agent))
    assert [loss.cause for loss in report.losses] == [Cause.RUN_LOST] * 2


def test_job_that_is_lost_twice_at_the_same_time_is_listed_twice(
    tmp_path: Path,
) -> None:
    refusals = [refused("no configuration yet"), refused("entry is leaving")]
    report = explain_logs(write(tmp_path, entry=refusals))
    assert len({loss.cause for loss in report.losses}) == len(report.losses) == 2


def test_malformed_and_dropped_lines_are_counted(tmp_path: Path) -> None:
    lines = [
        b"not JSON\n",
        b'{"event":"job ended","at":"t"}\n',
        b'{"event":"job ended","job":"\xff"}\n',
        b'{"event":"log lines dropped","count":7}\n',
        b'{"event":"job admi',
    ]
    report = explain_logs(write(tmp_path, entry=[ended(), *lines]))
    assert (report.counts.read, report.counts.malformed) == (6, 4)
    assert report.counts.dropped == 7
    assert len(report.losses) == 1


def test_memory_does_not_grow_with_jobs_in_time(tmp_path: Path) -> None:
    def peak_bytes(jobs: int) -> int:
        lines = []
        for number in range(jobs):
            job = f"{number:016x}"
            lines += [admitted(job), ordered(job), ended(job, took_ms=10)]
        paths = write(tmp_path, entry=lines)
        del lines
        tracemalloc.start()
        assert explain_logs(paths).jobs_ended == jobs
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return peak

    assert peak_bytes(8_000) < 1.5 * peak_bytes(1_000) + 100_000


def test_report_counts_causes_and_lateness(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    other = "00000000000000bb"
    entry = [
        *usual_orders(),
        *(admitted(), ordered(waited_ms=90), ended(took_ms=1_700)),
        *(admitted(other), ordered(other, waited_ms=90), ended(other)),
        refused("no configuration yet"),
    ]
    explain(*write(tmp_path, entry=entry, agent=[run_ended()]), by_second=True)
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "2 jobs ended, 3 lost or late"
    assert lines[2].split() == ["2", "1.6", "waited", "for", "capacity,", "r"]
    assert lines[4].split() == [
        "2026-01-01T00:00:01",
        "1",
        *["entry", "without", "configuration"],
    ]
    assert lines[-1].endswith("0 malformed and skipped, 0 dropped by the processes")


def test_lines_of_one_job_are_printed_in_order(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    paths = write(tmp_path, entry=[admitted(), ended()], agent=[run_ended()])
    explain(*paths, job=JOB)
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 3
    assert sum(text.startswith("agent: ") for text in printed) == 1


def test_unreadable_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SystemExit):
        explain(tmp_path / "missing.log")
