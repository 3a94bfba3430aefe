"""Protocol and decision logic without sockets or an event loop."""
