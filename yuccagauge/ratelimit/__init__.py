"""The rates that backend servers name, and how all routers keep them."""
