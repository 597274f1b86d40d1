"""Listening sockets that are closed without losing accepted connections."""

import socket

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream


def accept_pending(listener: socket.socket) -> list[tuple[socket.socket, tuple]]:
    """Accept all connections in the listen backlog of a non-blocking socket.

    The kernel completes connections before the process accepts them, and resets those
    in the backlog when the socket is closed. A process that stops listening accepts
    them first, since their callers may have sent requests already.

    Returns
    -------
    list of (socket, address)
        The connections, non-blocking, with the addresses of their peers.
    """
    accepted = []
    while True:
        try:
            connection, address = listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            # The backlog is empty, or no file descriptor is left.
            return accepted
        connection.setblocking(False)
        accepted.append((connection, address))


def stop_http(server: HTTPServer, listeners: list[socket.socket]) -> None:
    """Close the listening sockets of a Tornado server after a last accept.

    Parameters
    ----------
    server : HTTPServer
        The server.
    listeners : list of socket
        Its listening sockets, as returned by `daemon.listen_http`.
    """
    for listener in listeners:
        for connection, address in accept_pending(listener):
            server.handle_stream(IOStream(connection), address)
    server.stop()
