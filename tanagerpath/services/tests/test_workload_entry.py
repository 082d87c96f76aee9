"""Guards against faults in leader probes, settings reloads and request logs."""

import anyio
import testtools
from returns.result import Failure as ResultFailure
from returns.result import Success

from tanagerpath.core.admission import NoLeader, SearchingRoute
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads.failures import UnknownKey
from tanagerpath.core.workloads.requests import (
    Call,
    LeaderQuery,
    LeaderReply,
    WorkloadQuery,
)
from tanagerpath.observability.decisions import DecisionLog
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.observability.tests.test_decisions import FakeLogger
from tanagerpath.services.adapters import LeaderClient, SettingsSource
from tanagerpath.services.measured_leader import MeasuredLeaderClient
from tanagerpath.services.settings_watch import SettingsWatch
from tanagerpath.services.workload_entry import LeaderProbe

QUERY = WorkloadQuery(Call("h", "/q/1", "k"), "5c0e7a21d94b36f8")


class FakeLeader(LeaderClient):
    def __init__(self, *results):
        self.results = list(results)

    async def ask(self, request, timeout_s):
        return self.results.pop(0)


class FakeSource(SettingsSource):
    def __init__(self):
        self.change_token = 1
        self.seeds = Success(("a", "b"))

    def read_change_token(self):
        return self.change_token

    def read_seeds(self):
        return self.seeds


class FakeReloadLogger(FakeLogger):
    def error(self, name, **fields):
        self.lines.append((name, fields))


def _measure(*results):
    logger, metrics = FakeLogger(), MetricsRegistry()
    leader = MeasuredLeaderClient(
        FakeLeader(*results), DecisionLog(logger, metrics), metrics
    )
    return leader, logger, metrics


class TestMeasuredLeaderClient(testtools.TestCase):
    def test_each_outcome_is_logged_and_counted(self):
        refusal = ErrorBody.from_failure(UnknownKey(queue="q", version=7))
        cases = [
            (Success(LeaderReply("a")), "answered", ""),
            (Success(refusal), "UnknownKey", "configuration 7"),
            (ResultFailure(NoLeader()), "NoLeader", "no control leader"),
        ]
        for result, outcome, reason in cases:
            leader, logger, metrics = _measure(result)
            anyio.run(leader.ask, QUERY, 1.0)
            name, fields = logger.lines[0]
            self.assertEqual("request ended", name)
            self.assertEqual(QUERY.workload_id, fields["workload"])
            self.assertEqual(outcome, fields["outcome"])
            self.assertIn(reason, fields["reason"])
            self.assertIn(f'outcome="{outcome}"', metrics.render())

    def test_probes_are_not_logged(self):
        leader, logger, _ = _measure(Success(LeaderReply("a")))
        anyio.run(leader.ask, LeaderQuery(), 1.0)
        self.assertEqual([], logger.lines)


class TestLeaderProbe(testtools.TestCase):
    def test_probe_learns_the_control_processes_and_becomes_fresh(self):
        async def main():
            found = Success(LeaderReply("a", ("a", "b", "c")))
            lost = ResultFailure(NoLeader())
            leader, _, metrics = _measure(found, lost)
            route = SearchingRoute(("a",))
            probe = LeaderProbe(leader, route, metrics)
            self.assertFalse(probe.is_fresh)
            await probe._probe()
            self.assertTrue(probe.is_fresh)
            self.assertEqual(("a", "b", "c"), route.addresses)
            await probe._probe()
            self.assertIn('event="lost"', metrics.render())

        anyio.run(main)


class TestSettingsWatch(testtools.TestCase):
    def test_invalid_settings_are_ignored_and_logged(self):
        source, logger, taken = FakeSource(), FakeReloadLogger(), []
        watch = SettingsWatch(source, taken.append, logger)
        watch.reload("SIGHUP")
        self.assertEqual([("a", "b")], taken)
        source.seeds = ResultFailure(NoLeader())
        watch.reload("SIGHUP")
        self.assertEqual([("a", "b")], taken)
        self.assertEqual(
            ["settings reloaded", "settings kept"], [name for name, _ in logger.lines]
        )
