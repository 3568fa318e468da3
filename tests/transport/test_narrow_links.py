"""Sends a large configuration over a narrow link, beside heartbeats."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench.fleet import find_free_ports
from bench.proxy import FaultyProxy

from sardineferry.clock import now_ms
from sardineferry.decision.burst.config_relay import ConfigRelay
from sardineferry.decision.common_effects import Send
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.messages.burst import CODEC
from sardineferry.messages.burst import AgentBeat
from sardineferry.messages.burst import ConfigOffer
from sardineferry.messages.burst import ConfigPart
from sardineferry.messages.burst import ConfigRequest
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.transport import Dialer
from sardineferry.transport import LinkListener
from sardineferry.transport import LinkRegistry
from tests.loops import run_for
from tests.loops import run_until

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.effects import BurstEffect

# The slowest link of the users.
BYTES_PER_S = 9_500_000 / 8
TEXT = random.Random(1).randbytes(300_000)
BEAT_INTERVAL_S = 0.02
# The stated bound: a message waits behind 16 KiB at most.
MAX_UNCONFIRMED_BYTES = 16 * 1024


class End:
    """One end of a link with a relay; it answers heartbeats and reads echoes."""

    def __init__(self, loop: IoLoop) -> None:
        self.loop = loop
        self.mailbox = Mailbox()
        self.links = LinkRegistry()
        self.relay = ConfigRelay(0, None)
        # Bytes of parts that the other end has not confirmed, at each echo.
        self.unconfirmed_bytes = 0
        self.unconfirmed_at_echoes: list[int] = []
        self.echoes = 0

    def on_pass(self) -> None:
        while (event := self.mailbox.take()) is not None:
            self.handle(*event)

    def wait_s(self) -> float:
        return BEAT_INTERVAL_S

    def send(self, effects: Iterable[BurstEffect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            if isinstance(effect.message, ConfigPart):
                self.unconfirmed_bytes += len(effect.message.text)
            self.links.send(effect.to, [effect.message])

    def handle(self, message: object, link: str) -> None:
        now = now_ms()
        if isinstance(message, AgentBeat):
            self.links.send(link, [EntryBeat(message.sent_at_ms, ())])
            self.unconfirmed_at_echoes.append(self.unconfirmed_bytes)
        elif isinstance(message, EntryBeat):
            self.echoes += 1
        elif isinstance(message, WorkerAnnounce):
            self.send(self.relay.announce([link]))
        elif isinstance(message, ConfigOffer):
            self.send(self.relay.answer_offer(link, message, now))
        elif isinstance(message, ConfigRequest):
            self.unconfirmed_bytes = 0
            self.send(self.relay.answer_request(link, message, now))
        elif isinstance(message, ConfigPart):
            received = self.relay.receive_part(link, message, now)
            self.send(received.effects)
            if received.text is not None:
                self.relay.hold(message.version, received.text)


def test_heartbeats_pass_a_large_configuration_on_a_narrow_link() -> None:
    loop = IoLoop()
    entry, agent = End(loop), End(loop)
    entry.relay.hold(2, TEXT)
    listener = LinkListener(loop, "127.0.0.1:0", CODEC, entry.mailbox, entry.links)
    listener.start()
    address = f"127.0.0.1:{find_free_ports(1)[0]}"
    proxy = FaultyProxy(address, f"127.0.0.1:{listener.port}")
    proxy.bytes_per_s = BYTES_PER_S
    loop.pass_hooks += [entry, agent]
    dialer = Dialer(loop, address, CODEC, agent.mailbox, agent.links, random.Random(1))
    dialer.start()
    run_until(loop, lambda: agent.links.links)
    agent.links.send(address, [WorkerAnnounce("a", "i", "dc")])
    loop.call_every(
        BEAT_INTERVAL_S, lambda: agent.links.send(address, [AgentBeat(now_ms())])
    )
    run_until(loop, lambda: agent.relay.version == 2)
    run_for(loop, 0.1)
    assert agent.relay.text == TEXT
    assert agent.echoes >= 5
    assert 0 < max(entry.unconfirmed_at_echoes) <= MAX_UNCONFIRMED_BYTES
    proxy.close()
