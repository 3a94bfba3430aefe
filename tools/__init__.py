"""Tools around the product: demo, benchmarks, samples."""
