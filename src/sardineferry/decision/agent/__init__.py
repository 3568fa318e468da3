"""Decisions of the agent: the only authority on its target's capacity."""

from __future__ import annotations

from sardineferry.decision.agent.core import AgentCore
from sardineferry.decision.agent.state import AgentPolicy
from sardineferry.decision.agent.state import AgentState

__all__ = ["AgentCore", "AgentPolicy", "AgentState"]
