"""Service-level objectives: counts, burn rates, alerts and the report."""
