"""Guards against a rule on evacuated zones that passes over what it must find."""

import testtools

from tanagerpath.core.workloads.specs import TaskId
from tanagerpath.emulator.soak_evacuations import (
    EVACUATION_S,
    EvacuationAcknowledged,
    EvacuationOrdered,
    EvacuationRules,
)
from tanagerpath.emulator.soak_run_events import RunStarted

ORDER = EvacuationOrdered("a", True), EvacuationAcknowledged("a", True, 1.0)
LATE_S = 1.0 + EVACUATION_S + 0.1


def start(at_s, worker="w1"):
    return RunStarted(worker, TaskId("w", 0, 0, 0), 1, 1, at_s)


class TestEvacuationRules(testtools.TestCase):
    def judge(self, *events):
        rules = EvacuationRules({"w1": "a", "w2": "b"})
        for event in events:
            rules.handle(event)
        return rules

    def test_late_start_in_the_zone_is_found(self):
        self.assertEqual(1, len(self.judge(*ORDER, start(LATE_S)).broken))

    def test_other_starts_pass(self):
        withdrawal = EvacuationOrdered("a", False)
        cases = [
            (*ORDER, start(LATE_S - 0.2)),
            (*ORDER, start(LATE_S, "w2")),
            (ORDER[0], start(LATE_S)),
            (*ORDER, withdrawal, start(LATE_S)),
            (
                *ORDER,
                withdrawal,
                EvacuationAcknowledged("a", False, 3.0),
                start(LATE_S),
            ),
        ]
        for events in cases:
            self.assertEqual([], self.judge(*events).broken, events)

    def test_acknowledged_orders_are_counted(self):
        self.assertEqual(1, self.judge(*ORDER).acknowledged_count)
