"""Decisions on burst jobs: many short tasks on leased workers, nothing stored.

A caller's request is held open until its job has ended. Entries place tasks,
agents guard their workers' room and leases; both are pure state machines.
"""

from __future__ import annotations
