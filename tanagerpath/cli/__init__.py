"""The `tanagerpath` command."""

from tanagerpath.cli.main import main

__all__ = ["main"]
