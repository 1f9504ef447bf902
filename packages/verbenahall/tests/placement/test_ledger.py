"""The ledger of open work, of this instance and of its peers."""

from verbenahall.placement import Ledger, Totals


def test_prefill_of_a_decode_engine_ends_with_its_first_event():
    # Counted until the end of the stream, the prefill looked to other
    # instances like a prompt that they would have to wait for.
    ledger = Ledger()
    totals = Totals(prefill_tokens=3_000, held_tokens=9_000, streams=1)
    flight = ledger.open('g0', totals)
    flight = ledger.note_read(flight)
    assert ledger.totals('g0') == Totals(held_tokens=9_000, streams=1)
    ledger.close(flight)
    assert ledger.totals('g0') == Totals()


def test_prefilling_peers_count_while_they_report():
    ledger = Ledger()
    ledger.hear('p1', {'r0': Totals(prefill_tokens=100)}, 0)
    ledger.hear('p2', {'g0': Totals(streams=1)}, 0)
    assert ledger.prefilling_peers == 1
    ledger.hear('p1', {}, 0.1)
    assert ledger.prefilling_peers == 0
    ledger.hear('p1', {'r0': Totals(prefill_tokens=100)}, 0.2)
    ledger.forget_silent(10)
    assert ledger.prefilling_peers == 0
