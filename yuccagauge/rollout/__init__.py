"""Rollout of model weights: one leading router gives engines load orders."""
