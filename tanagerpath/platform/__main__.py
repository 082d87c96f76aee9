"""Runs a process on the platform: `python -m tanagerpath.platform entry|control`."""

import argparse
import os
import signal
import sys

import anyio
from returns.pipeline import is_successful

from tanagerpath.cli.output import write_failure
from tanagerpath.observability import configure_logs
from tanagerpath.observability.metrics import MetricsRegistry
from tanagerpath.observability.streams import LineStream
from tanagerpath.platform.settings_file import SettingsFile
from tanagerpath.runtime import Application
from tanagerpath.services.settings_retry import read_with_retries
from tanagerpath.settings import (
    WorkloadControlSettings,
    WorkloadEntrySettings,
    WorkloadRelaySettings,
)

__all__ = ["main"]

EXIT_WRONG_INPUT = 2


def _make_entry(settings: WorkloadEntrySettings, source: SettingsFile) -> Application:
    from tanagerpath.platform.caller_adapter import CallerAdapter
    from tanagerpath.services.workload_entry import WorkloadEntryApplication

    adapter = CallerAdapter(settings.leader_timeout_s)
    return WorkloadEntryApplication.from_settings(
        settings, adapter, source, MetricsRegistry()
    )


def _make_control(
    settings: WorkloadControlSettings, source: SettingsFile
) -> Application:
    from tanagerpath.platform.operator_adapter import OperatorAdapter
    from tanagerpath.platform.orders import WorkerCodec
    from tanagerpath.services.workload_control import WorkloadControlApplication

    public_port = settings.public_listen.rpartition(":")[2]
    adapter = OperatorAdapter(public_port, settings.leader_timeout_s)
    return WorkloadControlApplication.from_settings(
        settings, adapter, WorkerCodec(), source
    )


def _make_relay(settings: WorkloadRelaySettings, source: SettingsFile) -> Application:
    from tanagerpath.platform.operator_adapter import OperatorAdapter
    from tanagerpath.services.workload_relay import WorkloadRelayApplication

    public_port = settings.public_listen.rpartition(":")[2]
    adapter = OperatorAdapter(public_port, settings.leader_timeout_s)
    return WorkloadRelayApplication.from_settings(settings, adapter, source)


def main() -> int:
    """Run the process that the first argument names."""
    # The default action of SIGHUP would end a process that is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = argparse.ArgumentParser(prog="tanagerpath.platform")
    parser.add_argument("role", choices=["entry", "control"])
    role = parser.parse_args().role
    settings_file = SettingsFile.from_environment(os.environ)
    if role == "entry":
        read, make = settings_file.read_entry, _make_entry
    elif not read_with_retries(settings_file.has_disk).value_or(True):
        read, make = settings_file.read_relay, _make_relay
    else:
        read, make = settings_file.read_control, _make_control
    settings = read_with_retries(lambda: read(os.environ))
    if not is_successful(settings):
        write_failure(settings.failure())
        return EXIT_WRONG_INPUT
    configure_logs(settings.unwrap().log_level, LineStream.from_stream(sys.stdout))
    application = make(settings.unwrap(), settings_file)
    anyio.run(application.run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
