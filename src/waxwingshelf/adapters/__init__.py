"""Adapters between the ports and the outside."""
