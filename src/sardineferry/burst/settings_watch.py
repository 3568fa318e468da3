"""Notices changes of the settings file, with or without a signal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from sardineferry.decision.common_events import AddressesRead
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from returns.result import Result

    from sardineferry.mailbox import Mailbox
    from sardineferry.settings import DeploymentSettings
    from sardineferry.settings import SettingsError

    Load = Callable[[Path], Result[DeploymentSettings, tuple[SettingsError, ...]]]

__all__ = ["SettingsWatch"]

logger = part_logger("settings")


class SettingsWatch:
    """Reads the settings again when the file has changed.

    Addresses of entries are taken over; what a process listens on changes
    only with a restart, which is logged.
    """

    def __init__(
        self, path: Path, load: Load, settings: DeploymentSettings, mailbox: Mailbox
    ) -> None:
        """Name the file, how it is read, and what was read at the start."""
        self.path = path
        self.load = load
        self.settings = settings
        self.mailbox = mailbox
        self.changed_ns = self.read_time()

    def read_time(self) -> int:
        """Return when the file was last changed; 0 if it can't be told."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            logger.warning("Settings file can't be looked at: %s.", error)
            return 0

    def check(self) -> None:
        """Read the file if it has changed since the last look."""
        changed_ns = self.read_time()
        if changed_ns != self.changed_ns:
            self.changed_ns = changed_ns
            self.reload()

    def reload(self) -> None:
        """Read the file and take over what may change."""
        loaded = self.load(self.path)
        if isinstance(loaded, Failure):
            logger.error("Kept the settings; the new ones are bad: %s.", loaded)
            return
        settings = loaded.unwrap()
        changed = [
            name
            for name, before, now in zip(
                settings._fields, self.settings, settings, strict=True
            )
            if before != now
        ]
        self.settings = settings
        logger.info("Settings reloaded.", extra={"fields": {"changed": changed}})
        if "entry_links" in changed:
            self.mailbox.put(AddressesRead(settings.entry_links))
