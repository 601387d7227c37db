"""Hypothesis profiles: deterministic cases in CI, more cases for fuzzing."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60
)
settings.register_profile(
    'fuzz',
    deadline=None,
    max_examples=2000,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
settings.load_profile('ci')
