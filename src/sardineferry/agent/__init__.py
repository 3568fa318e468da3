"""The agent process, which links to entries and runs tasks on its target."""

from __future__ import annotations

from sardineferry.agent.process import AgentProcess

__all__ = ["AgentProcess"]
