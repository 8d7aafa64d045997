"""Tests of yuccagauge, one folder of features for each slice."""
