"""How much memory of a process its clients' unfinished input may take."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["CONNECTION_BYTES", "ClientBudget", "client_budget"]

BYTES_PER_MB = 1024 * 1024
# Share of the machine's memory that the process may use.
MEMORY_SHARE = 0.8
# The program itself: 21 MB after the start, 30 with the metrics library, and its jobs.
PROGRAM_MB = 40
# A connection with its request and job takes about 20 KB.
CONNECTION_BYTES = 20_000
# The budget is half of what is left: decoding a body takes a multiple of its size for
# a moment, and freed memory is not returned to the system at once.
BUDGET_SHARE = 0.5
# What large receive buffers may hold unread is an eighth of what is left.
LARGE_BUFFERS_SHARE = 0.125
# What open jobs with their payloads may take, where these stay after the request.
JOBS_SHARE = 0.25
# Lower bounds, whatever the settings: a body of the largest size must be served.
MIN_BUDGET_BYTES = 4 * BYTES_PER_MB
MIN_LARGEST_BODIES = 2
MIN_LARGE_BUFFERS_BYTES = 1 * BYTES_PER_MB


class ClientBudget(NamedTuple):
    """What clients' input may take: unfinished, not read yet, and in open jobs.

    What is not read yet is without the small receive buffers, which every connection
    has.
    """

    held_bytes: int
    large_buffers_bytes: int
    job_bytes: int


def client_budget(
    memory_mb: int, connections: int, largest_body_bytes: int, unread_bytes: int = 0
) -> ClientBudget:
    """Return the budget of a process on a machine with this much memory.

    ``unread_bytes`` is what the small receive buffers of all connections may hold.
    """
    own_bytes = PROGRAM_MB * BYTES_PER_MB + connections * CONNECTION_BYTES
    left_bytes = MEMORY_SHARE * memory_mb * BYTES_PER_MB - own_bytes - unread_bytes
    return ClientBudget(
        max(
            MIN_BUDGET_BYTES,
            MIN_LARGEST_BODIES * largest_body_bytes,
            int(BUDGET_SHARE * left_bytes),
        ),
        max(MIN_LARGE_BUFFERS_BYTES, int(LARGE_BUFFERS_SHARE * left_bytes)),
        max(MIN_LARGEST_BODIES * largest_body_bytes, int(JOBS_SHARE * left_bytes)),
    )
