"""Guards against a drill that passes over faults or starts processes wrongly."""

import pathlib
import tempfile

import attrs
import testtools
from returns.pipeline import is_successful

from tanagerpath.emulator.deployment import Deployment
from tanagerpath.emulator.drill import CASES, summarise
from tanagerpath.emulator.drill_case import CaseResult
from tanagerpath.emulator.drill_messages import CancelWave
from tanagerpath.emulator.load_plan import LoadReport
from tanagerpath.emulator.upstream import make_parser
from tanagerpath.settings import ControlSettings, EntrySettings

CLEAN = LoadReport(
    jobs=1,
    answered=1,
    lost=0,
    doubled=0,
    wrong=0,
    refused_not_run=0,
    false_not_run=0,
    failed=0,
    unknown=0,
    cancelled=0,
    resent=0,
    cut=0,
    partial_gangs=0,
    p50_ms=1.0,
    p99_ms=1.0,
    latency_ms={},
    details={},
)


class TestJudge(testtools.TestCase):
    FAULTS = (
        "lost",
        "doubled",
        "wrong",
        "partial_gangs",
        "false_not_run",
        "failed",
        "refused_not_run",
        "unknown",
    )

    def test_each_count_fails_a_case(self):
        for field in self.FAULTS:
            case = CancelWave()
            case.judge(attrs.evolve(CLEAN, **{field: 1}))
            self.assertEqual(1, len(case.faults), field)
        case = CancelWave()
        case.judge(CLEAN)
        self.assertEqual([], case.faults)

    def test_a_case_above_its_bound_fails(self):
        case = CancelWave()
        case.expect_within("new_leader_s", 3.1, 3.0)
        self.assertEqual(1, len(case.faults))

    def test_the_summary_names_failed_cases(self):
        broken = attrs.evolve(CLEAN, lost=2)
        results = [
            CaseResult("a", (), {}, CLEAN, 1.0),
            CaseResult("b", ("2 jobs lost",), {}, broken, 1.0),
            CaseResult("c", ("not ready",), {}, None, 1.0),
        ]
        summary = summarise(results)
        actual = summary["cases"], summary["passed"], summary["lost"]
        self.assertEqual((3, 1, 2), actual)
        self.assertEqual(["b", "c"], summary["failed_cases"])

    def test_names_are_unique(self):
        self.assertTrue(all(CASES))
        self.assertEqual(len(CASES), len(set(CASES.values())))


class TestDeployment(testtools.TestCase):
    def test_all_command_lines_are_understood(self):
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment.from_folder(pathlib.Path(folder))
        control = deployment.plan_control("c2").arguments[4:]
        settings = ControlSettings.from_arguments(control, {})
        self.assertTrue(is_successful(settings), settings)
        entry = deployment.plan_entry("e3").arguments[4:]
        settings = EntrySettings.from_arguments(entry, {})
        self.assertTrue(is_successful(settings), settings)
        for group in deployment.groups:
            flags = deployment.plan_upstreams(group).arguments[3:]
            self.assertEqual(group.count, make_parser().parse_args(flags).count)
