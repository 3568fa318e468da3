"""Builds the parts that entries and agents on an operator's platform have in common."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.burst.settings_watch import SettingsWatch
from sardineferry.logs import LogWriter
from sardineferry.logs import configure_structured_logs
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.platform.settings import load_deployment_settings
from sardineferry.platform.store import StoreClient
from sardineferry.platform.topic_watch import ENTRIES_TOPIC
from sardineferry.platform.topic_watch import TopicWatch
from sardineferry.platform.topic_watch import entries_handler
from sardineferry.transport import LinkRegistry

if TYPE_CHECKING:
    from pathlib import Path

    from sardineferry.settings import DeploymentSettings

__all__ = ["CommonParts", "build_common_parts"]

LOG_LEVEL = "INFO"
# How long a read of the entries topic waits for a new record. It may be long, as
# processes also learn of new entries from entries that they know.
ENTRIES_READ_WAIT_MS = 10_000


class CommonParts(NamedTuple):
    """The parts that are built alike for an entry and an agent."""

    loop: IoLoop
    log: LogWriter
    random: random.Random
    mailbox: Mailbox
    links: LinkRegistry
    store: StoreClient
    settings_watch: SettingsWatch
    entries_watch: TopicWatch


def build_common_parts(settings: DeploymentSettings, path: Path) -> CommonParts:
    """Build the common parts; ``path`` is the settings file to watch."""
    log = configure_structured_logs(LOG_LEVEL)
    loop = IoLoop()
    random_source = random.Random()
    mailbox = Mailbox()
    store = StoreClient(loop, settings.store)
    entries_watch = TopicWatch(
        loop,
        ENTRIES_TOPIC,
        store,
        ENTRIES_READ_WAIT_MS,
        random_source,
        entries_handler(mailbox),
    )
    settings_watch = SettingsWatch(path, load_deployment_settings, settings, mailbox)
    return CommonParts(
        loop,
        log,
        random_source,
        mailbox,
        LinkRegistry(),
        store,
        settings_watch,
        entries_watch,
    )
