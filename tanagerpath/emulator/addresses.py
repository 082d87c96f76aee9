"""Loopback addresses on which the processes of a deployment can listen."""

import random
import socket

__all__ = ["find_free_addresses", "find_free_ports"]

# Below the range from which Linux takes the ports of outgoing connections (32768 on);
# a port from that range was taken by one before its process had started.
FIRST_PORT = 20_000
LAST_PORT = 32_000


def find_free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were free a moment ago, all different."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def find_free_addresses(count: int) -> list[str]:
    """Return addresses of 127.0.0.1 whose ports were free a moment ago."""
    return [f"127.0.0.1:{port}" for port in find_free_ports(count)]


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True
