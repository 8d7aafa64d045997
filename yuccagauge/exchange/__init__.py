"""Exchange of state between routers, with and without the store."""
