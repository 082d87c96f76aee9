"""Guards against sizes and times that ignore the settings of a deployment."""

import json
import pathlib
import tempfile

import testtools
from returns.result import Result

from tanagerpath.core.consensus import LossTolerance
from tanagerpath.platform.settings_file import SettingsFile
from tanagerpath.services.workload_control import make_node_config

SETTINGS = {
    "node_name": "frontend-a-1",
    "ip": "10.1.0.1",
    "zone": "a",
    "region": "north",
    "listen": {
        "front": "10.1.0.1:8521",
        "readiness": "10.1.0.1:8523",
        "control": "10.1.0.1:8526",
    },
    "internal_ports": [7000, 7015],
    "seeds": ["10.1.0.1:8526"],
    "data_dir": "/data/control",
}


ODD_VALUES = (
    None,
    [],
    {},
    "",
    "x",
    -1,
    0.5,
    True,
    [None],
    [[]],
    [-1],
    ["x"],
    {"x": None},
    "9" * 400,
    10**400,
)


class TestSettingsFile(testtools.TestCase):
    def write(self, **changed):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "local.json"
        path.write_text(json.dumps(SETTINGS | {"bounds": {}} | changed))
        return SettingsFile(path)

    def read_replica(self, **changed):
        settings = self.write(**changed).read_control({}).unwrap()
        return make_node_config(settings).replica

    def read_tolerance(self, **tolerated):
        replica = self.read_replica(fault_tolerance=tolerated)
        return replica.tolerated_losses, replica.fault_domain

    def test_fault_tolerance_sets_the_tolerated_losses(self):
        """Guards against 3 voters, which tolerate 1 loss, if the settings require 2."""
        two = LossTolerance(vms=2)
        self.assertEqual(
            (two, "a"), self.read_tolerance(machines=2, zones=0, regions=0)
        )
        zone = LossTolerance(vms=1, fault_domains=1)
        self.assertEqual((zone, "a"), self.read_tolerance(machines=1, zones=1))
        self.assertEqual((zone, "north"), self.read_tolerance(machines=0, regions=1))
        self.assertEqual(LossTolerance(), self.read_replica().tolerated_losses)

    def test_a_voter_is_replaced_well_before_it_stops_counting_as_lost(self):
        for catch_up_s in (3, 4, 6, 20):
            replica = self.read_replica(bounds={"catch_up_s": catch_up_s})
            self.assertLess(replica.replace_voter_after_s, 0.7 * catch_up_s)
            longest_s = replica.election_timeout_max_s
            self.assertGreater(replica.replace_voter_after_s, longest_s)

    def test_the_bound_of_guaranteed_starts_follows_the_settings(self):
        for bound_ms in (700, 2_700):
            settings = self.write(bounds={"reclaim_ms": bound_ms}).read_control({})
            dispatch = make_node_config(settings.unwrap()).dispatch
            self.assertEqual(bound_ms / 1_000, dispatch.guaranteed_start_s)

    def test_zones_that_may_be_evacuated_are_those_of_the_settings(self):
        zones = {"zone-1": "north", "zone-2": {"region": "north"}}
        for given, expected in (
            ({"zones": zones}, ("zone-1", "zone-2")),
            ({"zones": None}, ()),
            ({}, ()),
        ):
            dispatch = make_node_config(self.read_control(**given)).dispatch
            self.assertEqual(expected, dispatch.availability_zones)

    def test_time_limit_of_an_evacuation_follows_the_settings(self):
        # A deployment without evacuations may give 0.
        for limit_ms, expected_s in ((5_000, 5.0), (0, 60.0), (None, 60.0)):
            settings = self.read_control(bounds={"evacuate_ms": limit_ms})
            self.assertEqual(
                expected_s, make_node_config(settings).dispatch.evacuation_s
            )

    def read_control(self, **changed):
        return self.write(**changed).read_control({}).unwrap()

    def test_admission_follows_the_environment(self):
        source = self.write()
        for environment, expected in (
            ({}, "unlimited"),
            ({"TANAGERPATH_ADMISSION": "useful"}, "useful"),
        ):
            settings = source.read_control(environment).unwrap()
            self.assertEqual(expected, make_node_config(settings).dispatch.admission)
        refused = source.read_control({"TANAGERPATH_ADMISSION": "some"}).failure()
        self.assertEqual("admission", refused.setting)

    def test_a_stop_ends_within_the_grace_time(self):
        """Guards against fixed times, 5 s in total, that exceed a short grace time."""
        for grace_s in (2, 4, 6, 20):
            source = self.write(bounds={"grace_s": grace_s})
            entry = source.read_entry({}).unwrap()
            drain_s = entry.drain_notice_s + entry.drain_timeout_s
            self.assertLess(drain_s, 0.9 * grace_s)
            control = source.read_control({}).unwrap()
            self.assertLess(3 * control.drain_timeout_s, 0.9 * grace_s)

    def test_a_vm_without_a_disk_has_settings_of_its_own(self):
        source = self.write(data_dir=None)
        self.assertFalse(source.has_disk().unwrap())
        self.assertEqual("10.1.0.1:7000", source.read_relay({}).unwrap().listen)
        self.assertTrue(self.write().has_disk().unwrap())

    def test_size_of_the_process_sets_the_limits_for_clients(self):
        """Guards against memory and connections for clients beyond those of a VM."""
        source = self.write(limits={"memory_mb": 160, "max_fds": 3075, "cpus": 1})
        for read in (source.read_control, source.read_relay, source.read_entry):
            settings = read({}).unwrap()
            size = (settings.memory_limit_mb, settings.max_descriptors)
            self.assertEqual((160, 3075), size)
        for limits in ({}, {"memory_mb": 0, "max_fds": 0}, {"memory_mb": None}):
            source = self.write(limits=limits)
            self.assertGreater(source.read_entry({}).unwrap().memory_limit_mb, 0)

    def test_odd_values_are_refused_and_end_no_process(self):
        # An empty list of ports ended each process that read its settings again.
        bounds = ("hold_max_ms", "grace_s", "catch_up_s", "reclaim_ms", "status_s")
        bounds += ("evacuate_ms",)
        changes = [
            {name: odd}
            for name in (
                *SETTINGS,
                "bounds",
                "fault_tolerance",
                "cloud_api",
                "advice",
                "zones",
                "limits",
            )
            for odd in ODD_VALUES
        ]
        changes += [{"bounds": {name: odd}} for name in bounds for odd in ODD_VALUES]
        names = ("memory_mb", "max_fds")
        changes += [{"limits": {name: odd}} for name in names for odd in ODD_VALUES]
        for changed in changes:
            source = self.write(**changed)
            for read in (source.read_control, source.read_relay, source.read_entry):
                self.assertIsInstance(read({}), Result, changed)
            self.assertIsInstance(source.read_seeds(), Result, changed)
