"""Guards against a pool whose scarce resource is overlooked."""

import testtools

from tanagerpath.core.workloads.pool_capacity import Demand, PoolCapacity
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec

CAPACITY = PoolCapacity(
    rates=Demand(320.0, 1_280_000.0, 80.0, 10.0),
    largest=Resources(32_000, 128_000, 8),
    fastest=1.25,
)


class TestDemand(testtools.TestCase):
    def test_scarce_resource_decides(self):
        cases = (
            (Demand(cores=320.0), 1.0),
            (Demand(cores=320.0, memory_mb=3_840_000.0), 3.0),
            (Demand(cores=320.0, accelerators=160.0), 2.0),
            (Demand(cores=320.0, accelerators=160.0, upstreams=50.0), 5.0),
            (Demand(), 0.0),
        )
        for demand, expected_s in cases:
            self.assertEqual(expected_s, demand.find_time_s(CAPACITY.rates), demand)

    def test_task_over_half_of_an_upstream_takes_it_whole(self):
        # 68 of 128 GB: two of these tasks never share an upstream, although the sum of
        # the memory of the pool has room for almost two each.
        large = StepSpec(needs=Resources(13_000, 68_000, 1))
        small = StepSpec(needs=Resources(13_000, 64_000, 1))
        self.assertEqual(30.0, CAPACITY.measure(large, 10, 3.0).upstreams)
        self.assertEqual(0.0, CAPACITY.measure(small, 10, 3.0).upstreams)

    def test_missing_resource_does_not_divide_by_zero(self):
        self.assertEqual(0.0, Demand(accelerators=5.0).find_time_s(Demand(cores=1.0)))
