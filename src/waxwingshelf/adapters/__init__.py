"""Adapters to external services: the key-value service, targets, peers and metrics."""
