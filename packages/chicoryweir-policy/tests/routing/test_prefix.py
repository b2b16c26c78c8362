"""Tests of prompt prefixes."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.routing import prefix


@hypothesis.given(strategies.text(max_size=900), strategies.text(max_size=300))
def test_prompts_share_the_blocks_of_their_common_prefix(head: str, tail: str) -> None:
    blocks = prefix.hash_blocks(head)
    assert len(blocks) == len(head) // prefix.BLOCK_CHARS
    assert prefix.hash_blocks(head + tail)[: len(blocks)] == blocks


def test_equal_blocks_after_other_text_have_other_hashes() -> None:
    block = "a" * prefix.BLOCK_CHARS
    first, second = prefix.hash_blocks(block * 2)
    assert first != second


def test_book_forgets_the_oldest_blocks_at_its_bound() -> None:
    book = prefix.PrefixIndex(max_blocks=3)
    book.record_stored("agent-1", (1, 2, 3))
    book.record_stored("agent-2", (1, 4))
    assert len(book) == 3
    assert book.count_cached("agent-1", (2,)) == 0
    assert book.count_cached("agent-1", (1,)) == 1


def test_book_tolerates_missing_events() -> None:
    book = prefix.PrefixIndex()
    book.record_stored("agent-1", (11, 13))
    assert book.count_cached("agent-1", (11, 12, 13, 14)) == 3


def test_restarted_endpoint_holds_nothing() -> None:
    book = prefix.PrefixIndex()
    book.record_sent("agent-1", (11, 12))
    book.remove_endpoint("agent-1")
    assert book.count_cached("agent-1", (11, 12)) == 0
    book.record_stored("agent-1", (11,))
    assert book.count_cached("agent-1", (11, 12)) == 1


def test_evicted_block_is_held_by_the_others_only() -> None:
    book = prefix.PrefixIndex()
    book.record_stored("agent-1", (11,))
    book.record_stored("agent-2", (11,))
    book.record_evicted("agent-1", (11, 99))
    assert book.count_cached("agent-1", (11,)) == 0
    assert book.count_cached("agent-2", (11,)) == 1


def test_prompt_shared_by_all_does_not_choose_the_home() -> None:
    book = prefix.PrefixIndex()
    for conversation in range(200):
        book.record_sent("agent-1", (1, 2, 1000 + conversation))
    assert book.find_home_block((1, 2, 1007), max_share=1 / 16) == 1007
    assert book.find_home_block((1, 2), max_share=1 / 16) == 0
    assert book.find_home_block((5, 6), max_share=1 / 16) == 5


def test_counts_of_sends_stay_bounded() -> None:
    book = prefix.PrefixIndex(max_blocks=10)
    for block in range(5 * prefix.POPULARITY_WINDOW_SENDS):
        book.record_sent("agent-1", (block,))
    assert len(book._sends_of_block) <= prefix.POPULARITY_WINDOW_SENDS
