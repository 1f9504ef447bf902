"""Hypothesis profiles: the same examples in CI, random ones in explore."""

import os

from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.register_profile('explore', deadline=None, max_examples=1000)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
