"""Stand-in upstreams, load tool, silent proxy, demo, fault drill and fault soak.

The modules that are commands (`upstream`, `load`, `demo`, `drill`, `soak`) are not
imported here, because ``python -m`` would load them twice.
"""

from tanagerpath.emulator.caller import CallerClient, Outcome
from tanagerpath.emulator.evidence import Evidence, audit_journals
from tanagerpath.emulator.faults import Faults, ReportFaultKind
from tanagerpath.emulator.journal import Journal, JournalLine, read_journals
from tanagerpath.emulator.load_plan import JobKind, LoadReport, Tally, Verdict
from tanagerpath.emulator.proxy import ProxyMode, SilentProxy
from tanagerpath.emulator.scripts import TaskScript, compose_answer, verify_answer
from tanagerpath.emulator.tasks_table import TasksTable

__all__ = [
    "CallerClient",
    "Evidence",
    "Faults",
    "JobKind",
    "Journal",
    "JournalLine",
    "LoadReport",
    "Outcome",
    "ProxyMode",
    "ReportFaultKind",
    "SilentProxy",
    "Tally",
    "TaskScript",
    "TasksTable",
    "Verdict",
    "audit_journals",
    "compose_answer",
    "read_journals",
    "verify_answer",
]
