"""KV cache that is kept outside the engines, in the platform's store."""
