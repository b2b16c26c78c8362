"""HTTP/1.1 server and client connections of the forwarder, parsed by httptools."""
