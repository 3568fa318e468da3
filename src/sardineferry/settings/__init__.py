"""The settings of processes.

The settings files of entries and agents are JSON and are checked against a
schema. ``platform.settings`` reads the files of an operator's platform.
"""

from __future__ import annotations

from sardineferry.settings.agent import AgentSettings
from sardineferry.settings.deployment import DeploymentSettings
from sardineferry.settings.entry import EntrySettings
from sardineferry.settings.loader import SettingsError
from sardineferry.settings.loader import check_settings
from sardineferry.settings.loader import load_agent_settings
from sardineferry.settings.loader import load_entry_settings

__all__ = [
    "AgentSettings",
    "DeploymentSettings",
    "EntrySettings",
    "SettingsError",
    "check_settings",
    "load_agent_settings",
    "load_entry_settings",
]
