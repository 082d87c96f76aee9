"""Guards against a proxy that shows another fault than the one asked for."""

import anyio
import testtools

from tanagerpath.emulator.proxy import ProxyMode, SilentProxy


async def _echo(stream):
    async with stream:
        async for chunk in stream:
            await stream.send(chunk)


async def _ask(stream):
    """Return whether a byte came back, or None if the connection has ended."""
    try:
        with anyio.move_on_after(0.2):
            await stream.send(b"x")
            return await stream.receive() == b"x"
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return None
    return False


async def _connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def probe_mode(mode):
    """Return what an open and a new connection get once a mode is in force."""
    async with anyio.create_task_group() as tasks:
        server = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = server.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(server.serve, _echo)
        proxy = await SilentProxy.from_target(f"127.0.0.1:{port}")
        tasks.start_soon(proxy.run)
        old = await _connect(proxy)
        before = await _ask(old)
        proxy.set_mode(mode)
        new = await _connect(proxy)
        seen = before, await _ask(old), await _ask(new)
        tasks.cancel_scope.cancel()
    return seen


class TestSilentProxy(testtools.TestCase):
    CASES = [
        (ProxyMode.PASS, (True, True, True)),
        (ProxyMode.SILENCE_OPEN, (True, False, True)),
        (ProxyMode.SILENT, (True, False, False)),
        (ProxyMode.CUT_TO_SERVER, (True, False, False)),
        (ProxyMode.CUT_TO_CLIENT, (True, False, False)),
        (ProxyMode.REFUSE, (True, None, None)),
    ]

    def test_modes(self):
        for mode, expected in self.CASES:
            self.assertEqual(expected, anyio.run(probe_mode, mode), mode)
