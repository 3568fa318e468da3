"""The ``explain`` command."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from sardineferry.console.errors import fail
from sardineferry.explain import explain_logs
from sardineferry.explain import name_logs

if TYPE_CHECKING:
    from sardineferry.explain import Overlap
    from sardineferry.explain import Report

__all__ = ["explain"]


def explain(*logs: Path, job: str = "", by_second: bool = False) -> None:
    """Explain from logs why jobs were late, refused or not answered.

    Runs of one task that overlapped are listed as well. As their lines don't name the
    agent, it goes by the name of its log file without the suffix.

    Args:
        logs: Log files of processes on an operator's platform, one for each process.
        job: Print all lines about the job with this id instead.
        by_second: Also count the causes in each second.

    """
    try:
        output = describe_job(logs, job) if job else describe_logs(logs, by_second)
    except OSError as error:
        fail(f"can't read {error.filename}: {error.strerror}")
    sys.stdout.write("".join(f"{line}\n" for line in output))


def describe_job(logs: tuple[Path, ...], job: str) -> list[str]:
    """Return the lines that contain a job's id, each with its file's name.

    Raises:
        OSError: A file can't be read.

    """
    found = []
    for path, name in name_logs(logs).items():
        with path.open("rb") as file:
            found += [
                (line.decode(errors="replace").rstrip(), name)
                for line in file
                if job.encode() in line
            ]
    # Lines begin with their time, so that this is the order in which they were written.
    return [f"{process}: {line}" for line, process in sorted(found)]


def describe_logs(logs: tuple[Path, ...], by_second: bool) -> list[str]:
    """Return tables of losses and overlapping runs, and what could not be read.

    Raises:
        OSError: A file can't be read.

    """
    report = explain_logs(logs)
    counts = report.counts
    return [
        *describe_losses(report, by_second),
        *describe_overlaps(report),
        f"{counts.read} lines read, {counts.malformed} malformed and skipped, "
        f"{counts.dropped} dropped by the processes",
    ]


def describe_losses(report: Report, by_second: bool) -> list[str]:
    """Return a table of losses by cause and route, and one by second if asked for."""
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
    return lines


def describe_overlaps(report: Report) -> list[str]:
    """Return a table of overlapping runs of one task, two rows for each pair."""
    compared = f"{report.runs_compared} runs compared"
    if report.runs_not_compared:
        compared += f", {report.runs_not_compared} not, as their start is unknown"
    if not report.overlaps:
        return [f"no runs of one task overlapped, {compared}"]
    lines = [
        f"overlapping pairs of runs of one task: {len(report.overlaps)}, {compared}",
        "times of different machines are compared: clocks that differ may cause short "
        "overlaps",
        f"{'overlap ms':>10}  task, log of the agent, entry, attempt, end, reason",
    ]
    for overlap in report.overlaps:
        lines += [
            f"{overlap.overlap_ms:>10}  {overlap.task}, {run.log}, {run.entry or '-'}, "
            f"{run.attempt}, {run.how}, {run.reason or '-'}"
            for run in (overlap.first, overlap.second)
        ]
        lines += [f"{'':>10}  {text}" for text in describe_evidence(overlap)]
    return lines


def describe_evidence(overlap: Overlap) -> list[str]:
    """Return which entries ordered a pair, the proof, and what the first agent logged.

    Times of the agent's lines count from the start of the second run.
    """
    evidence = overlap.evidence
    first, second = evidence.first_order, evidence.second_order
    senders = [order.log if order else "-" for order in (first, second)]
    return [
        f"first ordered by {senders[0]}, second by {senders[1]}",
        f"second ordered after {second.proof if second else '-'}",
        *(
            f"{overlap.first.log} at {note.at_ms - overlap.second.start_ms:+} ms: "
            f"{note.text}"
            for note in evidence.first_agent
        ),
    ]
