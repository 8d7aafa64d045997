"""What engines and kept stores publish about the parts that they hold."""
