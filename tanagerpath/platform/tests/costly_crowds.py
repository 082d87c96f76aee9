"""Crowds of clients on loopback whose bytes cost a process much work or memory."""

import json
import threading

import attrs

from tanagerpath.platform.tests.crowds import (
    MIN_RECEIVE_BUFFER_BYTES,
    connect,
    make_head,
)

PACKET_BYTES = 64 * 1024
# A client whose bytes are not taken for this long has done its part.
STALL_TIMEOUT_S = 5.0
MAX_STEPS_IN_BODY = 4_000


@attrs.frozen
class ByteStream:
    """Bytes of one client: a first part, and a part that follows again and again.

    Attributes
    ----------
    first : bytes
        Sent once on each connection.
    repeated : bytes
        Sent until the client has sent all its bytes.
    """

    first: bytes
    repeated: bytes

    def make_packet(self):
        """Return the repeated part as often as it fits into a packet, at least once."""
        return self.repeated * max(PACKET_BYTES // len(self.repeated), 1)


class CostlyCrowd:
    """Clients that send a fixed number of bytes each and read no reply.

    A client whose connection is closed opens another one, up to `CONNECTIONS` in all.
    One whose bytes are not taken for `STALL_TIMEOUT_S` ends.

    Parameters
    ----------
    url : str
        Process to call.
    streams : sequence of ByteStream
        What each client sends.
    client_bytes : int
        Number of bytes of each client.
    send_buffer_bytes : int
        Bytes that the system buffers for a client; a small number lets a client end
        only when the process has read its bytes. 0 is the size of the system.
    """

    CONNECTIONS = 8

    def __init__(self, url, streams, client_bytes, send_buffer_bytes=0):
        self._url = url
        self._streams = streams
        self._client_bytes = client_bytes
        self._send_buffer_bytes = send_buffer_bytes
        self._open = []
        self._lock = threading.Lock()
        self.sent_bytes = 0

    def run(self):
        """Run all clients to their end; their connections stay open."""
        threads = [
            threading.Thread(target=self._run_client, args=(stream,))
            for stream in self._streams
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def close(self):
        """Close all connections."""
        for one in self._open:
            one.close()

    def _run_client(self, stream):
        for _ in range(self.CONNECTIONS):
            try:
                self._send(stream)
            except TimeoutError:
                return
            except OSError:  # refused or closed
                continue
            return

    def _send(self, stream):
        one = connect(self._url, MIN_RECEIVE_BUFFER_BYTES, self._send_buffer_bytes)
        self._open.append(one)
        one.settimeout(STALL_TIMEOUT_S)
        packet = stream.make_packet()
        one.sendall(stream.first)
        left = self._client_bytes
        while left > 0:
            one.sendall(packet)
            left -= len(packet)
            with self._lock:
                self.sent_bytes += len(packet)


def make_chunked_head(method, path):
    """Return the head of a request whose body is chunked."""
    return make_head(method, path, "Transfer-Encoding: chunked") + b"\r\n"


def make_submission(workload_id, body):
    """Return a whole submission as bytes."""
    text = json.dumps(body).encode()
    length = f"Content-Length: {len(text)}"
    return make_head("POST", f"/q/{workload_id}", length) + b"\r\n" + text


def make_put(path, body):
    """Return a whole request of an operator or an upstream as bytes."""
    text = json.dumps(body).encode()
    return make_head("PUT", path, f"Content-Length: {len(text)}") + b"\r\n" + text


def make_large_workload():
    """Return a workload with almost as many steps as the limit allows."""
    return {"spec": "text", "steps": [{"count": 1, "cpu": 500}] * MAX_STEPS_IN_BODY}
