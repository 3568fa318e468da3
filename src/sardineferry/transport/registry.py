"""The open links of a process by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.transport.link import Link

__all__ = ["LinkRegistry"]


class LinkRegistry:
    """Links by name; a newer link of a name replaces the older."""

    def __init__(self) -> None:
        """Start without links."""
        self.links: dict[str, Link] = {}

    def open(self, name: str, link: Link) -> None:
        """Register a link and end the one that it replaces."""
        replaced = self.links.get(name)
        self.links[name] = link
        if replaced is not None:
            replaced.close()

    def close(self, name: str, link: Link) -> bool:
        """Remove a link; tell whether it was still the current one."""
        if self.links.get(name) is not link:
            return False
        del self.links[name]
        return True

    def is_current(self, name: str, link: Link) -> bool:
        """Tell whether the link was not replaced."""
        return self.links.get(name) is link

    def send(self, name: str, messages: list[object]) -> bool:
        """Send messages; false when there is no such link."""
        link = self.links.get(name)
        if link is None:
            return False
        link.send(messages)
        return True

    def abort(self, name: str) -> None:
        """End a link whose other end is silent."""
        link = self.links.get(name)
        if link is not None:
            link.abort()

    def close_all(self) -> None:
        """End every link after what is on its way."""
        for link in list(self.links.values()):
            link.close()
