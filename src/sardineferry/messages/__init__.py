"""Typed messages.

Each program imports the modules that it speaks: ``burst`` on a platform,
``wire`` and ``job`` on the product's own path.
"""

from __future__ import annotations
