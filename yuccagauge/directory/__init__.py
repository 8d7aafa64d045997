"""Routes, services, customers, servers and weights that are in force."""
