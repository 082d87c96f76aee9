"""Command that shows the status of the whole system."""

import argparse
from collections.abc import Iterable, Sequence

from returns.result import Result, Success

from tanagerpath.cli.client import EntryClient, EntryRequest
from tanagerpath.cli.command import ClientCommand
from tanagerpath.codecs import encode_json
from tanagerpath.core.protocol.internal import StatusReply
from tanagerpath.errors import Failure

__all__ = ["StatusCommand", "render_status"]


class StatusCommand(ClientCommand):
    """`tanagerpath status`."""

    name = "status"
    summary = "show the leader, the queues, the upstreams and the organisations"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the output format."""
        super().add_arguments(parser)
        parser.add_argument("--json", action="store_true", help="print the reply")

    def prepare(self, arguments: argparse.Namespace) -> Result[bool, Failure]:
        """Return whether to print JSON."""
        return Success(arguments.json)

    async def execute(
        self, client: EntryClient, prepared: bool
    ) -> Result[str, Failure]:
        """Request the status."""
        outcome = await client.ask(EntryRequest("GET", "/v1/status", StatusReply))
        return outcome.map(encode_json if prepared else render_status)


def render_status(status: StatusReply) -> str:
    """Render the status as text, with one table for each kind of object.

    Parameters
    ----------
    status : StatusReply
        Status reported by the leader.

    Returns
    -------
    str
        Several lines without a trailing line feed.
    """
    parts = [_render_head(status)]
    if status.organisations:
        parts.append(_render_organisations(status))
    if status.upstreams:
        parts.append(_render_upstreams(status))
    if status.times:
        parts.append(_render_times(status))
    if status.refusals:
        parts.append(_render_table(("refusal", "count"), status.refusals))
    return "\n\n".join(parts)


def _render_head(status: StatusReply) -> str:
    return "\n".join(
        [
            f"leader     {status.leader_id} (term {status.term})",
            f"voters     {', '.join(status.voters)}",
            f"log index  {status.log_index}",
            f"jobs       {status.queued_jobs} queued, {status.running_jobs} running",
        ]
    )


def _render_organisations(status: StatusReply) -> str:
    head = ("organisation", "quota", "held", "queued", "unmet guarantees")
    rows = [
        (
            item.organisation,
            item.quota_accelerators,
            item.held_accelerators,
            item.queued_jobs,
            item.unmet_guarantees,
        )
        for item in status.organisations
    ]
    return _render_table(head, rows)


def _render_upstreams(status: StatusReply) -> str:
    head = ("upstream", "zone", "rack", "position", "condition", "accelerators", "held")
    rows = [
        (
            item.upstream_id,
            item.availability_zone,
            item.rack,
            item.position,
            item.condition,
            item.accelerators,
            item.held,
        )
        for item in status.upstreams
    ]
    return _render_table(head, rows)


def _render_times(status: StatusReply) -> str:
    head = ("time", "organisation", "class", "jobs", "p50 s", "p99 s", "max s")
    rows = [
        (
            item.name,
            item.organisation,
            item.job_class,
            item.count,
            f"{item.p50_s:.3f}",
            f"{item.p99_s:.3f}",
            f"{item.max_s:.3f}",
        )
        for item in status.times
    ]
    return _render_table(head, rows)


def _render_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    texts = [tuple(head), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(head))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    )
    return "\n".join(line.rstrip() for line in lines)
