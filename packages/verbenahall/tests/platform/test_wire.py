"""Decoding and encoding of the platform's protocol."""

import json
import pathlib
import re

import pytest
from multidict import CIMultiDict
from returns.maybe import Nothing

import verbenahall
from verbenahall.authentication import Workspace, digest_key
from verbenahall.catalog import RouteKind, ScalingRules
from verbenahall.fleet import Role
from verbenahall.platform import (
    SendOptions,
    build_send_headers,
    decode_entry,
    decode_keyed,
    decode_manifest,
    decode_prefill_result,
    decode_report,
    read_answer_head,
    read_request_head,
    read_settings,
    strip_answer_headers,
    strip_hop_headers,
)
from verbenahall.platform._records import (
    KeyedRecord,
    decode_batch,
    encode_keyed,
)

ENTRY = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'aberystwyth',
    'version': 'v1',
    'slots': 48,
    'state': 'ready',
    'coldLeftMs': 0,
    'stage': 'decode',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'seq': 4,
    'born': 1_767_694_165_643,
}


def dump(table):
    return json.dumps(table).encode()


def test_entry_is_decoded():
    entry = decode_entry('i-1', dump(ENTRY)).unwrap()
    assert entry.role is Role.DECODE
    assert entry.data_centre == 'aberystwyth'
    assert (entry.born, entry.change) == (1_767_694_165_643, 4)


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'asleep'},
        {'stage': 'dreaming'},
        {'address': 7},
        {'address': '10.0.0:80'},
        {'address': '10.0.0.1:0'},
        {'seq': 'four'},
        {'seq': -1},
        {'seq': True},
        {'born': 1.5},
        {'service': None},
        {'slots': float('1e400')},
    ],
)
def test_invalid_entry_is_not_an_endpoint(changes):
    assert decode_entry('i-1', dump({**ENTRY, **changes})) is Nothing


def test_draining_is_leaving():
    entry = decode_entry('i-1', dump({**ENTRY, 'state': 'draining'}))
    assert entry.unwrap().leaving


def test_manifest_is_decoded():
    manifest = {
        'version': 7,
        'routes': [
            {
                'name': 'r',
                'host': 'Ficu95.example',
                'pathPrefix': '/pufi791/',
                'kind': 'stream',
                'timeoutMs': 3000,
                'sloMs': 500,
                'priority': 1,
                'split': [
                    {'service': 'a', 'weight': 90},
                    {'service': 'b', 'weight': 0},
                ],
                'maxAttempts': 1,
                'resumable': False,
                'gapAimMs': 250,
            },
        ],
        'services': [{'name': 'a', 'maxConns': 300}],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
    }
    catalog = decode_manifest(dump(manifest)).unwrap()
    route = catalog.routes['ficu95.example']['/pufi791/']
    assert route.kind is RouteKind.STREAM
    assert (route.timeout_s, route.objective_s, route.gap_s) == (3, 0.5, 0.25)
    assert [share.service for share in route.shares] == ['a']


def make_keyed_manifest(tenants):
    return {
        'version': 8,
        'routes': [],
        'services': [],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': tenants,
    }


def test_tenants_are_workspaces_with_keys():
    tenants = [
        {'name': 'club', 'apiKeys': ['k-1', 'k-2'], 'priority': 0},
        {'name': 'press', 'apiKeys': []},
    ]
    manifest = dump(make_keyed_manifest(tenants))
    keys = decode_manifest(manifest).unwrap().keys
    assert keys.holders == {
        digest_key('k-1'): Workspace('club', 0),
        digest_key('k-2'): Workspace('club', 0),
    }


@pytest.mark.parametrize('tenants', [None, []])
def test_manifest_without_tenants_requires_no_key(tenants):
    manifest = dump(make_keyed_manifest(tenants))
    assert decode_manifest(manifest).unwrap().keys is None


