"""Messages between routers: schema, codec and endpoints."""
