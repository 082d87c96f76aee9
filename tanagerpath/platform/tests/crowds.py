"""Crowds of clients and upstreams on loopback that exceed the limits of a process."""

import contextlib
import os
import pathlib
import re
import socket
import threading
import time

CLIENTS = 6
BODY_BYTES = 64 * 1024 * 1024
PIECE_BYTES = 1024 * 1024
SEND_TIMEOUT_S = 30.0
KB_PER_MB = 1024.0
MIN_RECEIVE_BUFFER_BYTES = 4096


def read_peak_mb(process):
    """Return the peak of the resident memory of a process so far."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", text).group(1)) / KB_PER_MB


def count_descriptors(process):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def connect(url, receive_buffer_bytes=0, send_buffer_bytes=0):
    """Open a connection to the host and port of a URL; 0 is the system's size."""
    host, port = url.partition("//")[2].partition("/")[0].split(":")
    one = socket.socket()
    if receive_buffer_bytes:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    if send_buffer_bytes:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    one.settimeout(SEND_TIMEOUT_S)
    one.connect((host, int(port)))
    return one


def make_head(method, path, *headers):
    """Return a request head without the empty line that ends it."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", "X-Api-Key: a1", *headers]
    return "".join(f"{line}\r\n" for line in lines).encode()


def is_closed(one):
    """Return whether the other side has closed a connection; discards what it sent."""
    one.setblocking(False)
    try:
        while one.recv(65_536):
            pass
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


class BodyCrowd:
    """Clients that send bodies over the limit at once, until they are refused.

    The last byte of each body follows once the other clients have sent theirs, so that
    a process that holds whole bodies holds all of them at the same time.

    Parameters
    ----------
    url : str
        Process to call.
    method, path : str
        Request of each client.
    is_announced : bool
        Whether the length is sent with the header; otherwise the body is chunked.
    """

    def __init__(self, url, method, path, is_announced):
        self._url = url
        self._method = method
        self._path = path
        self._is_announced = is_announced
        self._all_sent = threading.Barrier(CLIENTS)

    def run(self):
        """Run all clients to their end."""
        threads = [threading.Thread(target=self._run_client) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_client(self):
        with connect(self._url) as one:
            try:
                self._send(one)
                is_sent = True
            except OSError:  # refused, as it should be
                is_sent = False
            with contextlib.suppress(threading.BrokenBarrierError):
                self._all_sent.wait(SEND_TIMEOUT_S)
            if is_sent:
                with contextlib.suppress(OSError):
                    one.sendall(b"a" if self._is_announced else b"1\r\na\r\n0\r\n\r\n")
                    one.recv(65_536)

    def _send(self, one):
        length = f"Content-Length: {BODY_BYTES}"
        header = length if self._is_announced else "Transfer-Encoding: chunked"
        one.sendall(make_head(self._method, self._path, header) + b"\r\n")
        for _ in range(BODY_BYTES // PIECE_BYTES - 1):
            self._send_piece(one, PIECE_BYTES)
        self._send_piece(one, PIECE_BYTES - 1)

    def _send_piece(self, one, size):
        piece = b"a" * size
        one.sendall(piece if self._is_announced else b"%x\r\n%b\r\n" % (size, piece))


class TricklingCrowd:
    """Clients that send a few bytes again and again, and never complete a request.

    Parameters
    ----------
    url : str
        Process to call.
    first, repeated : bytes
        First bytes, and bytes that follow at intervals.
    """

    CONNECTIONS = 20
    INTERVAL_S = 0.1

    def __init__(self, url, first, repeated):
        self._repeated = repeated
        self._open = []
        for _ in range(self.CONNECTIONS):
            one = connect(url)
            one.sendall(first)
            self._open.append(one)

    def run(self, timeout_s):
        """Send until all connections are closed; return the number of the others."""
        until_s = time.monotonic() + timeout_s
        while self._open and time.monotonic() < until_s:
            for one in tuple(self._open):
                if is_closed(one):
                    one.close()
                    self._open.remove(one)
                    continue
                with contextlib.suppress(OSError):
                    one.send(self._repeated)
            time.sleep(self.INTERVAL_S)
        left = len(self._open)
        for one in self._open:
            one.close()
        return left


def make_chunk(size):
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (size, b" " * size)


ENDLESS_PIECE = make_chunk(PIECE_BYTES)


class EndlessUpstream:
    """An upstream that answers each order with a body without end.

    Parameters
    ----------
    piece : bytes
        Chunks that the upstream sends again and again.
    """

    def __init__(self, piece=ENDLESS_PIECE):
        self._piece = piece
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.replies = 0
        self._is_open = True
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def _accept(self):
        while self._is_open:
            try:
                one, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(one,), daemon=True).start()

    def _answer(self, one):
        one.settimeout(SEND_TIMEOUT_S)
        with one, contextlib.suppress(OSError):
            one.recv(65_536)
            one.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(BODY_BYTES // PIECE_BYTES):
                one.sendall(self._piece)
        self.replies += 1

    def close(self):
        """Stop; open connections end with their reply."""
        self._is_open = False
        self._listener.close()
