"""Settings of a process that runs on an operator's platform."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["DeploymentSettings"]


class DeploymentSettings(NamedTuple):
    """What a process is told at its start; addresses are ``host:port``.

    Addresses of what a role does not serve are empty. ``entry_links`` are link
    addresses of some entries, which may be stale.
    """

    name: str
    ip: str
    data_centre: str
    # Where callers' requests, readiness checks and the worker's reports arrive.
    callers: str
    readiness: str
    worker_reports: str
    # Where an entry takes links from agents.
    links: str
    entry_links: tuple[str, ...]
    # The worker beside an agent, and its service.
    worker: str
    service: str
    store: str
    grace_ms: int
    memory_mb: int
    # File descriptors that a process may have open.
    descriptors: int
