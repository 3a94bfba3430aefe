"""Adapters to external services: the store, targets, peers and metrics."""
