"""Guards against a process that exits because its settings are being written."""

import pathlib
import tempfile
import threading

import testtools
from returns.pipeline import is_successful

from tanagerpath.platform.settings_file import CONFIG_VARIABLE, SettingsFile
from tanagerpath.services.settings_retry import read_with_retries

TEXT = '{"seeds": ["10.0.0.1:80"], "internal_ports": [7620, 7629]}'


class TestReadWithRetries(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "settings.json")
        self.source = SettingsFile.from_environment({CONFIG_VARIABLE: str(self.path)})

    def test_file_that_is_briefly_missing_or_truncated_is_read_once_complete(self):
        for before in (None, "", TEXT[:20]):
            self.path.unlink(missing_ok=True)
            if before is not None:
                self.path.write_text(before)
            writer = threading.Timer(0.1, self.path.write_text, [TEXT])
            writer.start()
            settings = read_with_retries(self.source.read_seeds, timeout_s=20.0)
            writer.join()
            self.assertEqual(("10.0.0.1:7620",), settings.unwrap(), before)

    def test_settings_that_stay_invalid_are_returned_as_a_failure(self):
        self.path.write_text("{}")
        settings = read_with_retries(self.source.read_seeds, timeout_s=0.1)
        self.assertFalse(is_successful(settings))
        self.assertIn("internal_ports", settings.failure().message)
