"""Fake entry with scripted replies, for tests of the client commands."""

import http.server
import threading
import time


class FakeEntry:
    """Serves scripted replies over loopback and records the requests.

    Parameters
    ----------
    script : list
        For each request in turn a pair (status, body), or "cut" to close the connection
        without a reply, or "silent" to do so after three seconds.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests = []
        entry = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def _serve(self):
                length = int(self.headers.get("content-length") or 0)
                body = self.rfile.read(length).decode()
                entry.requests.append((self.command, self.path, body))
                step = entry.script.pop(0)
                if step == "silent":
                    time.sleep(3.0)
                if isinstance(step, str):
                    self.close_connection = True
                    return
                status, text = step
                self.send_response(status)
                self.send_header("content-length", str(len(text.encode())))
                self.end_headers()
                self.wfile.write(text.encode())

            def log_message(self, *arguments):
                return None

        for method in ("GET", "POST", "PUT", "DELETE"):
            setattr(Handler, f"do_{method}", Handler._serve)
        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()
