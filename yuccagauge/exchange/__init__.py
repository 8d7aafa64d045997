"""What routers tell each other, with and without the store."""
