"""Decisions of the scheduler, free of input, output, clocks and threads."""