@pytest.mark.parametrize(
    ('tenant', 'place'),
    [
        ({'apiKeys': ['a-secret']}, 'name'),
        ({'name': '', 'apiKeys': ['a-secret']}, 'name'),
        ({'name': 'club'}, 'apiKeys'),
        ({'name': 'club', 'apiKeys': 'a-secret'}, 'tenants[1].apiKeys'),
        ({'name': 'club', 'apiKeys': ['a-secret', 7]}, 'tenants[1].apiKeys'),
        ({'name': 'club', 'apiKeys': ['']}, 'tenants[1].apiKeys'),
        ({'name': 'club', 'apiKeys': [], 'priority': -1}, 'priority'),
        ({'name': 'club', 'apiKeys': ['a-secret', 'k-1']}, "'press'"),
    ],
)
def test_manifest_with_an_invalid_tenant_is_refused(tenant, place):
    """A partly applied manifest would refuse callers with valid keys."""
    tenants = [{'name': 'press', 'apiKeys': ['k-1']}, tenant]
    refused = decode_manifest(dump(make_keyed_manifest(tenants)))
    message = refused.failure().message
    assert place in message
    assert 'secret' not in message


def make_scaled_manifest(**changes):
    autoscale = {
        'min': 1,
        'max': 20,
        'bootTimeoutS': 4.0,
        'spotPrice': 0.18,
        'zonePrices': {'aberystwyth': 0.85, 'lampeter': 1.2},
    }
    service = {'name': 'a', 'autoscale': {**autoscale, **changes}}
    return dump({**make_keyed_manifest([]), 'services': [service]})


def test_scaling_rules_are_decoded():
    service = decode_manifest(make_scaled_manifest()).unwrap().services['a']
    prices = {'aberystwyth': 0.85, 'lampeter': 1.2}
    assert service.scaling == ScalingRules(1, 20, 4, 0.18, prices)


@pytest.mark.parametrize(
    ('changes', 'place'),
    [
        ({'min': -1}, 'min'),
        ({'min': 21}, 'max 20'),
        ({'spotPrice': 'free'}, 'spotPrice'),
        ({'zonePrices': {'lampeter': -1}}, 'lampeter'),
    ],
)
def test_manifest_with_invalid_scaling_rules_is_refused(changes, place):
    """Scaling by a partly applied manifest would remove needed engines."""
    refused = decode_manifest(make_scaled_manifest(**changes))
    assert place in refused.failure().message


def test_spot_instances_are_recognised():
    entry = decode_entry('i-1', dump({**ENTRY, 'spot': True}))
    assert entry.unwrap().spot
    assert not decode_entry('i-1', dump(ENTRY)).unwrap().spot


def test_unknown_kind_runs_at_most_once():
    row = {'name': 'r', 'host': 'h', 'pathPrefix': '/a/', 'kind': 'new'}
    limits = {
        'maxHeaderBytes': 1,
        'maxBodyBytes': 1,
        'headerTimeoutMs': 1,
        'idleTimeoutMs': 1,
    }
    manifest = {
        'version': 1,
        'routes': [{**row, 'timeoutMs': 1, 'sloMs': 1, 'service': 's'}],
        'services': [],
        'limits': limits,
    }
    catalog = decode_manifest(dump(manifest)).unwrap()
    assert not catalog.routes['h']['/a/'].repeatable


def test_request_head_is_decoded():
    head = read_request_head(
        {
            'X-Verbenahall-Request-Id': '9c41',
            'X-Verbenahall-Deadline-Ms': '5000',
            'X-Verbenahall-Token-Count': '1460,80',
            'X-Verbenahall-Prompt-Prefix': '5c1e:800, 91bd:410,e440:250',
            'X-Verbenahall-Length-Hint': '30',
            'Last-Event-Id': '12',
        },
    )
    assert head.wait_s == 5
    assert head.last_event == 12
    assert [part.tokens for part in head.work.parts] == [800, 410, 250]
    assert head.work.affinity_key == '91bd'
    assert (head.work.prompt_tokens, head.work.output_tokens) == (1460, 30)


def test_malformed_headers_count_as_absent():
    head = read_request_head(
        {
            'X-Verbenahall-Deadline-Ms': 'soon',
            'X-Verbenahall-Token-Count': ',',
            'X-Verbenahall-Prompt-Prefix': 'a:b,:3,,c',
            'Last-Event-Id': '-1',
        },
    )
    assert head.wait_s is None
    assert head.last_event is None
    assert not head.work.parts


