"""A soak test of answers that end with their connection, with real processes."""
