"""Guards against a group without a leader after disks were lost one after the other."""

import pathlib
import tempfile

import anyio
import pytest
import testtools

from tanagerpath.emulator.soak_disk_plan import DiskSeriesPlan
from tanagerpath.emulator.soak_disk_run import DiskSeriesRun
from tanagerpath.emulator.soak_plan import Layout
from tanagerpath.platform.soak_interface import PlatformInterface

pytestmark = pytest.mark.timeout(300)

# Queued workloads that keep the leader busy when the first disk is lost.
BACKLOG = 2000


class TestDiskSeries(testtools.TestCase):
    def test_each_vote_is_back_before_the_next_disk_is_lost(self):
        """Guards against votes that wait for a leader busy with a long queue."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        layout = Layout(3, 1, workers=2)
        plan = DiskSeriesPlan.from_seed(1, layout, BACKLOG, losses_count=2)
        result = anyio.run(
            DiskSeriesRun.run_plan,
            plan,
            PlatformInterface(),
            pathlib.Path(folder.name),
        )
        self.assertEqual(((), ()), (result.broken, result.late_votes))
        self.assertEqual(3, len(result.votes))
        self.assertGreater(result.workloads, BACKLOG)
