"""The messages that processes exchange.

``burst`` has those of deployments on an operator's platform, ``wire`` those of
other deployments, and ``job`` and ``target`` the types used in the latter. Each
program imports only the modules that it needs.
"""

from __future__ import annotations
