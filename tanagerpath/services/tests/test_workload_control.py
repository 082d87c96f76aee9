"""Guards against decisions and standing work that no metric shows."""

import testtools

from tanagerpath.core.workloads import (
    AdmissionDecided,
    ReportStanding,
    WaitReason,
)
from tanagerpath.core.workloads.tests.single_node import SingleNode
from tanagerpath.runtime import Mailbox
from tanagerpath.services.workload_control import WorkloadControlTask


def _make_task(node):
    return WorkloadControlTask(
        node,
        Mailbox("control"),
        Mailbox("storage"),
        peers=None,
        codec=None,
        max_connections=1,
        exchange_timeout_s=1.0,
        clock=None,
    )


class TestAdmissions(testtools.TestCase):
    def test_decisions_are_counted_by_queue_and_organisation(self):
        task = _make_task(SingleNode().node)
        for _ in range(2):
            task._execute(AdmissionDecided("scan", "couriers", "refused"))
        task._execute(AdmissionDecided("scan", "couriers", "admitted"))
        text = task._metrics.render()
        labels = '{outcome="refused",queue="scan",organisation="couriers"}'
        self.assertIn(f"tanagerpath_admissions_total{labels} 2", text)
        self.assertIn('outcome="admitted"', text)


class TestStandingWork(testtools.TestCase):
    def test_gauges_show_each_reason_until_the_term_ends(self):
        # A former leader must not show the workloads of its term for good.
        node = SingleNode().node
        task = _make_task(node)
        task._execute(ReportStanding({WaitReason.BACKOFF: 3}, 7.5))
        name = "tanagerpath_standing_workloads"
        gauge = f'{name}{{reason="{WaitReason.BACKOFF}"}}'
        text = task._metrics.render()
        self.assertIn(f"{gauge} 3", text)
        self.assertIn("tanagerpath_longest_standing_seconds 7.5", text)
        node._end_term()
        for action in node._actions:
            task._execute_node_action(action)
        text = task._metrics.render()
        self.assertIn(f"{gauge} 0", text)
        self.assertIn("tanagerpath_longest_standing_seconds 0.0", text)
