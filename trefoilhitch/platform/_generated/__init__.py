"""Classes generated from the JSON Schema files."""
