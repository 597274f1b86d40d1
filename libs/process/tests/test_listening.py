import asyncio
import socket

from tornado.httpserver import HTTPServer
from tornado.web import Application

from bulrushbend.process.daemon import listen_http, operational_routes
from bulrushbend.process.listening import accept_pending, stop_http

REQUEST = b"GET /healthz HTTP/1.0\r\n\r\n"


async def receive(caller):
    caller.setblocking(False)
    async with asyncio.timeout(2.0):
        return await asyncio.get_running_loop().sock_recv(caller, 65_536)


async def test_connection_in_the_listen_backlog_is_answered_after_the_stop():
    # Guards against a stop that resets connections whose requests were sent already.
    server = HTTPServer(Application(operational_routes(lambda: True)))
    listeners = listen_http(server, "127.0.0.1:0")
    address = listeners[0].getsockname()
    # The event loop does not run meanwhile, so the server has not accepted them.
    callers = [socket.create_connection(address) for _ in range(3)]
    for caller in callers:
        caller.sendall(REQUEST)
    stop_http(server, listeners)
    for caller in callers:
        with caller:
            assert (await receive(caller)).startswith(b"HTTP/1.1 200 OK")
    await server.close_all_connections()


def test_only_waiting_connections_are_accepted():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        assert accept_pending(listener) == []
        with socket.create_connection(listener.getsockname()) as caller:
            ((connection, address),) = accept_pending(listener)
            assert address == caller.getsockname()
            assert not connection.getblocking()
            connection.close()
