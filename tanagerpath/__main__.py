"""Entry point of `python -m tanagerpath`."""

import sys

from tanagerpath.cli.main import main

__all__: list[str] = []

if __name__ == "__main__":
    sys.exit(main())
