"""Prints the reference page of all settings."""

import sys

from tanagerpath.settings.reference import render_reference

__all__: list[str] = []

if __name__ == "__main__":
    sys.stdout.write(render_reference())
