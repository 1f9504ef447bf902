"""The load table: open work of this instance and of its peers."""

from verbenahall.placement import LoadTable, Totals


def test_prefill_of_a_decode_engine_ends_with_its_first_event():
    # Counted until the end of the stream, the prefill looked to other
    # instances like a prompt that they would have to wait for.
    load_table = LoadTable()
    totals = Totals(prefill_tokens=3_000, held_tokens=9_000, streams=1)
    flight = load_table.open('g0', totals)
    flight = load_table.record_first_event(flight, 0)
    assert load_table.totals('g0') == Totals(held_tokens=9_000, streams=1)
    load_table.close(flight)
    assert load_table.totals('g0') == Totals()


def test_prefilling_peers_count_while_they_report():
    load_table = LoadTable()
    load_table.set_peer_loads('p1', {'r0': Totals(prefill_tokens=100)}, 0)
    load_table.set_peer_loads('p2', {'g0': Totals(streams=1)}, 0)
    assert load_table.prefilling_peers == 1
    load_table.set_peer_loads('p1', {}, 0.1)
    assert load_table.prefilling_peers == 0
    load_table.set_peer_loads('p1', {'r0': Totals(prefill_tokens=100)}, 0.2)
    load_table.expire_peers(10)
    assert load_table.prefilling_peers == 0
