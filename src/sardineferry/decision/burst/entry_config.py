"""Event handlers of the entry for configurations, lists of entries and drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from sardineferry.decision.burst.configuration import RouteTable
from sardineferry.decision.burst.effects import ApplyLimits
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_callers import admit_early_jobs
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.common_events import AddressesRead
from sardineferry.decision.common_events import Drain
from sardineferry.messages.burst import ConfigOffer
from sardineferry.messages.burst import ConfigPart
from sardineferry.messages.burst import ConfigRequest
from sardineferry.messages.burst import EntryEndpoint

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["adopt_configuration"]


@handle_entry_event.register(ConfigurationRead)
def on_configuration_read(
    event: ConfigurationRead, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Adopt the configuration from the platform's store if it is newer."""
    adopt_configuration(state, event.text, "store", now_ms)


@handle_entry_event.register(ConfigPart)
def on_config_part(
    event: ConfigPart, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Add a part from an agent; adopt the configuration once it is complete."""
    received = state.config_relay.receive_part(sender, event, now_ms)
    state.effects.extend(received.effects)
    if received.text is not None:
        adopt_configuration(state, received.text, sender, now_ms)


def adopt_configuration(
    state: BurstEntryState, text: bytes, source: str, now_ms: int
) -> None:
    """Adopt a configuration if its version is higher, and offer it to linked agents.

    An unreadable one is logged and ignored.
    """
    if text == state.config_relay.text:
        return
    decoded = state.decode_configuration(text)
    if not is_successful(decoded):
        fields: dict[str, object] = {"source": source, "error": decoded.failure()}
        state.effects.append(LogDecision("configuration unreadable", fields))
        state.counters["configurations_unreadable"] += 1
        return
    configuration = decoded.unwrap()
    held = state.configuration.version
    if not state.config_relay.hold(configuration.version, text):
        return
    state.configuration = configuration
    state.route_table = RouteTable(configuration.routes)
    state.effects.append(ApplyLimits(configuration.limits))
    fields = {
        "version": configuration.version,
        "held": held,
        "source": source,
        "routes": len(configuration.routes),
    }
    state.effects.append(LogDecision("configuration adopted", fields))
    linked = [view.name for view in state.agents.values() if view.linked]
    state.effects.extend(state.config_relay.announce(linked, source))
    admit_early_jobs(state, now_ms)
    state.effects.extend(state.config_relay.continue_transfers(now_ms))


@handle_entry_event.register(ConfigOffer)
def on_config_offer(
    event: ConfigOffer, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Request the offered configuration if newer; offer this entry's if older."""
    state.effects.extend(state.config_relay.answer_offer(sender, event, now_ms))


@handle_entry_event.register(ConfigRequest)
def on_config_request(
    event: ConfigRequest, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Send a part of this entry's configuration."""
    state.effects.extend(state.config_relay.answer_request(sender, event, now_ms))


@handle_entry_event.register(AddressesRead)
def on_addresses_read(
    event: AddressesRead, state: BurstEntryState, _sender: str, _now_ms: int
) -> None:
    """Use the entry addresses of the settings until the store's list is read."""
    if not state.known_entries:
        state.set_known_entries(
            tuple(EntryEndpoint("", address, "", "") for address in event.addresses)
        )


@handle_entry_event.register(EntriesRead)
def on_entries_read(
    event: EntriesRead, state: BurstEntryState, _sender: str, _now_ms: int
) -> None:
    """Record all registered entries, to be sent to agents that link."""
    state.set_known_entries(event.entries)


@handle_entry_event.register(Drain)
def on_drain(event: Drain, state: BurstEntryState, _sender: str, now_ms: int) -> None:
    """Start to drain: admit only jobs that can end within the grace period."""
    if state.drain_started_ms is None:
        state.drain_started_ms = now_ms
        fields: dict[str, object] = {"jobs": len(state.jobs), "reason": event.reason}
        state.effects.append(LogDecision("draining", fields))
