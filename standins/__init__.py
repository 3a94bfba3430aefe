"""Stand-ins for the outside: the key-value service and the targets."""
