"""Keeps a record that can't be applied from harming others."""

import contextlib
from collections.abc import Iterator
from typing import Final

from absl import logging

from verbenahall import journal, metrics

#: Characters of an error that are logged.
_MAX_ERROR: Final = 200


@contextlib.contextmanager
def isolate_record(topic: str, key: str) -> Iterator[None]:
    """Log and count what applying a record raises, and go on after it.

    Other programs write records, too. All instances read what one of them
    leaves in a topic, again after each start, so a fault in applying it must
    end no reader and cost no other record of its batch::

        for key, content in records.items():
            with isolate_record(topic, key):
                apply_record(key, content)
    """
    try:
        yield
    except Exception as error:
        metrics.FAILED_RECORDS.add(topic)
        logging.exception('a record of %s could not be applied', topic)
        journal.write_decision(
            'record_failed',
            topic=topic,
            key=key,
            error=repr(error)[:_MAX_ERROR],
        )
