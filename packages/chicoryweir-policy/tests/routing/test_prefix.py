"""Tests of the hashes and the index of prompt prefixes."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.routing import prefix


@hypothesis.given(strategies.text(max_size=900), strategies.text(max_size=300))
def test_prompts_share_the_blocks_of_their_common_prefix(head: str, tail: str) -> None:
    blocks = prefix.hash_blocks(head)
    assert len(blocks) == len(head) // prefix.BLOCK_CHARS
    assert prefix.hash_blocks(head + tail)[: len(blocks)] == blocks


def test_equal_blocks_after_different_text_have_different_hashes() -> None:
    block = "a" * prefix.BLOCK_CHARS
    first, second = prefix.hash_blocks(block * 2)
    assert first != second


def test_full_index_evicts_least_recently_confirmed_blocks() -> None:
    index = prefix.PrefixIndex(max_blocks=3)
    index.record_stored("agent-1", (1, 2, 3))
    index.record_stored("agent-2", (1, 4))
    assert len(index) == 3
    assert index.count_cached("agent-1", (2,)) == 0
    assert index.count_cached("agent-1", (1,)) == 1


def test_missing_cache_events_do_not_change_the_count() -> None:
    index = prefix.PrefixIndex()
    index.record_stored("agent-1", (11, 13))
    assert index.count_cached("agent-1", (11, 12, 13, 14)) == 3


def test_removed_endpoint_has_no_cached_blocks() -> None:
    index = prefix.PrefixIndex()
    index.record_sent("agent-1", (11, 12))
    index.remove_endpoint("agent-1")
    assert index.count_cached("agent-1", (11, 12)) == 0
    index.record_stored("agent-1", (11,))
    assert index.count_cached("agent-1", (11, 12)) == 1


def test_eviction_applies_to_one_endpoint_only() -> None:
    index = prefix.PrefixIndex()
    index.record_stored("agent-1", (11,))
    index.record_stored("agent-2", (11,))
    index.record_evicted("agent-1", (11, 99))
    assert index.count_cached("agent-1", (11,)) == 0
    assert index.count_cached("agent-2", (11,)) == 1


def test_popular_prefix_does_not_determine_the_home() -> None:
    index = prefix.PrefixIndex()
    for conversation in range(200):
        index.record_sent("agent-1", (1, 2, 1000 + conversation))
    assert index.find_home_block((1, 2, 1007), max_share=1 / 16) == 1007
    assert index.find_home_block((1, 2), max_share=1 / 16) == 0
    assert index.find_home_block((5, 6), max_share=1 / 16) == 5


def test_send_counts_stay_bounded() -> None:
    index = prefix.PrefixIndex(max_blocks=10)
    for block in range(5 * prefix.POPULARITY_WINDOW_SENDS):
        index.record_sent("agent-1", (block,))
    assert len(index._send_count_by_block) <= prefix.POPULARITY_WINDOW_SENDS
