"""Guards against replies between replicas that are lost or sent twice."""

import anyio
import testtools

from tanagerpath.core.consensus import SendMessage
from tanagerpath.runtime import Reply
from tanagerpath.services.pending_responses import PendingResponses


class TestPendingResponses(testtools.TestCase):
    def test_messages_are_sent_once_and_in_order(self):
        async def main():
            pending, reply = PendingResponses(), Reply()
            pending.open("c1", reply)
            messages = [SendMessage("c1", number) for number in (1, 2)]
            added = [pending.add(message) for message in messages]
            added.append(pending.add(SendMessage("c2", 3)))
            pending.flush()
            added.append(pending.add(messages[0]))
            return added, [m.message for m in await reply.receive()]

        added, returned = anyio.run(main)
        self.assertEqual([True, True, False, False], added)
        self.assertEqual([1, 2], returned)

    def test_closed_or_replaced_response_gets_no_messages(self):
        async def main():
            pending, first, second = PendingResponses(), Reply(), Reply()
            pending.open("c1", first)
            pending.open("c1", second)
            released = await first.receive()
            pending.close("c1", first)
            still_open = pending.add(SendMessage("c1", 1))
            pending.flush()
            pending.open("c1", first)
            pending.close("c1", first)
            return released, still_open, pending.add(SendMessage("c1", 2))

        self.assertEqual(((), True, False), anyio.run(main))
