"""Guards against requests that are misread, and texts that are costly to refuse."""

import testtools

from tanagerpath.runtime.chunked_body import (
    MAX_CHUNKS_PER_READ,
    MAX_LINE_BYTES,
    BodyPart,
    CostlyChunks,
)
from tanagerpath.runtime.limits import MAX_HEADER_FIELDS
from tanagerpath.runtime.request_parser import (
    MalformedRequest,
    RequestHead,
    RequestParser,
    TooManyFields,
)

MAX_HEAD_BYTES = 72 * 1024
MAX_OVERHEAD_BYTES = 2000
HOST = b"Host: a\r\n"
GET = b"GET /q/a%20b?x=1 HTTP/1.1\r\n" + HOST + b"X-Empty:\r\nX-A:  b c \r\n\r\n"
POST = b"POST / HTTP/1.1\r\n" + HOST
PLAIN = POST + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED_HEAD = POST + b"Transfer-Encoding: Chunked\r\n\r\n"
CHUNKED = CHUNKED_HEAD + (
    b'3;name="va lue";b\r\nwho\r\n02 \r\nle\r\n0;x\r\ntrailer: x\r\nx-empty:\r\n\r\n'
)
LF_ONLY = b"POST / HTTP/1.1\nHost: a\nContent-Length: 5\n\nwhole"


def make_parser():
    return RequestParser(MAX_HEAD_BYTES, MAX_OVERHEAD_BYTES)


def list_events(parser):
    events = []
    while (event := parser.next_event()) is not None:
        events.append(event)
    return events


def parse(*parts):
    """Return the head, the body and the parser of one request."""
    parser = make_parser()
    events = []
    for part in parts:
        parser.receive(part)
        events += list_events(parser)
    head, *body = events
    return head, b"".join(part.data for part in body), parser


def parse_head(text):
    return parse(text)[0]