def test_headers_named_by_connection_are_not_forwarded():
    headers = strip_hop_headers(
        [(b'Connection', b'close, X-Own'), (b'X-Own', b'1'), (b'X-B', b'2')],
    )
    assert list(headers.items()) == [('X-B', '2')]


def test_send_headers():
    raw = [
        (b'X-Verbenahall-Kv-From', b'stolen'),
        (b'x-verbenahall-request-id', b'9c41'),
        (b'X-Verbenahall-Deadline-Ms', b'99999'),
    ]
    options = SendOptions('i-1', 1.25, priority=2, kv_source='10.0.0.1:80/h')
    headers = build_send_headers(raw, options)
    assert headers['X-Verbenahall-Kv-From'] == '10.0.0.1:80/h'
    assert headers['X-Verbenahall-Deadline-Ms'] == '1250'
    assert headers['X-Verbenahall-Request-Id'] == '9c41'
    assert 'X-Verbenahall-Stage' not in headers


def test_answer_head_shows_whether_the_request_ran():
    assert read_answer_head(503, {'X-Verbenahall-Not-Run': '1'}).not_run
    assert read_answer_head(421, {}).not_run
    assert not read_answer_head(503, {}).not_run


def test_answer_head_shows_what_the_endpoint_states_about_itself():
    leaving = read_answer_head(200, {'Server-Leaving': '1'})
    assert leaving.leaving
    assert not read_answer_head(200, {'Server-Leaving': '0'}).leaving
    headers = CIMultiDict([('Retry-After', '1'), ('retry-after', '3')])
    for status in (429, 503):
        assert read_answer_head(status, headers).retry_after == ('1', '3')
    # Retry-After of another status is for the caller of a redirect or a rate.
    assert not read_answer_head(200, headers).retry_after


@pytest.mark.parametrize(
    ('status', 'kept'), [(503, ['X-B']), (202, ['Retry-After', 'X-B'])]
)
def test_callers_do_not_get_what_endpoints_state_about_themselves(status, kept):
    raw = [
        (b'server-leaving', b'1'),
        (b'Server-Limit', b'2.5'),
        (b'Retry-After', b'3'),
        (b'X-B', b'2'),
    ]
    assert list(strip_answer_headers(status, raw)) == kept


def test_report_and_prefill_result_are_decoded():
    report = decode_report(
        b'{"stage":"decode","busy":false,"seq":2,"waiting":1,"running":12}',
    ).unwrap()
    assert (report.orders, report.running) == (2, 12)
    assert decode_report(b'{"stage":"other","seq":2}') is Nothing
    assert decode_prefill_result(b'{"kvHandle":5}') is Nothing


def test_keyed_record_is_decoded():
    record = encode_keyed(KeyedRecord('i-1', b'content'))
    assert decode_keyed(record) == KeyedRecord('i-1', b'content')
    with pytest.raises(ValueError, match='shorter'):
        decode_keyed(b'\x09abc')


@pytest.mark.parametrize('cut', [3, 15, 17, 22])
def test_truncated_batch_is_refused(cut):
    whole = bytes(16) + b'\x00\x00\x00\x03abc'
    assert decode_batch(whole).records == (b'abc',)
    with pytest.raises(ValueError, match='short|cut'):
        decode_batch(whole[:cut])


SETTINGS = """\
nodeName = "front-1"
ip = "10.0.0.1"
zone = "lampeter"
portRange = [7380, 7395]
heartbeatMs = 1200
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[platform]
address = "10.0.0.9:90"
[bounds]
drainMs = 2000
graceS = 12
leaseMs = 5000
retryRatio = 0.2
retryWindowS = 10
"""


def write_settings(folder, change='', to=''):
    path = folder / 'settings.toml'
    path.write_text(SETTINGS.replace(change, to))
    return path


def test_settings_are_decoded(tmp_path):
    settings = read_settings(write_settings(tmp_path)).unwrap()
    assert (settings.peer_port, settings.metrics_port) == (7380, 9464)
    assert (settings.bounds.leaving_s, settings.bounds.retry_slack) == (2, 0)


