"""Benchmarks: what the control costs and how that grows."""
