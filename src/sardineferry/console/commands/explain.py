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
        if job:
            print_job(logs, job)
        else:
            print_report(logs, by_second)
    except OSError as error:
        fail(f"can't read {error.filename}: {error.strerror}")


def print_job(logs: tuple[Path, ...], job: str) -> None:
    """Print the lines that contain a job's id, with the file that each is from."""
    found = []
    for path in logs:
        with path.open("rb") as file:
            found += [
                (line.decode(errors="replace").rstrip(), path.stem)
                for line in file
                if job.encode() in line
            ]
    # Lines begin with their time, so that this is the order in which they were written.
    for line, process in sorted(found):
        sys.stdout.write(f"{process}: {line}\n")


def print_report(logs: tuple[Path, ...], by_second: bool) -> None:
    """Print the losses by cause and route, and what could not be read."""
    report = explain_logs(logs)
    write = sys.stdout.write
    write(f"{report.jobs_ended} jobs ended, {len(report.losses)} lost or late\n")
    write(f"{'count':>6} {'late by s':>10}  cause, route\n")
    for cause, route, count, over_ms in report.by_cause():
        write(f"{count:>6} {over_ms / 1_000:>10.1f}  {cause.value}, {route or '-'}\n")
    if by_second:
        for at, cause, count in report.by_second():
            write(f"{at} {count:>6}  {cause.value}\n")
    counts = report.counts
    write(
        f"{counts.read} lines read, {counts.malformed} malformed and skipped, "
        f"{counts.dropped} dropped by the processes\n"
    )
