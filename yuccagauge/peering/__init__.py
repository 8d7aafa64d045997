"""What routers tell each other beside their membership."""
