"""The settings of a process on an operator's platform."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["DeploymentSettings"]


class DeploymentSettings(NamedTuple):
    """The settings of a process; addresses are ``host:port``.

    An address is empty if the role does not use it. ``entry_links`` are the
    link addresses of some entries, which may be out of date.
    """

    name: str
    ip: str
    data_centre: str
    # Addresses to listen on for callers, readiness checks and worker reports.
    callers: str
    readiness: str
    worker_reports: str
    # The address on which an entry accepts links from agents.
    links: str
    entry_links: tuple[str, ...]
    # The address of the agent's worker, and the service that the worker runs.
    worker: str
    service: str
    # The address of the platform's metadata store.
    store: str
    # How long the process may take to exit after SIGTERM.
    grace_ms: int
    # The machine's limits: its memory, and how many file descriptors a process
    # may have open.
    memory_mb: int
    descriptors: int
    # By which factor runs outside the rack of their data take longer.
    remote_factor: float = 1.0
