"""Budget of bytes that threads share: who gets a part, and who waits in vain."""

import threading

import pytest

from dogwooddock.bytebudget import ByteBudget


@pytest.mark.parametrize(
    ("held", "size", "owned", "granted"),
    [
        (60, 40, 0, True),
        (60, 41, 0, False),
        (0, 400, 0, True),  # alone, however large
        (60, 400, 60, True),  # the rest of a body that is alone
        (60, 400, 30, False),
    ],
)
def test_bytes_beyond_the_limit_are_not_granted(held, size, owned, granted):
    budget = ByteBudget(100)
    assert budget.acquire(held, 0.0)
    assert budget.acquire(size, 0.0, owned) is granted
    assert budget.held_bytes == held + (size if granted else 0)


def test_freed_bytes_are_granted_to_a_thread_that_waits():
    budget, results = ByteBudget(100), []
    assert budget.acquire(100, 0.0)
    waiting = threading.Thread(target=lambda: results.append(budget.acquire(50, 30.0)))
    waiting.start()
    budget.release(100)
    waiting.join()
    assert results == [True]
    assert budget.held_bytes == 50
