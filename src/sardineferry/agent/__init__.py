"""The agent process: links to entries and calls to the target beside it."""

from __future__ import annotations

from sardineferry.agent.process import AgentProcess

__all__ = ["AgentProcess"]
