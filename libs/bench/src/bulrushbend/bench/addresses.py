"""Loopback addresses for processes that a test rig or a test starts."""

import socket

_assigned_ports: set[int] = set()


def free_address() -> str:
    """Return an unused loopback address.

    The port is released before the process that will use it listens, and the operating
    system may assign a released port again. Therefore ports returned by earlier calls
    are skipped: no two calls in one process return the same address.
    """
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in _assigned_ports:
            _assigned_ports.add(port)
            return f"127.0.0.1:{port}"
