"""Guards against slow exchanges that keep the room which others need."""

import testtools

from tanagerpath.runtime.budgets import (
    MIN_AGE_TO_DROP_S,
    SMALL_BYTES,
    ByteBudget,
    ByteHolder,
)

MAX_BYTES = 16 * SMALL_BYTES
LARGE = 4 * SMALL_BYTES


class _Holder(ByteHolder):
    def __init__(self):
        self.is_dropped = False

    def drop(self):
        self.is_dropped = True


class TestByteBudget(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0

    def make_budget(self):
        return ByteBudget(MAX_BYTES, lambda: self.now_s)

    def wait(self):
        """Let all exchanges become old enough to be dropped."""
        self.now_s += MIN_AGE_TO_DROP_S

    def take(self, budget, size, **options):
        holder = _Holder()
        return holder, budget.take(holder, size, **options)

    def test_the_oldest_large_exchange_makes_room_for_a_new_one(self):
        budget = self.make_budget()
        small, _ = self.take(budget, 1)
        first, second = (self.take(budget, LARGE)[0] for _ in range(2))
        self.wait()
        third, has_room = self.take(budget, LARGE)
        self.assertTrue(has_room)
        dropped = [one.is_dropped for one in (small, first, second, third)]
        self.assertEqual([False, True, False, False], dropped)
        self.assertEqual(1 + 2 * LARGE, budget.used_bytes)

    def test_large_exchanges_that_arrive_at_once_are_not_dropped(self):
        """Guards against heartbeats of 4 MiB that drop each other again and again."""
        budget = self.make_budget()
        first, second = (self.take(budget, LARGE)[0] for _ in range(2))
        _, has_room = self.take(budget, LARGE)
        self.assertFalse(has_room)
        self.assertFalse(first.is_dropped or second.is_dropped)
        self.assertEqual(2 * LARGE, budget.used_bytes)

    def test_small_exchanges_find_room_while_large_ones_are_refused(self):
        budget = self.make_budget()
        for _ in range(2):
            budget.keep(self.take(budget, LARGE)[0])
        self.assertFalse(self.take(budget, LARGE)[1])
        self.assertTrue(self.take(budget, SMALL_BYTES)[1])
        self.assertEqual(2 * LARGE + SMALL_BYTES, budget.used_bytes)

    def test_complete_exchanges_are_never_dropped(self):
        budget = self.make_budget()
        kept = [self.take(budget, SMALL_BYTES)[0] for _ in range(16)]
        for one in kept:
            budget.keep(one)
        self.assertFalse(self.take(budget, 1)[1])
        self.assertFalse(any(one.is_dropped for one in kept))

    def test_slow_small_exchanges_make_room_for_a_new_one(self):
        budget = self.make_budget()
        slow = [self.take(budget, SMALL_BYTES)[0] for _ in range(16)]
        self.wait()
        self.assertTrue(self.take(budget, SMALL_BYTES)[1])
        self.assertEqual([True] + 15 * [False], [one.is_dropped for one in slow])

    def test_internal_messages_may_use_the_whole_budget_and_are_not_dropped(self):
        budget = self.make_budget()
        public, _ = self.take(budget, LARGE)
        internal, has_room = self.take(budget, MAX_BYTES, is_privileged=True)
        self.assertTrue(has_room)
        self.assertTrue(public.is_dropped)
        self.assertFalse(self.take(budget, 1)[1])
        self.assertFalse(internal.is_dropped)

    def test_released_bytes_are_free_again(self):
        budget = self.make_budget()
        holder, _ = self.take(budget, LARGE)
        budget.release(holder)
        budget.release(holder)
        self.assertEqual(0, budget.used_bytes)
