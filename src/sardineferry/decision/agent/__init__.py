"""Decision logic of an agent: which tasks it starts on its target.

Only the agent knows its target's free capacity; entries work with estimates.
"""

from __future__ import annotations

from sardineferry.decision.agent.core import AgentCore
from sardineferry.decision.agent.state import AgentPolicy
from sardineferry.decision.agent.state import AgentState

__all__ = ["AgentCore", "AgentPolicy", "AgentState"]
