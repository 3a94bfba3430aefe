"""Tasks that own sockets: requests, targets, the store feed, peers, the directory."""
