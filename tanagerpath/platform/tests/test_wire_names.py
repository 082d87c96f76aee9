"""Guards against wire names of the platform outside the adapter."""

import pathlib
import re

import testtools

PACKAGE = pathlib.Path(__file__).parents[2]
# Wire names of the platform that are not common terms of the field.
WIRE_NAMES = (
    "run-start",
    "run-stop",
    "ack_cursor",
    "ended_runs",
    "heartbeat_addr",
    "x-deadline-ms",
    "x-expected-instance",
    "x-api-key",
    "x-duty-holder",
    "slack_factor",
    "path_prefix",
    "estimate_ms",
    "hold_max_ms",
    "rejects_overload",
    "machine-upkeep",
    "wave-start",
)


class TestWireNames(testtools.TestCase):
    def test_wire_names_occur_only_in_the_adapter(self):
        pattern = re.compile("|".join(map(re.escape, WIRE_NAMES)), re.IGNORECASE)
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if "platform" not in path.relative_to(PACKAGE).parts
            for match in pattern.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

    def test_adapter_uses_each_of_them(self):
        texts = [
            path.read_text(encoding="utf-8").lower()
            for path in (PACKAGE / "platform").glob("*.py")
        ]
        unused = [name for name in WIRE_NAMES if not any(name in one for one in texts)]
        self.assertEqual([], unused)
