"""Stand-ins for external systems: stores, targets and the transport between instances."""
