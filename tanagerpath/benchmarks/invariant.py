"""Independent check of the guarantee invariant by exhaustive search.

It shares no code with the policy: it knows only upstreams, who holds what, and the
rule that disjoint adjacent runs have to exist for all guaranteed shapes at once.
"""

from collections.abc import Iterable, Mapping

import attrs

from tanagerpath.core.model import GuaranteedShape, JobRequest, UpstreamCapacity

__all__ = ["HeldRun", "could_reclaim_all"]

Cell = tuple[str, int]


@attrs.frozen
class HeldRun:
    """Accelerators that a job holds on one upstream."""

    request: JobRequest
    upstream_id: str
    first: int
    count: int


def could_reclaim_all(
    usable: Iterable[UpstreamCapacity],
    held: Iterable[HeldRun],
    guarantees: Mapping[str, tuple[GuaranteedShape, ...]],
) -> bool:
    """Whether all guaranteed shapes could be held at once on disjoint runs.

    Parameters
    ----------
    usable : iterable of UpstreamCapacity
        Upstreams that may run new work.
    held : iterable of HeldRun
        What jobs hold.
    guarantees : mapping of str to tuple of GuaranteedShape
        Shapes by organisation.
    """
    upstreams = sorted(usable, key=lambda each: _place(each))
    non_preemptible: dict[Cell, JobRequest] = {}
    for run in held:
        if not run.request.preemptible:
            for index in range(run.first, run.first + run.count):
                non_preemptible[(run.upstream_id, index)] = run.request
    options = []
    for organisation, shapes in guarantees.items():
        for shape in shapes:
            found = [
                cells
                for cells in _list_runs(upstreams, shape)
                if all(
                    _may_take(non_preemptible.get(cell), organisation) for cell in cells
                )
            ]
            options += [found] * shape.count
    options.sort(key=len)
    return _choose(options, frozenset())


def _place(upstream: UpstreamCapacity) -> tuple[str, int, int]:
    location = upstream.location
    return (location.availability_zone, location.rack, location.position)


def _may_take(holder: JobRequest | None, organisation: str) -> bool:
    if holder is None:
        return True
    return holder.guaranteed and holder.organisation == organisation


def _list_runs(
    upstreams: list[UpstreamCapacity], shape: GuaranteedShape
) -> list[frozenset[Cell]]:
    zone = shape.availability_zone
    inside = [
        each
        for each in upstreams
        if zone is None or each.location.availability_zone == zone
    ]
    size = shape.accelerators
    if size > 64:
        raise ValueError(f"runs of {size} accelerators over several racks")
    if size <= 8:
        return [
            frozenset((each.upstream_id, first + i) for i in range(size))
            for each in inside
            for first in range(each.accelerators - size + 1)
        ]
    runs = []
    for start, first in enumerate(inside):
        cells: set[Cell] = set()
        for step, each in enumerate(inside[start:]):
            zone_name, rack, position = _place(first)
            if _place(each) != (zone_name, rack, position + step):
                break
            cells |= {(each.upstream_id, i) for i in range(each.accelerators)}
            if len(cells) >= size:
                runs.append(frozenset(cells))
                break
    return runs


def _choose(options: list[list[frozenset[Cell]]], taken: frozenset[Cell]) -> bool:
    if not options:
        return True
    return any(
        _choose(options[1:], taken | cells) for cells in options[0] if not cells & taken
    )
