"""The ``check-configuration`` command."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec
from returns.result import Failure

from sardineferry.console.errors import EXIT_FAILURE
from sardineferry.console.errors import fail_unreadable
from sardineferry.decision.burst import configuration_check
from sardineferry.decision.burst.configuration_check import has_errors
from sardineferry.platform.configuration import decode_configuration
from sardineferry.platform.configuration_document import FIELD_NAMES
from sardineferry.platform.configuration_document import read_configuration

if TYPE_CHECKING:
    from sardineferry.decision.burst.configuration import Configuration
    from sardineferry.decision.burst.configuration_check import Finding

__all__ = ["check_configuration"]


class FindingRow(TypedDict):
    """A finding in the JSON output."""

    severity: str
    path: str
    reason: str


class CheckReport(TypedDict):
    """The JSON output; ``accepted`` is whether there are no errors."""

    accepted: bool
    findings: list[FindingRow]


def check_configuration(
    file: Path, *, current: Path | None = None, json: bool = False
) -> None:
    """Check a platform's configuration before it is sent.

    Exit with status 1 if there are errors and with 2 if a file can't be read.

    Args:
        file: The JSON file to be written under the key ``config``.
        current: The JSON file in force, to list what differs from it.
        json: Print the findings as JSON.

    """
    in_force = None if current is None else load_current(current)
    findings = find_all(read_file(file), in_force)
    sys.stdout.write(render_json(findings) if json else render_text(file, findings))
    if has_errors(findings):
        sys.exit(EXIT_FAILURE)


def read_file(path: Path) -> bytes:
    """Return a file's content, or exit with status 2."""
    try:
        return path.read_bytes()
    except OSError as error:
        fail_unreadable(path, str(error.strerror))


def load_current(path: Path) -> Configuration:
    """Return the configuration in force, or exit with status 2."""
    decoded = decode_configuration(read_file(path))
    if isinstance(decoded, Failure):
        fail_unreadable(path, decoded.failure())
    return decoded.unwrap()


def find_all(text: bytes, in_force: Configuration | None) -> tuple[Finding, ...]:
    """Return all findings on a configuration, with the differences if asked for."""
    read = read_configuration(text)
    if isinstance(read, Failure):
        return (read.failure(),)
    written = read.unwrap()
    findings = configuration_check.check_configuration(written, FIELD_NAMES)
    if in_force is None:
        return findings
    return findings + configuration_check.compare_configurations(
        written.configuration, in_force, FIELD_NAMES
    )


def render_text(path: Path, findings: tuple[Finding, ...]) -> str:
    """Return a line for each finding and one with the result."""
    result = "has errors" if has_errors(findings) else "accepted"
    lines = [f"{item.severity.value}: {item.path}: {item.reason}" for item in findings]
    return "".join(f"{line}\n" for line in (*lines, f"{path}: {result}"))


def render_json(findings: tuple[Finding, ...]) -> str:
    """Return the report as indented JSON."""
    report = CheckReport(
        accepted=not has_errors(findings),
        findings=[
            FindingRow(severity=item.severity.value, path=item.path, reason=item.reason)
            for item in findings
        ],
    )
    return msgspec.json.format(msgspec.json.encode(report), indent=2).decode() + "\n"
