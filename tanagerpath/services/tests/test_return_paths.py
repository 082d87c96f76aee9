"""Guards against answers that are lost or sent twice between control processes."""

import anyio
import testtools

from tanagerpath.core.consensus import SendMessage
from tanagerpath.runtime import Reply
from tanagerpath.services.return_paths import ReturnPaths


class TestReturnPaths(testtools.TestCase):
    def test_messages_go_back_once_and_in_order(self):
        async def main():
            paths, reply = ReturnPaths(), Reply()
            paths.open("c1", reply)
            messages = [SendMessage("c1", number) for number in (1, 2)]
            taken = [paths.take(message) for message in messages]
            taken.append(paths.take(SendMessage("c2", 3)))
            paths.flush()
            taken.append(paths.take(messages[0]))
            return taken, [m.message for m in await reply.receive()]

        taken, returned = anyio.run(main)
        self.assertEqual([True, True, False, False], taken)
        self.assertEqual([1, 2], returned)

    def test_closed_or_replaced_exchange_takes_nothing(self):
        async def main():
            paths, first, second = ReturnPaths(), Reply(), Reply()
            paths.open("c1", first)
            paths.open("c1", second)
            released = await first.receive()
            paths.close("c1", first)
            still_open = paths.take(SendMessage("c1", 1))
            paths.flush()
            paths.open("c1", first)
            paths.close("c1", first)
            return released, still_open, paths.take(SendMessage("c1", 2))

        self.assertEqual(((), True, False), anyio.run(main))
