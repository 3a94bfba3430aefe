"""Benchmarks of each part, with bounds that come from the design goals."""
