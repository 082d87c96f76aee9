"""Guards against decisions on submissions that no counter shows."""

import testtools

from tanagerpath.core.workloads import AdmissionDecided
from tanagerpath.core.workloads.tests.single_node import SingleNode
from tanagerpath.runtime import Mailbox
from tanagerpath.services.workload_control import WorkloadControlTask


class TestAdmissions(testtools.TestCase):
    def test_decisions_are_counted_by_queue_and_organisation(self):
        task = WorkloadControlTask(
            SingleNode().node,
            Mailbox("control"),
            Mailbox("storage"),
            peers=None,
            codec=None,
            max_connections=1,
            exchange_timeout_s=1.0,
            clock=None,
        )
        for _ in range(2):
            task._execute(AdmissionDecided("scan", "couriers", "refused"))
        task._execute(AdmissionDecided("scan", "couriers", "admitted"))
        text = task._metrics.render()
        labels = '{outcome="refused",queue="scan",organisation="couriers"}'
        self.assertIn(f"tanagerpath_admissions_total{labels} 2", text)
        self.assertIn('outcome="admitted"', text)
