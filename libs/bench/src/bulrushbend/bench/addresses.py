"""Loopback addresses for processes that a rig or a test starts."""

import socket

_assigned_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address that nobody listens on.

    A port is released before its process listens, and the system may give out a
    released port again. No two calls in a process return the same address.
    """
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in _assigned_ports:
            _assigned_ports.add(port)
            return f"127.0.0.1:{port}"
