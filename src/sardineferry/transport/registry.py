"""The registry of a process's open links."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.transport.link import Link

__all__ = ["LinkRegistry"]


class LinkRegistry:
    """Open links by name; a new link replaces an older one of the same name."""

    def __init__(self) -> None:
        """Start without links."""
        self.links: dict[str, Link] = {}

    def add(self, name: str, link: Link) -> None:
        """Register a link and close the one that it replaces."""
        replaced = self.links.get(name)
        self.links[name] = link
        if replaced is not None:
            replaced.close()

    def remove(self, name: str, link: Link) -> bool:
        """Remove a link; return false if another one has replaced it."""
        if self.links.get(name) is not link:
            return False
        del self.links[name]
        return True

    def is_current(self, name: str, link: Link) -> bool:
        """Return whether the link is the registered one of its name."""
        return self.links.get(name) is link

    def send(self, name: str, messages: list[object]) -> bool:
        """Send messages on a link; return false if no link has that name."""
        link = self.links.get(name)
        if link is None:
            return False
        link.send(messages)
        return True

    def abort(self, name: str) -> None:
        """Close a link at once, for example if its other end does not respond."""
        link = self.links.get(name)
        if link is not None:
            link.abort()

    def close_all(self) -> None:
        """Close all links, each after sending what is buffered."""
        for link in list(self.links.values()):
            link.close()
