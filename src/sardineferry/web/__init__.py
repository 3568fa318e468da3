"""An HTTP/1.1 server and client on the event loop, with ``httptools`` as parser."""

from __future__ import annotations

from sardineferry.web.client import HttpClient
from sardineferry.web.messages import HttpRequest
from sardineferry.web.messages import HttpResponse
from sardineferry.web.messages import HttpResult
from sardineferry.web.messages import json_response
from sardineferry.web.server import Exchange
from sardineferry.web.server import HttpLimits
from sardineferry.web.server import HttpServer

__all__ = [
    "Exchange",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpResult",
    "HttpServer",
    "json_response",
]
