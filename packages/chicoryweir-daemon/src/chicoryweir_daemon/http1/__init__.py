"""HTTP/1.1 on both sides of the forwarding path, parsed by httptools."""
