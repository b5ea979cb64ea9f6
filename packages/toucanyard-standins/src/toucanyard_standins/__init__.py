"""Small stand-ins for what surrounds the router, and the benches that use them."""
