"""The gRPC method that both sides use, with frames as raw bytes."""

from __future__ import annotations

__all__ = ["CHANNEL_OPTIONS", "METHOD", "METHOD_PATH", "SERVICE"]

SERVICE = "sardineferry.Link"
METHOD = "Exchange"
METHOD_PATH = f"/{SERVICE}/{METHOD}"

MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.so_reuseport", 0),
    # A link that is dialled anew must not share the connection it gave up.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)
