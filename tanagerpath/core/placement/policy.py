"""The scheduling policy under guarantees."""

import attrs

from tanagerpath.core.placement.first_fit import FirstFitScheduler

__all__ = ["GuaranteeScheduler"]


@attrs.define
class GuaranteeScheduler(FirstFitScheduler):
    """First version without a guarantee plan: first fit that lets later jobs pass."""
