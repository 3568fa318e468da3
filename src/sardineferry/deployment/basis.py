"""What both programs on a platform are built on."""

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

__all__ = ["Basis", "build_basis"]

LOG_LEVEL = "INFO"
# New entries are also learned from those that are known.
ENTRIES_WAIT_MS = 10_000


class Basis(NamedTuple):
    """What both programs are built on."""

    loop: IoLoop
    log: LogWriter
    random: random.Random
    mailbox: Mailbox
    links: LinkRegistry
    store: StoreClient
    settings_watch: SettingsWatch
    entries_watch: TopicWatch


def build_basis(settings: DeploymentSettings, path: Path) -> Basis:
    """Build what both programs are built on."""
    log = configure_structured_logs(LOG_LEVEL)
    loop = IoLoop()
    source = random.Random()
    mailbox = Mailbox()
    store = StoreClient(loop, settings.store)
    entries_watch = TopicWatch(
        loop,
        ENTRIES_TOPIC,
        store,
        ENTRIES_WAIT_MS,
        source,
        entries_handler(mailbox),
    )
    watch = SettingsWatch(path, load_deployment_settings, settings, mailbox)
    return Basis(
        loop, log, source, mailbox, LinkRegistry(), store, watch, entries_watch
    )
