"""Decision logic of the request path, without sockets, an event loop or platform names."""
