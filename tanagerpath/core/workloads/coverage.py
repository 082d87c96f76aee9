"""Which workloads the guarantees of their organisations cover."""

import math
from collections.abc import Iterable

import attrs

from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.state import FleetState

__all__ = ["GuaranteeCoverage", "GuaranteeShare", "count_needed"]


def count_needed(record: WorkloadRecord) -> int:
    """Return the accelerators of the largest step of a workload."""
    return record.spec.accelerators_needed


@attrs.define
class GuaranteeShare:
    """Use of the guarantee of one organisation, in accelerators.

    Attributes
    ----------
    guaranteed : int
        What its configuration guarantees.
    covered : int
        Needs of the unfinished workloads that the guarantee covers.
    requested : int
        Needs of all its unfinished workloads of priority 0.
    """

    guaranteed: int = 0
    covered: int = 0
    requested: int = 0


class GuaranteeCoverage:
    """Covers workloads of priority 0 in the order of their acceptance.

    A workload is covered if its largest step fits into the accelerators that earlier
    ones leave of the guarantee. It stays covered until it ends or the guarantee is
    lowered; otherwise covered work could be preempted for a larger workload that fits
    once an earlier one has ended.

    Parameters
    ----------
    state : FleetState
        Replicated state.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._shares: dict[str, GuaranteeShare] = {}
        self._covered_since_s: dict[str, float] | None = None
        self.covered: frozenset[str] = frozenset()

    def update(self, records: Iterable[WorkloadRecord], now_s: float) -> frozenset[str]:
        """Decide anew which workloads are covered.

        Parameters
        ----------
        records : iterable of WorkloadRecord
            Unfinished workloads in the order of their acceptance.
        now_s : float
            Time on the leader's monotonic clock.

        Returns
        -------
        frozenset of str
            Waiting and running workloads that have gained or lost their cover.
        """
        configuration = self._state.configuration
        organisations = configuration.organisations if configuration else ()
        self._shares = {
            one.name: GuaranteeShare(one.guaranteed.accelerators)
            for one in organisations
        }
        urgent = [record for record in records if self._is_urgent(record)]
        by_cover = sorted(urgent, key=lambda one: one.workload_id not in self.covered)
        covered = {record.workload_id for record in by_cover if self._try_cover(record)}
        unfinished = {record.workload_id for record in urgent}
        changed = (self.covered ^ covered) & unfinished
        self.covered = frozenset(covered)
        self._note_since(now_s)
        return frozenset(changed)

    def _note_since(self, now_s: float) -> None:
        # What the first update of a term covers may have been covered since its
        # acceptance by an earlier leader.
        is_first = self._covered_since_s is None
        known = self._covered_since_s or {}
        default_s = -math.inf if is_first else now_s
        self._covered_since_s = {
            workload_id: known.get(workload_id, default_s)
            for workload_id in self.covered
        }

    def find_covered_s(self, workload_id: str, now_s: float) -> float:
        """Return the seconds for which a guarantee has covered a workload.

        It is 0 for work that is not covered, and infinite if the cover may have been
        there before this term.
        """
        since_s = (self._covered_since_s or {}).get(workload_id, now_s)
        return now_s - since_s

    def find_share(self, organisation: str) -> GuaranteeShare:
        """Return the use of the guarantee of an organisation."""
        return self._shares.get(organisation) or GuaranteeShare()

    def _is_urgent(self, record: WorkloadRecord) -> bool:
        queue = self._state.find_queue(record.queue)
        return queue is not None and queue.priority == 0

    def _try_cover(self, record: WorkloadRecord) -> bool:
        share = self._shares.setdefault(record.organisation, GuaranteeShare())
        needed = count_needed(record)
        share.requested += needed
        if share.covered + needed > share.guaranteed:
            return False
        share.covered += needed
        return True
