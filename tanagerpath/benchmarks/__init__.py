"""Benchmarks and randomised checks of the core."""
