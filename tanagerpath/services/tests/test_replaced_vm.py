"""Guards groups whose VM is replaced at another address before a disk is lost."""

import testtools

from tanagerpath.core.consensus.harness import SimulatedGroup
from tanagerpath.core.consensus.invariants import InvariantMonitor
from tanagerpath.core.consensus.tests.scenarios import commit
from tanagerpath.services.workload_control import make_node_config
from tanagerpath.settings import WorkloadControlSettings

ADDRESSES = tuple(f"10.0.0.{number}:7000" for number in range(1, 5))
SEEDS = ADDRESSES[:3]
# The platform counts a VM as lost until this long after its successor has started.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0


def _make_replica_config(address):
    given = {
        "vm_id": address.rpartition(":")[0],
        "availability_zone": "a",
        "listen": address,
        "public_listen": address.replace("7000", "7001"),
        "seeds": ",".join(SEEDS),
        "data_dir": "/nowhere",
        "may_found": "true" if address in SEEDS else "false",
    }
    settings = WorkloadControlSettings.from_given(given, {}).unwrap()
    return make_node_config(settings).replica


class TestReplacedVm(testtools.TestCase):
    def play(self, seed):
        configs = [_make_replica_config(address) for address in ADDRESSES]
        group = SimulatedGroup(seed, configs)
        monitor = InvariantMonitor.attach(group)
        first, second, gone, successor = (config.vm_id for config in configs)
        for vm_id in (first, second, gone):
            group.start(vm_id)
        self.assertTrue(commit(group, 3), f"seed {seed}")
        group.crash(gone)
        group.run_for(1.0)
        group.start(successor)
        group.run_for(CATCH_UP_S)
        group.empty_disk(second)
        group.run_for(1.0)
        group.start(second)
        self.assertTrue(commit(group, 3, RECOVERY_S), f"seed {seed}")
        self.assertEqual([], monitor.violations, f"seed {seed}")

    def test_a_disk_may_be_lost_soon_after_a_vm_was_replaced(self):
        for seed in range(10):
            self.play(seed)
