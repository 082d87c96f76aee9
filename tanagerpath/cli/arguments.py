"""Argument parser that reports an invalid argument in one line."""

import argparse
import sys
from typing import NoReturn

__all__ = ["EXIT_WRONG_INPUT", "OneLineParser"]

EXIT_WRONG_INPUT = 2


class OneLineParser(argparse.ArgumentParser):
    """`argparse.ArgumentParser` without the usage text before an error."""

    def error(self, message: str) -> NoReturn:
        """Write one line to standard error and exit."""
        line = " ".join(message.split())
        sys.stderr.write(f"{self.prog}: {line} (see --help)\n")
        sys.exit(EXIT_WRONG_INPUT)