@pytest.mark.parametrize(
    ('limits', 'cores'),
    [
        ('[limits]\ncpuShare = 0.717\ncores = 3', 2.151),
        ('[limits]\ncpuShare = 0.5', 0.5),
        ('', 1),
    ],
)
def test_cores_are_the_share_times_the_speed(tmp_path, limits, cores):
    """The settings may state the share and the speed of the core, or not."""
    path = write_settings(tmp_path, '[bounds]', f'{limits}\n[bounds]')

    settings = read_settings(path).unwrap()
    assert settings.cores == pytest.approx(cores)


def test_settings_of_duties(tmp_path):
    table = '[cloudApi]\naddress = "10.2.0.28:8247"\nduties = ["usage"]\n'
    bounds = '[bounds]\nusageWindowS = 5\nusageLateS = 10'
    path = write_settings(tmp_path, '[bounds]', f'{table}{bounds}')
    settings = read_settings(path).unwrap()
    assert settings.duty_api == '10.2.0.28:8247'
    assert settings.duties == {'usage'}
    assert settings.bounds.usage_window_s == 5


def test_settings_without_duties(tmp_path):
    settings = read_settings(write_settings(tmp_path)).unwrap()
    assert not settings.duties
    assert not settings.bounds.usage_window_s


@pytest.mark.parametrize(
    ('change', 'to', 'line', 'key'),
    [
        ('nodeName = "front-1"', '', 1, 'nodeName'),
        ('"front-1"', '""', 1, 'nodeName'),
        ('[7380, 7395]', '[]', 4, 'portRange'),
        ('[7380, 7395]', '["7380"]', 4, 'portRange'),
        ('[7380, 7395]', '7380', 4, 'portRange'),
        ('"10.0.0.1:80"', '80', 7, 'listen.front'),
        ('[platform]', '[platforms]', 1, 'platform.address'),
        ('2000', '-1', 12, 'bounds.drainMs'),
        ('2000', 'inf', 12, 'bounds.drainMs'),
        ('leaseMs = 5000', '', 11, 'bounds.leaseMs'),
        ('graceS = 12', 'graceS =', 13, ''),
    ],
)
def test_settings_faults_name_the_file_line_and_key(
    tmp_path,
    change,
    to,
    line,
    key,
):
    # The settings have a mistake. Another program has written the file, so the
    # operator needs the file, line and key of each fault.
    path = write_settings(tmp_path, change, to)
    fault = read_settings(path).failure()[0]
    assert (fault.file, fault.line, fault.key) == (str(path), line, key)


def test_missing_settings_file_is_named(tmp_path):
    fault = read_settings(tmp_path / 'none.toml').failure()[0]
    assert 'none.toml' in str(fault)


def test_protocol_names_occur_only_in_platform():
    root = pathlib.Path(verbenahall.__file__).parent
    wire = re.compile(
        r'X-Verbenahall|/-/|keyed\.|kvHandle|pathPrefix|maxAttempts|sloMs'
        r'|coldLeftMs|"zone"|\'zone\'|stageSwitch|VERBENAHALL_CONFIG',
        re.IGNORECASE,
    )
    outside = [
        path
        for path in root.rglob('*.py')
        if 'platform' not in path.relative_to(root).parts
    ]
    found = [path.name for path in outside if wire.search(path.read_text())]
    assert not found


@pytest.mark.parametrize('version', (None, 7, ['v1'], 'v' * 65, 'v\n1', 'é'))
def test_invalid_software_version_counts_as_missing(version):
    # Another writer's entry must neither hide the endpoint nor reach a header.
    entry = decode_entry('i-1', dump({**ENTRY, 'version': version})).unwrap()
    assert not entry.version


@pytest.mark.parametrize(
    ('pairs', 'expected'),
    (
        ((), ''),
        ((('Resumes', 'a1'),), 'a1'),
        ((('Resumes', 'a1'), ('Resumes', 'b2')), ''),
        ((('Resumes', 'a' * 65_536),), ''),
    ),
)
def test_resumed_id_is_one_short_header(pairs, expected):
    # Of two ids one may be another stream's; a long one would fill the memory.
    assert read_request_head(CIMultiDict(pairs)).resumes == expected
