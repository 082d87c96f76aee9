"""Number of messages that a leader sends ahead of the replies."""

import attrs

__all__ = ["SendWindow"]


@attrs.define
class SendWindow:
    """Limit of unanswered messages to one member.

    It doubles with each answer and starts again after a loss. So a busy leader does not
    need a step for each message, and a slow link is not sent more than it delivers
    within the timeout of an exchange.

    Attributes
    ----------
    initial_size : int
        Messages at first and after a loss.
    max_size : int
        Upper limit.
    size : int
        Messages that may be unanswered now.
    """

    initial_size: int
    max_size: int
    size: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the initial size."""
        self.size = self.initial_size

    def record_answer(self) -> None:
        """Double the size, up to the limit."""
        self.size = min(2 * self.size, self.max_size)

    def record_loss(self) -> None:
        """Return to the initial size."""
        self.size = self.initial_size
