"""What is in force: routes, services, customers, servers, weights."""
