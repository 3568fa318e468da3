"""Reloads the settings file when it changes or when a signal asks for it."""

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

    LoadSettings = Callable[
        [Path], Result[DeploymentSettings, tuple[SettingsError, ...]]
    ]

__all__ = ["SettingsWatch"]

logger = part_logger("settings")


class SettingsWatch:
    """Holds the current settings and reloads them when the file has changed.

    New addresses of entries take effect at once; a process has to be restarted to
    listen on other addresses. The names of all changed settings are logged.
    """

    def __init__(
        self,
        path: Path,
        load: LoadSettings,
        settings: DeploymentSettings,
        mailbox: Mailbox,
    ) -> None:
        """Watch a settings file; ``settings`` were read from it with ``load``."""
        self.path = path
        self.load = load
        self.settings = settings
        self.mailbox = mailbox
        self.modified_ns = self.read_modified_ns()

    def read_modified_ns(self) -> int:
        """Return the file's modification time, or 0 if it can't be read."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            logger.warning("Settings file: can't read modification time: %s.", error)
            return 0

    def check(self) -> None:
        """Reload the settings if the file has changed since the last check."""
        modified_ns = self.read_modified_ns()
        if modified_ns != self.modified_ns:
            self.modified_ns = modified_ns
            self.reload()

    def reload(self) -> None:
        """Load the file, or keep the current settings if it is invalid."""
        loaded = self.load(self.path)
        if isinstance(loaded, Failure):
            logger.error(
                "Settings file is invalid, current settings are kept: %s.", loaded
            )
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
