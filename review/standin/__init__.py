"""Small stand-ins of the users' platform, for the scripts of the review."""
