"""Core of the scheduler, without input, output, clocks or threads."""
