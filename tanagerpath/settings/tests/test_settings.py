"""Guards against invalid settings that are accepted or reported unclearly."""

import pathlib

import testtools
from returns.pipeline import is_successful

from tanagerpath.settings import (
    ControlAddress,
    ControlSettings,
    EntrySettings,
    InvalidSetting,
    MissingSetting,
    list_settings,
)
from tanagerpath.settings.reference import render_reference

CONTROLS = "c1=127.0.0.1:7101,c2=127.0.0.1:7102,c3=127.0.0.1:7103"
BASE = {
    "TANAGERPATH_VM_ID": "c1",
    "TANAGERPATH_AVAILABILITY_ZONE": "zone-a",
    "TANAGERPATH_LISTEN": "127.0.0.1:7101",
    "TANAGERPATH_DATA_DIR": "/nonexistent/tanagerpath",
    "TANAGERPATH_CONTROL_ADDRESSES": CONTROLS,
}
PAGE = pathlib.Path(__file__).parents[3] / "docs" / "settings.md"


class TestSources(testtools.TestCase):
    def test_flag_overrides_variable_and_variable_overrides_default(self):
        environment = BASE | {
            "TANAGERPATH_DRAIN_TIMEOUT_S": "20",
            "TANAGERPATH_LOG_LEVEL": "debug",
        }
        argv = ["--drain-timeout-s", "25", "--listen=127.0.0.1:0"]
        settings = EntrySettings.from_arguments(argv, environment).unwrap()
        self.assertEqual(25.0, settings.drain_timeout_s)
        self.assertEqual("127.0.0.1:0", settings.listen)
        self.assertEqual("debug", settings.log_level)
        self.assertEqual(3.0, settings.staleness_bound_s)
        self.assertEqual(
            ControlAddress("c2", "127.0.0.1:7102"), settings.control_addresses[1]
        )

    def test_field_names_equal_the_declared_names(self):
        for kind in (EntrySettings, ControlSettings):
            names = [setting.name for setting in list_settings(kind)]
            self.assertEqual(list(kind.__annotations__), names)

    def test_defaults_are_valid(self):
        self.assertTrue(is_successful(EntrySettings.from_arguments([], BASE)))
        self.assertTrue(is_successful(ControlSettings.from_arguments([], BASE)))


class TestFaults(testtools.TestCase):
    CASES = [
        # kind, flags, setting, value
        (EntrySettings, ["--staleness-bound-s", "abc"], "staleness_bound_s", "abc"),
        (EntrySettings, ["--staleness-bound-s", "nan"], "staleness_bound_s", "nan"),
        (EntrySettings, ["--staleness-bound-s", "-1"], "staleness_bound_s", "-1.0"),
        (
            EntrySettings,
            ["--max-requests-in-flight", "1.5"],
            "max_requests_in_flight",
            "1.5",
        ),
        (EntrySettings, ["--listen", "localhost:80"], "listen", "localhost:80"),
        (EntrySettings, ["--listen", "127.0.0.1"], "listen", "127.0.0.1"),
        (EntrySettings, ["--listen", "127.0.0.1:70000"], "listen", "127.0.0.1:70000"),
        (EntrySettings, ["--control-addresses", "c1"], "control_addresses", "c1="),
        (EntrySettings, ["--log-level", "loud"], "log_level", "loud"),
        (EntrySettings, ["--log-level"], "log_level", ""),
        (EntrySettings, ["--no-such-flag", "1"], "--no-such-flag", "--no-such-flag 1"),
        (ControlSettings, ["--feed-hold-s", "1.0"], "feed_hold_s", "1.0"),
        (EntrySettings, ["--drain-notice-s", "30"], "drain_notice_s", "30.0"),
        (ControlSettings, ["--vm-id", "c9"], "vm_id", "c9"),
        (ControlSettings, ["--vm-id", "C 1"], "vm_id", "C 1"),
        (ControlSettings, ["--lease-duration-s", "0.6"], "lease_duration_s", "0.6"),
        (
            ControlSettings,
            ["--upstream-renew-interval-s", "6"],
            "upstream_renew_interval_s",
            "6.0",
        ),
        (
            ControlSettings,
            ["--election-timeout-max-s", "0.6"],
            "election_timeout_min_s",
            "0.6",
        ),
        (ControlSettings, ["--data-dir", __file__], "data_dir", __file__),
    ]

    def test_fault_names_setting_and_value_in_one_line(self):
        for kind, argv, setting, value in self.CASES:
            fault = kind.from_arguments(argv, BASE).failure()
            self.assertIsInstance(fault, InvalidSetting, argv)
            self.assertEqual((setting, value), (fault.setting, fault.value))
            self.assertIn(setting, fault.message)
            self.assertNotIn("\n", fault.message)

    def test_violated_constraint_names_both_settings(self):
        argv = ["--lease-duration-s", "0.7"]
        fault = ControlSettings.from_arguments(argv, BASE).failure()
        self.assertEqual(
            "less than election_timeout_min_s, which is 0.6", fault.expected
        )

    def test_duplicate_control_vm_or_address_is_rejected(self):
        for text in ("c1=127.0.0.1:1,c1=127.0.0.1:2", "c1=127.0.0.1:1,c2=127.0.0.1:1"):
            argv = ["--control-addresses", text]
            fault = EntrySettings.from_arguments(argv, BASE).failure()
            self.assertEqual("control_addresses", fault.setting)

    def test_missing_setting_says_where_to_give_it(self):
        for variable in BASE:
            environment = {name: BASE[name] for name in BASE if name != variable}
            fault = ControlSettings.from_arguments([], environment).failure()
            self.assertIsInstance(fault, MissingSetting)
            self.assertIn(variable, fault.message)
            self.assertIn(fault.flag, fault.message)


class TestReference(testtools.TestCase):
    def test_page_is_up_to_date(self):
        """Guards against an outdated settings page."""
        self.assertEqual(render_reference(), PAGE.read_text(encoding="utf-8"))
