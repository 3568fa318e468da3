"""The decision cores for burst jobs, which have many short tasks.

Tasks run on leased workers, and nothing is stored: a caller's request is held
open until its job has ended. Entries place tasks; agents enforce the limits of
their workers' resources and keep up their leases. Both are state machines
without I/O.
"""

from __future__ import annotations