class TestRequests(testtools.TestCase):
    def test_head_has_the_parts_of_the_text(self):
        head, body, parser = parse(GET)
        expected = RequestHead(
            method="GET",
            target=b"/q/a%20b?x=1",
            http_version="1.1",
            headers=[(b"host", b"a"), (b"x-empty", b""), (b"x-a", b"b c")],
            body_bytes=0,
            keeps_open=True,
            expects_continue=False,
        )
        self.assertEqual((expected, b"", True), (head, body, parser.is_complete))

    def test_request_is_the_same_however_it_is_split(self):
        # A segment may end anywhere, also within a chunk size or a line break.
        for text in (PLAIN, CHUNKED, LF_ONLY):
            for size in (1, 2, 3, 7, len(text)):
                parts = [text[at : at + size] for at in range(0, len(text), size)]
                head, body, parser = parse(*parts)
                self.assertEqual((b"whole", True), (body, parser.is_complete), parts)
                self.assertEqual(b"/", head.target)
                self.assertEqual(0, parser.unread_bytes)

    def test_cut_request_is_not_complete(self):
        for text in (PLAIN, CHUNKED, GET):
            for end in range(len(text)):
                parser = make_parser()
                parser.receive(text[:end])
                list_events(parser)
                self.assertFalse(parser.is_complete, text[:end])

    def test_pipelined_requests_are_read_one_at_a_time(self):
        parser = make_parser()
        parser.receive(CHUNKED + PLAIN + GET + GET[:9])
        for expected in (b"whole", b"whole", b""):
            _, *body = list_events(parser)
            self.assertEqual(expected, b"".join(part.data for part in body))
            self.assertTrue(parser.is_complete)
            parser.start_next_request()
        self.assertEqual([], list_events(parser))
        self.assertEqual(9, parser.unread_bytes)

    def test_connection_stays_open_unless_the_client_wants_it_closed(self):
        for line in (b"", b"Connection: keep-alive\r\n", b"Connection: closed\r\n"):
            self.assertTrue(parse_head(POST + line + b"\r\n").keeps_open)
        for value in (b"close", b"Close", b"x, CLOSE", b"close\r\nConnection: x"):
            text = POST + b"Connection: " + value + b"\r\n\r\n"
            self.assertFalse(parse_head(text).keeps_open)
        old = parse_head(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        self.assertEqual((False, "1.0"), (old.keeps_open, old.http_version))

    def test_continue_is_expected_as_the_header_says(self):
        line = b"Expect: 100-Continue\r\n\r\n"
        self.assertTrue(parse_head(POST + line).expects_continue)
        self.assertFalse(parse_head(b"GET / HTTP/1.0\r\n" + line).expects_continue)
        self.assertFalse(parse_head(GET).expects_continue)

    def test_upgrades_are_ignored(self):
        lines = b"Connection: upgrade\r\nUpgrade: h2c\r\n"
        for start in (POST, b"CONNECT a:1 HTTP/1.1\r\n" + HOST):
            _, body, parser = parse(start + lines + b"Content-Length: 1\r\n\r\nx")
            self.assertEqual((b"x", True), (body, parser.is_complete))

    def test_any_method_and_target_are_read(self):
        head = parse_head(b"BREW http://a/b?c HTTP/1.1\r\n" + HOST + b"\r\n")
        self.assertEqual(("BREW", b"http://a/b?c"), (head.method, head.target))

    def test_text_that_is_no_request_is_refused(self):
        for text in (
            b"\x16\x03\x01",
            b"\r\n" + GET,
            b"GET / HTTP/2.0\r\n" + HOST + b"\r\n",
            b"GET / HTTP/0.9\r\n" + HOST + b"\r\n",
            b"GET /\r\n\r\n",
            b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n",
            b"GET /\xff HTTP/1.1\r\n" + HOST + b"\r\n",
            b"G(T / HTTP/1.1\r\n" + HOST + b"\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            POST + HOST + b"\r\n",
            POST + b"no colon\r\n\r\n",
            POST + b"space : x\r\n\r\n",
            POST + b"a: x\x00y\r\n\r\n",
            POST + b"a: x\ry\r\n\r\n",
            POST + b"a: x\r\n folded\r\n\r\n",
            POST + b": x\r\n\r\n",
        ):
            self.assertRaises(MalformedRequest, parse, text)

    def test_contradictory_lengths_are_refused(self):
        """Guards against requests that another server ends at another byte."""
        for lines in (
            b"Content-Length: -1",
            b"Content-Length: +1",
            b"Content-Length: 1x",
            b"Content-Length: 1 1",
            b"Content-Length: 1, 2",
            b"Content-Length: 99999999999999999999999",
            b"Content-Length: 5\r\nContent-Length: 6",
            b"Content-Length: 5\r\nTransfer-Encoding: chunked",
            b"Transfer-Encoding: chunked\r\nContent-Length: 5",
            b"Transfer-Encoding: gzip",
            b"Transfer-Encoding: gzip, chunked",
            b"Transfer-Encoding: chunked, gzip",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
            b"Transfer-Encoding : chunked",
            b"Transfer-Encoding: \x0bchunked",
            b"Transfer-Encoding:",
        ):
            self.assertRaises(MalformedRequest, parse, POST + lines + b"\r\n\r\n")
        old = b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertRaises(MalformedRequest, parse, old)

    def test_malformed_chunks_are_refused(self):
        for text in (
            b"x\r\n",
            b"-1\r\n",
            b"0x1\r\na\r\n",
            b" 1\r\na\r\n",
            b"1\na\r\n",
            b"1 1\r\na\r\n",
            b"1;a\x00\r\na\r\n",
            b"1;a\rb\r\na\r\n",
            b"1" * 17 + b"\r\n",
            b"1\r\nab\r\n",
            b"1\r\na\n",
            b"1\r\na\rb",
            b"\r\n",
            b"0\r\nno colon\r\n\r\n",
            b"0\r\n folded: x\r\n\r\n",
        ):
            self.assertRaises(MalformedRequest, parse, CHUNKED_HEAD + text)


class TestCosts(testtools.TestCase):
    """Guards against short texts that take the parser a long time."""

    def test_header_without_an_end_is_refused(self):
        part = b"a" * (MAX_HEAD_BYTES // 4)
        for start in (b"", b"GET /", GET[:-2] + b"x: "):
            self.assertRaises(MalformedRequest, parse, start, *[part] * 5)

    def test_chunk_lines_without_an_end_are_refused(self):
        part = b"a" * (MAX_LINE_BYTES // 4)
        for start in (b"1;", b"0\r\nx: ", b""):
            self.assertRaises(
                MalformedRequest, parse, CHUNKED_HEAD + start, *[part] * 5
            )

    def test_fields_are_counted_before_they_are_parsed(self):
        most = b"a:\r\n" * (MAX_HEADER_FIELDS - 1)
        self.assertEqual(
            MAX_HEADER_FIELDS, len(parse_head(POST + most + b"\r\n").headers)
        )
        self.assertRaises(TooManyFields, parse, POST + most + b"a:\r\n\r\n")

    def test_white_space_takes_no_time(self):
        """Guards against patterns that try each pair of positions.

        One header field of 60 KB took 13 s; all these texts would take hours.
        """
        space = b" \t" * 30_000
        for _ in range(100):
            for text in (
                POST + b"a:" + space + b"\x00\r\n\r\n",
                POST + b"a: b" + space + b"\x00\r\n\r\n",
                b"GET /" + space + b"\x00\r\n\r\n",
                CHUNKED_HEAD + b"1" + space + b"\x00\r\n",
                CHUNKED_HEAD + b"1;" + space + b"\x00\r\n",
                CHUNKED_HEAD + b"0\r\na:" + space + b"\x00\r\n",
            ):
                self.assertRaises(MalformedRequest, parse, text)

    def test_one_event_has_a_bounded_number_of_chunks(self):
        parser = make_parser()
        parser.receive(CHUNKED_HEAD + b"1\r\nx\r\n" * 4 * MAX_CHUNKS_PER_READ)
        parser.next_event()
        part = parser.next_event()
        self.assertEqual(BodyPart(b"x" * MAX_CHUNKS_PER_READ, False), part)

    def test_overhead_of_chunks_is_limited(self):
        fitting = MAX_OVERHEAD_BYTES // 4
        _, body, _ = parse(CHUNKED_HEAD + b"1\r\nx\r\n" * fitting)
        self.assertEqual(fitting, len(body))
        for text in (
            b"1\r\nx\r\n" * (fitting + 1),
            b"1;" + b"a" * MAX_OVERHEAD_BYTES + b"\r\nx\r\n",
            b"0\r\na: " + b"a" * MAX_OVERHEAD_BYTES + b"\r\n\r\n",
        ):
            self.assertRaises(CostlyChunks, parse, CHUNKED_HEAD + text)
        _, body, _ = parse(CHUNKED_HEAD + b"5\r\n12345\r\n" * 1000)
        self.assertEqual(5000, len(body))
