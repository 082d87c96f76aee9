"""Guards against announcements that would crash every leader that applies them."""

import attrs
import testtools

from tanagerpath.core.model import UpstreamCapacity, UpstreamLocation
from tanagerpath.core.protocol.checks import InvalidAnnouncement, check_announcement
from tanagerpath.core.protocol.upstreams import Announcement

CAPACITY = UpstreamCapacity("u1", UpstreamLocation("a", 0, 7), services=("sort",))
ANNOUNCEMENT = Announcement(CAPACITY, "127.0.0.1:7200", "i1")


class TestAnnouncement(testtools.TestCase):
    CAPACITIES = [
        ("upstream_id", ""),
        ("upstream_id", "u" * 129),
        ("upstream_id", "\ud800"),
        ("accelerators", 0),
        ("accelerators", -8),
        ("accelerators", 10**9),
        ("cores", -1),
        ("memory_bytes", -1),
        ("slots", 0),
        ("services", ("",) * 2000),
    ]
    LOCATIONS = [
        ("availability_zone", ""),
        ("rack", -1),
        ("rack", 2**40),
        ("position", -1),
        ("position", 8),
    ]
    OTHERS = [
        ("incarnation", ""),
        ("address", "nonsense"),
        ("address", "localhost:80"),
        ("address", "127.0.0.1:0"),
        ("address", "127.0.0.1:80/path"),
        ("address", "127.0.0.1:99999"),
    ]

    def _check(self, announcement, field):
        fault = check_announcement(announcement).failure()
        self.assertIsInstance(fault, InvalidAnnouncement)
        self.assertEqual(field, fault.field)

    def test_invalid_announcement_names_the_field(self):
        for name, value in self.CAPACITIES:
            capacity = attrs.evolve(CAPACITY, **{name: value})
            wrong = attrs.evolve(ANNOUNCEMENT, capacity=capacity)
            self._check(wrong, f"capacity.{name}")
        for name, value in self.LOCATIONS:
            location = attrs.evolve(CAPACITY.location, **{name: value})
            capacity = attrs.evolve(CAPACITY, location=location)
            wrong = attrs.evolve(ANNOUNCEMENT, capacity=capacity)
            self._check(wrong, f"capacity.location.{name}")
        for name, value in self.OTHERS:
            self._check(attrs.evolve(ANNOUNCEMENT, **{name: value}), name)

    def test_valid_announcement_is_accepted(self):
        self.assertEqual(ANNOUNCEMENT, check_announcement(ANNOUNCEMENT).unwrap())
