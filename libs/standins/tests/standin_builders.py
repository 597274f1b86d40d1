import json

from tornado.httputil import HTTPHeaders

from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

TIMEOUTS = ExchangeTimeouts(connect_ms=500, first_byte_ms=2000, idle_ms=500)


async def send(address, method, path, document=None, **headers):
    body = b"" if document is None else json.dumps(document).encode()
    http_headers = HTTPHeaders({k.replace("_", "-"): v for k, v in headers.items()})
    request = ExchangeRequest(method, path, http_headers, body)
    return await Exchange.open(address, request, TIMEOUTS)


async def fetch(address, method, path, document=None, **headers):
    exchange = await send(address, method, path, document, **headers)
    return exchange.status, await exchange.body()


def completion(**fields):
    return {"model": "flor-llm", "x_tokens": 4, "x_cost_ms": 20, **fields}
