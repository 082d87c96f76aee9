"""Guards against a process that blocks because nobody reads its log."""

import os

import testtools

from tanagerpath.observability.streams import MAX_LINE_BYTES, LineStream


class TestLineStream(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.stream = LineStream(self.writing)

    def test_full_pipe_drops_lines_and_does_not_block(self):
        self.addCleanup(os.close, self.writing)
        for _ in range(1000):
            self.stream.write("x" * 1000 + "\n")
        self.assertGreater(self.stream.dropped, 0)

    def test_number_of_dropped_lines_is_written_once_the_pipe_is_ready(self):
        self.addCleanup(os.close, self.writing)
        while not self.stream.dropped:
            self.stream.write("x" * 1000 + "\n")
        os.read(self.reading, 1 << 20)
        self.stream.write("after\n")
        text = os.read(self.reading, 1 << 20).decode()
        self.assertIn('"count": 1', text)
        self.assertTrue(text.endswith("after\n"))

    def test_long_line_is_truncated(self):
        self.addCleanup(os.close, self.writing)
        self.stream.write("x" * 10_000 + "\n")
        self.assertEqual(MAX_LINE_BYTES, len(os.read(self.reading, 1 << 20)))

    def test_line_for_a_closed_reader_is_dropped(self):
        reading, writing = os.pipe()
        stream = LineStream(writing)
        os.close(reading)
        stream.write("x\n")
        self.assertEqual(1, stream.dropped)
        os.close(writing)
