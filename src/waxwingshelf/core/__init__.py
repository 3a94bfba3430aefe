"""Pure decisions: no sockets, no event loop."""
