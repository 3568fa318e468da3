"""The ``explain`` command."""

from __future__ import annotations

import sys
from pathlib import Path

from sardineferry.console.errors import fail
from sardineferry.explain import explain_logs

__all__ = ["explain"]


def explain(*logs: Path, job: str = "", by_second: bool = False) -> None:
    """Explain from logs why jobs were late, refused or not answered.

    Args:
        logs: Log files of processes on an operator's platform, one for each process.
        job: Print all lines about the job with this id instead.
        by_second: Also count the causes in each second.

    """
    try:
        output = describe_job(logs, job) if job else describe_losses(logs, by_second)
    except OSError as error:
        fail(f"can't read {error.filename}: {error.strerror}")
    sys.stdout.write("".join(f"{line}\n" for line in output))


def describe_job(logs: tuple[Path, ...], job: str) -> list[str]:
    """Return the lines that contain a job's id, each with its file's name.

    Raises:
        OSError: A file can't be read.

    """
    found = []
    for path in logs:
        with path.open("rb") as file:
            found += [
                (line.decode(errors="replace").rstrip(), path.stem)
                for line in file
                if job.encode() in line
            ]
    # Lines begin with their time, so that this is the order in which they were written.
    return [f"{process}: {line}" for line, process in sorted(found)]


def describe_losses(logs: tuple[Path, ...], by_second: bool) -> list[str]:
    """Return a table of losses by cause and route, and what could not be read.

    Raises:
        OSError: A file can't be read.

    """
    report = explain_logs(logs)
    lines = [
        f"{report.jobs_ended} jobs ended, {len(report.losses)} lost or late",
        f"{'count':>6} {'late by s':>10}  cause, route",
    ]
    for cause, route, count, over_ms in report.by_cause():
        over_s = over_ms / 1_000
        lines.append(f"{count:>6} {over_s:>10.1f}  {cause.value}, {route or '-'}")
    if by_second:
        lines += [
            f"{at} {count:>6}  {cause.value}" for at, cause, count in report.by_second()
        ]
    counts = report.counts
    lines.append(
        f"{counts.read} lines read, {counts.malformed} malformed and skipped, "
        f"{counts.dropped} dropped by the processes"
    )
    return lines
