"""Stand-ins for the systems around the router, and the benches that use them."""
