"""Developer tools: demo, benchmarks, capacity tables, samples, schema and binary build."""
