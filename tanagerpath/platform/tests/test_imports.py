"""Guards against processes that load modules which they do not use.

On a small VM the imports of an entry took seconds of each restart, and their memory is
occupied for good.
"""

import subprocess
import sys

import testtools

_PRINT_MODULES = """
import sys
import tanagerpath.platform.__main__
import {modules}
print(" ".join(name for name in sys.modules if name.startswith("tanagerpath.")))
"""


def _list_loaded(modules):
    code = _PRINT_MODULES.format(modules=modules)
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return set(done.stdout.split())


class TestImports(testtools.TestCase):
    def assert_not_loaded(self, modules, unused):
        loaded = _list_loaded(modules)
        found = [name for name in loaded if name.startswith(unused)]
        self.assertEqual([], found)

    def test_entry_loads_neither_decisions_nor_consensus(self):
        self.assert_not_loaded(
            "tanagerpath.platform.caller_adapter, tanagerpath.services.workload_entry",
            (
                "tanagerpath.core.workloads.dispatch",
                "tanagerpath.core.placement.",
                "tanagerpath.core.consensus.replica",
                "tanagerpath.core.coordination.",
                "tanagerpath.core.state.",
                "tanagerpath.runtime.storage",
                "tanagerpath.cli.client",
            ),
        )

    def test_control_process_loads_no_decisions_on_jobs(self):
        self.assert_not_loaded(
            "tanagerpath.platform.operator_adapter,"
            " tanagerpath.services.workload_control",
            (
                "tanagerpath.core.placement.",
                "tanagerpath.core.coordination.coordinator",
                "tanagerpath.cli.client",
            ),
        )
