"""Guards against replies that are misread, and requests that carry other headers."""

import gc
import weakref

import testtools

from tanagerpath.runtime.budgets import ByteBudget, ByteHolder
from tanagerpath.runtime.http_messages import (
    MAX_CHUNK_OVERHEAD_BYTES,
    MAX_HEAD_BYTES,
    BrokenReply,
    HttpRequest,
    InvalidRequest,
    OversizedReply,
    ReplyLimits,
    ReplyParser,
    write_head,
)

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PLAIN = HEAD + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = (
    b"HTTP/1.1 409 Conflict\r\ntransfer-encoding: Chunked\r\n\r\n"
    b"3;name=value\r\nwho\r\n2\r\nle\r\n0\r\ntrailer: x\r\nx-empty:\r\n\r\n"
)
UNTIL_CLOSE = b"HTTP/1.0 200 OK\nServer: old\n\nwhole"
CONTINUED = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + PLAIN
)


class Holder(ByteHolder):
    def drop(self):
        pass


def make_parser(max_bytes=100, budget=None):
    return ReplyParser(ReplyLimits(max_bytes, budget), Holder())


def parse(*parts):
    parser = make_parser()
    for part in parts:
        parser.feed(part)
    return parser


class TestReplyParser(testtools.TestCase):
    def test_reply_is_the_same_however_it_is_split(self):
        # A segment may end anywhere, also within a chunk size or a line break.
        for text, status in ((PLAIN, 200), (CHUNKED, 409), (CONTINUED, 200)):
            for size in (1, 2, 3, 7, len(text)):
                parts = [text[at : at + size] for at in range(0, len(text), size)]
                parser = parse(*parts)
                shown = parser.is_complete, parser.status, parser.body
                self.assertEqual((True, status, b"whole"), shown, parts)
                self.assertTrue(parser.keeps_open)

    def test_body_without_a_length_ends_with_the_connection(self):
        for text in (UNTIL_CLOSE, CONTINUED.replace(b"Content-Length: 5\r\n", b"")):
            parser = parse(text)
            self.assertFalse(parser.is_complete)
            parser.end_of_stream()
            shown = parser.is_complete, parser.status, parser.body
            self.assertEqual((True, 200, b"whole"), shown)
            self.assertFalse(parser.keeps_open)

    def test_cut_reply_is_not_taken_for_a_whole_one(self):
        with_empty = PLAIN.replace(b"Content", b"X-Empty:\r\nContent")
        for text in (PLAIN, CHUNKED, CONTINUED, with_empty):
            for end in range(len(text)):
                parser = parse(text[:end])
                self.assertFalse(parser.is_complete, text[:end])
                self.assertRaises(BrokenReply, parser.end_of_stream)

    def test_reply_without_a_body_ends_with_its_head(self):
        for status in (204, 304):
            for length in (b"", b"Content-Length: 9\r\n"):
                parser = parse(b"HTTP/1.1 %d\r\n%b\r\n" % (status, length))
                shown = parser.is_complete, parser.status, parser.body
                self.assertEqual((True, status, b""), shown)

    def test_connection_is_not_reused_after_a_close_or_further_data(self):
        # Further bytes would count as the reply to the next request.
        closing = PLAIN.replace(b"Content", b"Connection: Close\r\nContent")
        old = PLAIN.replace(b"1.1", b"1.0")
        for text in (closing, old, PLAIN + b"H", PLAIN + b"x", closing + b"x"):
            parser = parse(text)
            self.assertEqual((True, b"whole"), (parser.is_complete, parser.body))
            self.assertFalse(parser.keeps_open, text)

    def test_second_reply_changes_nothing_of_the_first(self):
        stale = PLAIN.replace(b"200", b"500").replace(b"whole", b"stale")
        for other in (stale, CHUNKED, b"HTTP/1.1 101 x\r\n\r\n"):
            parser = parse(PLAIN + other)
            self.assertEqual((200, b"whole"), (parser.status, parser.body))
            self.assertFalse(parser.keeps_open)

    def test_text_that_is_no_reply_is_refused(self):
        for text in (
            b"SSH-2.0-x\r\n\r\n",
            b"HTTP/2 200\r\n\r\n",
            b"HTTP/2.0 200 OK\r\n\r\n",
            b"HTTP/1.1 20 OK\r\n\r\n",
            b"HTTP/1.1 099 OK\r\n\r\n",
            b"HTTP/1.1 101 Upgrade\r\n\r\n",
            b"HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
            HEAD + b"no colon\r\n\r\n",
            HEAD + b"Content-Length: -1\r\n\r\n",
            HEAD + b"Content-Length: 5, 5\r\n\r\n",
            HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
            HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
            HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
            CHUNKED_HEAD + b"x\r\n",
            CHUNKED_HEAD + b"-1\r\n",
            CHUNKED_HEAD + b"1\r\nab\r\n",
        ):
            self.assertRaises(BrokenReply, parse, text)

    def test_endless_lines_are_refused(self):
        """Guards against memory that lines without an end use up."""
        part = b"a" * (MAX_HEAD_BYTES // 4)
        for start in (
            b"HTTP/1.1 200 ",
            HEAD,
            HEAD + b"x: ",
            CHUNKED_HEAD + b"1;",
            CHUNKED_HEAD + b"1\r\na\r\n0\r\nx: ",
        ):
            self.assertRaises(BrokenReply, parse, start, *[part] * 5)

    def test_reply_of_small_chunks_is_refused(self):
        """Guards against a body of 4 MiB that takes 90 MB and millions of calls."""
        parser = make_parser(max_bytes=4 * MAX_CHUNK_OVERHEAD_BYTES)
        parser.feed(CHUNKED_HEAD)
        fitting = MAX_CHUNK_OVERHEAD_BYTES // 4
        parser.feed(b"1\r\nx\r\n" * fitting)
        self.assertEqual(fitting, len(parser.body))
        self.assertRaises(BrokenReply, parser.feed, b"1\r\nx\r\n")
        self.assertRaises(
            BrokenReply,
            parse,
            CHUNKED_HEAD,
            *[b"1;" + b"a" * 1000 + b"\r\nx\r\n"] * 70,
        )

    def test_chunks_of_five_bytes_are_never_too_small(self):
        parser = make_parser(max_bytes=10 * MAX_CHUNK_OVERHEAD_BYTES)
        parser.feed(CHUNKED_HEAD)
        for _ in range(10):
            parser.feed(b"5\r\n12345\r\n" * 10_000)
        self.assertEqual(500_000, len(parser.body))

    def test_budget_is_asked_once_for_all_that_has_arrived(self):
        """Guards against work for each chunk, of which one read has thousands."""
        asked = []

        class CountingBudget(ByteBudget):
            def take(self, holder, size, *, is_privileged=False):
                asked.append(size)
                return super().take(holder, size, is_privileged=is_privileged)

        parser = make_parser(max_bytes=1000, budget=CountingBudget(1000))
        parser.feed(CHUNKED_HEAD + b"2\r\nxx\r\n" * 100)
        self.assertEqual([200], asked)

    def test_body_of_many_parts_is_no_endless_line(self):
        parser = make_parser(max_bytes=4 * MAX_HEAD_BYTES)
        parser.feed(HEAD + b"Content-Length: %d\r\n\r\n" % (4 * MAX_HEAD_BYTES))
        for _ in range(4):
            parser.feed(b"a" * MAX_HEAD_BYTES)
        self.assertEqual(4 * MAX_HEAD_BYTES, len(parser.body))
        self.assertTrue(parser.is_complete)


class TestReplyLimits(testtools.TestCase):
    def test_body_over_the_limit_is_refused_however_it_ends(self):
        for text in (PLAIN, CHUNKED, UNTIL_CLOSE):
            parser = make_parser(max_bytes=4)
            self.assertRaises(OversizedReply, parser.feed, text)
            self.assertEqual(b"", parser.body)
            make_parser(max_bytes=5).feed(text)

    def test_budget_holds_the_incomplete_body_only(self):
        """Guards against a budget that finished or failed replies use up."""
        for text in (PLAIN, CHUNKED):
            budget = ByteBudget(100)
            parser = make_parser(budget=budget)
            parser.feed(text[: text.index(b"le")])
            self.assertEqual(3, budget.used_bytes)
            parser.feed(text[text.index(b"le") :])
            self.assertEqual(0, budget.used_bytes)
        parser = make_parser(budget=budget)
        parser.feed(UNTIL_CLOSE)
        self.assertEqual(5, budget.used_bytes)
        parser.end_of_stream()
        self.assertEqual(0, budget.used_bytes)
        parser = make_parser(budget=budget)
        parser.feed(PLAIN[:-1])
        parser.close()
        self.assertEqual(0, budget.used_bytes)

    def test_closed_parser_is_freed_without_a_collection(self):
        """Guards against failed replies that stay in memory in cycles of references."""
        gc.disable()
        self.addCleanup(gc.enable)
        parser = parse(PLAIN[:-1])
        reference = weakref.ref(parser)
        parser.close()
        del parser
        self.assertIsNone(reference())

    def test_body_over_the_budget_is_refused(self):
        budget = ByteBudget(4)
        parser = make_parser(budget=budget)
        self.assertRaises(OversizedReply, parser.feed, PLAIN)
        self.assertEqual(0, budget.used_bytes)


class TestRequestHead(testtools.TestCase):
    def test_odd_identity_adds_no_header(self):
        """Guards against an identity with a line break that becomes a header."""
        for value in (b"a\r\nx-fencing-token: 9", b"a\n", b"\x00", b" a", b"a "):
            request = HttpRequest("POST", "/", b"", ((b"x-instance", value),))
            self.assertRaises(InvalidRequest, write_head, request, "h")
        for name in (b"a\r\nx", b"a b", b"a:", b""):
            request = HttpRequest("POST", "/", b"", ((name, b"1"),))
            self.assertRaises(InvalidRequest, write_head, request, "h")
        for path in ("/a b", "/\r\n", "/\u00fc", "a", ""):
            self.assertRaises(InvalidRequest, write_head, HttpRequest("GET", path), "h")
        for address in ("h\r\nx: 1", "h\n"):
            request = HttpRequest("GET", "/")
            self.assertRaises(InvalidRequest, write_head, request, address)

    def test_methods_whose_replies_end_differently_are_refused(self):
        # The reply to HEAD announces a body that does not follow.
        for method in ("HEAD", "CONNECT", "GET /", "GET\r\n", ""):
            request = HttpRequest(method, "/")
            self.assertRaises(InvalidRequest, write_head, request, "h")

    def test_headers_are_sent_unchanged(self):
        headers = ((b"x-trace", "\u00fc a".encode()), (b"x-empty", b""))
        expected = (
            b"POST /p?q=1 HTTP/1.1\r\ncontent-type: application/json\r\n"
            b"content-length: 2\r\nhost: h:1\r\n"
            b"x-trace: \xc3\xbc a\r\nx-empty: \r\n\r\n"
        )
        request = HttpRequest("POST", "/p?q=1", b"{}", headers)
        self.assertEqual(expected, write_head(request, "h:1"))

    def test_host_of_the_caller_replaces_the_address(self):
        """Guards against two host headers, which a server refuses."""
        request = HttpRequest("GET", "/", b"", ((b"Host", b"h.example"),))
        text = write_head(request, "127.0.0.1:1")
        self.assertEqual(1, text.lower().count(b"host:"))
        self.assertIn(b"\r\nHost: h.example\r\n", text)
