"""Error kinds and their answers."""

import pytest

from verbenahall.errors import ANSWERS, ErrorKind, Problem, Ran


@pytest.mark.parametrize('kind', ErrorKind)
def test_every_kind_has_an_answer(kind):
    """A kind that is missing in the table would raise while answering."""
    assert 400 <= ANSWERS[kind].status < 600


def test_problem_overrides_the_default():
    """A problem's own ``ran`` and retry hint replace those of its kind."""
    problem = Problem(ErrorKind.ENDPOINT_FAILED, 'refused', Ran.NO, 3)

    assert problem.answer.ran is Ran.NO
    assert problem.answer.retry_after_s == 3
    assert problem.answer.status == 502
