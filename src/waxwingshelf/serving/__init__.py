"""Network-facing parts of an entry instance: proxying, store watch, peers and endpoints."""
