import contextlib
import os
import socket
import subprocess
import sys

import pytest
from fleet import _open_files, _socket_inode
from forwarder import _MAX_LOOK_UPS, Network, Rule
from localfleet import pick_ports

BUSY_PROGRAM = """
import os, socket
kept = 500
opened_first = socket.socket()
os.dup2(opened_first.fileno(), kept)
opened_first.close()
print(os.fstat(kept).st_ino, flush=True)
while True:
    opened = [os.open("/dev/null", os.O_RDONLY) for _ in range(20)]
    for descriptor in opened:
        os.close(descriptor)
"""


def test_open_files_of_a_busy_process_are_all_found():
    # Guards against a look-up that stops at the first file closed in the meantime. A
    # rule for one source then missed a connection, and a record reached control
    # although all links to it should have been silent.
    process = subprocess.Popen(
        [sys.executable, "-c", BUSY_PROGRAM], stdout=subprocess.PIPE, text=True
    )
    try:
        link = f"socket:[{process.stdout.readline().strip()}]"
        missed = sum(link not in _open_files(process.pid) for _ in range(500))
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
    assert missed == 0


def test_connections_from_one_port_to_two_servers_are_distinguished():
    # Guards against a look-up by the client port alone: the kernel may use one port
    # for connections to different servers, and a rule for a source missed its link.
    with contextlib.ExitStack() as stack:
        servers = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(2)
        ]
        port, found, expected = 0, [], []
        for server in servers:
            caller = stack.enter_context(socket.socket())
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            caller.bind(("127.0.0.1", port))
            caller.connect(server.getsockname())
            port = caller.getsockname()[1]
            expected.append(str(os.fstat(caller.fileno()).st_ino))
        for server in servers:
            found.append(_socket_inode(port, server.getsockname()[1]))
    assert found == expected


class DelayedLookUp:
    """Look-up that finds the source only after a number of misses."""

    def __init__(self, misses):
        self.misses = misses

    def __call__(self, client_port, server_port):
        self.misses -= 1
        return "" if self.misses >= 0 else "router-1"


@pytest.mark.parametrize("is_open", [True, False])
def test_rule_applies_when_the_source_is_found_late(is_open):
    # Guards against a rule for one source that depends on a single look-up.
    with socket.create_server(("127.0.0.1", 0)) as server:
        network = Network(DelayedLookUp(3))
        try:
            (port,) = pick_ports(1)
            address = f"127.0.0.1:{server.getsockname()[1]}"
            network.forward("control-1", f"127.0.0.1:{port}", address)
            if not is_open:
                network.set_rule(Rule.SILENT, "control-1", "router-1")
            with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
                accepted, _ = server.accept()
                with accepted:
                    if is_open:
                        network.set_rule(Rule.SILENT, "control-1", "router-1")
                    caller.sendall(b"record")
                    accepted.settimeout(0.3)
                    described = network.describe()
                    assert described == "control-1 from router-1: silent, 4 look-ups"
                    with pytest.raises(TimeoutError):
                        accepted.recv(100)
        finally:
            network.close()


def test_source_is_not_looked_up_without_a_rule_for_a_source():
    # Guards against a look-up for every connection: it blocks the forwarder for some
    # 13 ms, which counted as idle time of slots.
    look_ups = DelayedLookUp(0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        network = Network(look_ups)
        try:
            (port,) = pick_ports(1)
            address = f"127.0.0.1:{server.getsockname()[1]}"
            network.forward("engine-1", f"127.0.0.1:{port}", address)
            network.set_rule(Rule.SILENT, "control-1", "router-1")
            with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
                accepted, _ = server.accept()
                with accepted:
                    caller.sendall(b"work")
                    assert accepted.recv(100) == b"work"
        finally:
            network.close()
    assert look_ups.misses == 0


def test_look_ups_of_a_connection_without_source_are_bounded():
    # Guards against look-ups that every rule repeats for connections without a source:
    # they delayed 12 rules by seconds, and agents were isolated for that much longer.
    look_ups = DelayedLookUp(1_000)
    with socket.create_server(("127.0.0.1", 0)) as server:
        network = Network(look_ups)
        try:
            (port,) = pick_ports(1)
            address = f"127.0.0.1:{server.getsockname()[1]}"
            network.forward("control-1", f"127.0.0.1:{port}", address)
            with socket.create_connection(("127.0.0.1", port), timeout=5):
                accepted, _ = server.accept()
                with accepted:
                    for number in range(5):
                        network.set_rule(Rule.SILENT, "control-1", f"agent-{number}")
        finally:
            network.close()
    assert look_ups.misses == 1_000 - _MAX_LOOK_UPS
