"""Steps for the hashes of buyers and entries."""

from behave import then

from daisyfall import _ids


@then('the shard of buyer "{buyer}" among {count:d} is {shard:d}')
def check_shard(context, buyer, count, shard):
    assert _ids.shard_of(buyer, count) == shard, _ids.shard_of(buyer, count)


@then('the rendezvous for key "{key}" of "{entries}" is won by "{winner}"')
def check_winner(context, key, entries, winner):
    found = _ids.rendezvous_winner(key, entries.split())
    assert found == winner, found
