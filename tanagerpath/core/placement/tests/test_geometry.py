"""Guards against runs that are not adjacent and against wrong refusals."""

import testtools
from returns.pipeline import is_successful

from tanagerpath.core.placement import (
    FirstComeFirstFitScheduler,
    GuaranteeScheduler,
    ImpossibleShape,
    QuotaTooSmall,
    UpstreamCondition,
)
from tanagerpath.core.placement.geometry import (
    Topology,
    find_first_fit,
    list_runs,
    measure_longest_run,
)
from tanagerpath.core.placement.tests.fleets import (
    make_fleet,
    make_job,
    make_scheduler,
    make_upstream,
)


def _make_topology(upstreams):
    topology = Topology()
    for upstream in upstreams:
        topology.add(upstream)
    return topology


class TestMasks(testtools.TestCase):
    # free mask, runs of it, longest run, first fit of two
    CASES = [
        (0b0, [], 0, None),
        (0b1, [(0, 1)], 1, None),
        (0b1011, [(0, 2), (3, 1)], 2, 0),
        (0b11101, [(0, 1), (2, 3)], 3, 2),
        (0xFF, [(0, 8)], 8, 0),
        (0b10101010, [(1, 1), (3, 1), (5, 1), (7, 1)], 1, None),
    ]

    def test_runs_are_found_at_their_place(self):
        for free, runs, longest, fit in self.CASES:
            self.assertEqual(runs, list_runs(free), bin(free))
            self.assertEqual(longest, measure_longest_run(free), bin(free))
            self.assertEqual(fit, find_first_fit(free, 2), bin(free))


class TestWindows(testtools.TestCase):
    # racks, accelerators, number of windows, upstreams of each window
    CASES = [
        (1, 8, 8, 1),
        (1, 9, 7, 2),
        (1, 16, 7, 2),
        (1, 17, 6, 3),
        (1, 64, 1, 8),
        (2, 16, 14, 2),
        (2, 64, 2, 8),
        (2, 65, 1, 16),
        (3, 128, 2, 16),
        (3, 129, 1, 24),
        (3, 193, 0, 0),
        (16, 1024, 1, 128),
    ]

    def test_sizes_map_to_whole_upstreams_and_racks(self):
        for racks, size, count, members in self.CASES:
            windows = _make_topology(make_fleet(racks)).list_windows(size)
            self.assertEqual(count, len(windows), (racks, size))
            self.assertEqual(
                {members} if count else set(), {len(each) for each in windows}
            )

    def test_no_window_spans_a_gap_a_rack_or_a_zone(self):
        gap = [make_upstream("a", 0, 0), make_upstream("b", 0, 2)]
        racks = [make_upstream("a", 0, 7), make_upstream("b", 1, 0)]
        zones = make_fleet(1) + [
            make_upstream(f"z{i}", 1, i, zone="b") for i in range(8)
        ]
        for upstreams, size in ((gap, 16), (racks, 16), (zones, 128)):
            self.assertEqual([], _make_topology(upstreams).list_windows(size))

    def test_a_rack_with_a_missing_upstream_is_not_whole(self):
        topology = _make_topology(make_fleet(2)[:-1])
        self.assertEqual([], topology.list_windows(128))

    def test_removal_and_changes_are_seen(self):
        topology = _make_topology(make_fleet(1))
        topology.list_windows(64)
        topology.remove("u003")
        self.assertEqual([], topology.list_windows(64))
        self.assertEqual(5, len(topology.list_windows(16)))


class TestRefusals(testtools.TestCase):
    # job properties, whether it is refused, by which failure
    CASES = [
        ({"accelerators": 0}, ImpossibleShape),
        ({"accelerators": 64}, None),
        ({"accelerators": 65}, ImpossibleShape),
        ({"accelerators": 1025}, ImpossibleShape),
        ({"cores": 60}, None),
        ({"cores": 61}, ImpossibleShape),
        ({"memory_bytes": 251 * 10**9}, ImpossibleShape),
        ({"service": "other"}, ImpossibleShape),
        ({"organisation": "blue", "accelerators": 16}, None),
        ({"organisation": "blue", "accelerators": 17}, QuotaTooSmall),
        ({"organisation": "unknown"}, QuotaTooSmall),
    ]

    def test_impossible_jobs_are_refused_as_not_run(self):
        fleet = [
            make_upstream(each.upstream_id, 0, i, services=("train",))
            for i, each in enumerate(make_fleet(1))
        ]
        for kind in (FirstComeFirstFitScheduler, GuaranteeScheduler):
            quotas = {"red": 100, "blue": 16}
            scheduler = make_scheduler(fleet, quotas=quotas, kind=kind)
            for properties, expected in self.CASES:
                result = scheduler.submit(make_job("j", **properties), 0.0)
                self.assertEqual(expected is None, is_successful(result), properties)
                if expected is not None:
                    self.assertIsInstance(result.failure(), expected)
                    self.assertTrue(result.failure().not_run)

    def test_lost_hardware_counts_because_it_gets_repaired(self):
        fleet = make_fleet(1)
        scheduler = make_scheduler(fleet)
        scheduler.update_upstream(fleet[3], UpstreamCondition.LOST, 1.0)
        self.assertTrue(is_successful(scheduler.submit(make_job("j", 64), 1.0)))
        self.assertEqual([], scheduler.decide(1.0))
