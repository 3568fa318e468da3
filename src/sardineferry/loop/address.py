"""Addresses as ``host:port``."""

from __future__ import annotations

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Raises:
        ValueError: The port is not a number.

    """
    host, _, port = address.rpartition(":")
    return host, int(port)
