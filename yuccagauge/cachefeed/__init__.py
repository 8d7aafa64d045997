"""Cache events: what engines and KV cache stores store and evict."""
