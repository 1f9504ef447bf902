"""Routes by host and longest prefix, and versions that only increase."""

import random

from returns.maybe import Nothing, Some

from verbenahall.catalog import (
    Catalog,
    CatalogState,
    Limits,
    Route,
    RouteKind,
    Share,
    apply_catalog,
    find_route,
    pick_service,
)

_LIMITS = Limits(16_384, 4_194_304, 3, 15)


def make_route(prefix, service='pages', host='desk.example', **changes):
    given = {
        'name': f'r{prefix}',
        'host': host,
        'prefix': prefix,
        'kind': RouteKind.IDEMPOTENT,
        'shares': (Share(service, 1),),
        'timeout_s': 2,
        'objective_s': 0.3,
        'priority': 2,
        'max_attempts': 2,
    }
    return Route(**{**given, **changes})


def make_catalog(*routes, version=1):
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return Catalog(version, by_host, {}, _LIMITS)


def test_longest_prefix_wins():
    short = make_route('/a/')
    longer = make_route('/a/b/')
    catalog = make_catalog(short, longer)
    assert find_route(catalog, 'desk.example', '/a/b/c') == Some(longer)
    assert find_route(catalog, 'desk.example', '/a/x') == Some(short)


def test_prefix_covers_whole_segments_only():
    catalog = make_catalog(make_route('/a/'))
    assert find_route(catalog, 'desk.example', '/ab/') is Nothing
    assert find_route(catalog, 'desk.example', '/a') is Nothing


def test_route_of_another_host_does_not_match():
    catalog = make_catalog(make_route('/a/'))
    assert find_route(catalog, 'other.example', '/a/b') is Nothing


def test_route_is_found_among_thousands():
    many = [make_route(f'/r{number}/') for number in range(2000)]
    catalog = make_catalog(*many)
    assert find_route(catalog, 'desk.example', '/r1999/x') == Some(many[-1])


def test_split_follows_weights():
    route = make_route('/a/', shares=(Share('old', 90), Share('new', 10)))
    rng = random.Random(5)
    drawn = [pick_service(route, rng) for _ in range(2000)]
    assert 140 < drawn.count('new') < 260


def test_older_version_is_not_applied():
    # A read of the store returns an older manifest than the one in force. With
    # it an instance would route to a service that the operator has removed, and
    # users would get old answers again.
    state = CatalogState()
    assert apply_catalog(state, make_catalog(version=7))
    assert not apply_catalog(state, make_catalog(version=5))
    assert not apply_catalog(state, make_catalog(version=7))
    assert state.catalog.version == 7


def test_streams_repeat_only_when_resumable():
    assert not make_route('/a/', kind=RouteKind.STREAM).repeatable
    assert make_route('/a/', kind=RouteKind.STREAM, resumable=True).repeatable
    assert not make_route('/a/', kind=RouteKind.NON_IDEMPOTENT).repeatable
