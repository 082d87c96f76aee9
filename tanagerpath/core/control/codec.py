"""Interface for the encoding of log payloads."""

import abc

from tanagerpath.core.state import Command, StateSnapshot

__all__ = ["StateCodec"]


class StateCodec(abc.ABC):
    """Encodes commands and snapshots as the opaque payloads of the log."""

    @abc.abstractmethod
    def encode_command(self, command: Command) -> str:
        """Encode a command as the payload of a log entry."""

    @abc.abstractmethod
    def decode_command(self, payload: str) -> Command:
        """Decode the payload of a log entry.

        Raises
        ------
        FailureError
            If the payload is not a command.
        """

    @abc.abstractmethod
    def encode_snapshot(self, snapshot: StateSnapshot) -> str:
        """Encode the payload of a snapshot."""

    @abc.abstractmethod
    def decode_snapshot(self, payload: str) -> StateSnapshot:
        """Decode the payload of a snapshot.

        Raises
        ------
        FailureError
            If the payload is not a snapshot.
        """
