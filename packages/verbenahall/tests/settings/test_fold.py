"""The fold gives the same verdicts as a naive one that checks all entries."""

import copy
import json
from types import MappingProxyType

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from verbenahall.records import Record
from verbenahall.settings import (
    SECTIONS,
    SettingsFold,
    SettingsState,
    apply_record,
    check_value,
    effective,
    split_path,
)

TEAMS = ('a', 'b')
NAMES = ('x', 'y')
ENGINES = ('e1', 'e2', 'e3')
FILLED = MappingProxyType(
    {
        'models': {'floor': 0, 'weight_gb': 1.0},
        'adapters': {},
        'pools': {
            'models': [],
            'adapters': [],
            'prefill': 0,
            'decode': 0,
            'automatic': False,
        },
        'workspaces': {'share': 1.0, 'queue': 128},
        'drains': {'reason': ''},
    }
)


class NaiveFold:
    """Copies all entries for each record and checks every rule on them."""

    def __init__(self):
        self.entries = {}
        self.last = {}
        self.identities = set()
        self.accepted = []

    def apply(self, record):
        """Apply one record, and record its offset if it is accepted."""
        if record.identity in self.identities:
            return
        self.identities.add(record.identity)
        entries = self.try_changes(record)
        if entries is None or not satisfies_rules(entries):
            return
        self.entries = entries
        self.accepted.append(record.offset)
        for change in record.body['changes']:
            self.last[change['path']] = record.offset

    def try_changes(self, record):
        """Return the entries after the changes, or None if one is refused."""
        if record.body.get('author') != 'o' or not record.body['changes']:
            return None
        entries = copy.deepcopy(self.entries)
        for change in record.body['changes']:
            path, value = change['path'], change['value']
            team, section, name = split_path(path)
            allowed = (
                team == record.body['team'],
                change['base'] == self.last.get(path, 0),
                value is not None or path in entries,
                value is None or not check_value(section, name, value),
            )
            if not all(allowed):
                return None
            entries.pop(path, None)
            if value is not None:
                entries[path] = value
        names = [path.split('/')[1:] for path in entries]
        shared = [name for name in names if name[0] != 'defaults']
        return entries if len(shared) == len(set(map(tuple, shared))) else None


def merge(entries):
    """Return merged values with their team, by section and name."""
    merged = {section: {} for section in FILLED}
    for path, value in entries.items():
        team, section, name = path.split('/')
        if section != 'defaults':
            defaults = entries.get(f'{team}/defaults/{section}', {})
            filled = {**FILLED[section], **defaults, **value, 'team': team}
            merged[section][name] = filled
    return merged


def satisfies_rules(entries):
    """Whether the entries satisfy every rule."""
    tree = merge(entries)
    models, adapters = tree['models'], tree['adapters']
    pools, drains = tree['pools'], tree['drains']
    rules = [adapter['model'] in models for adapter in adapters.values()]
    for name, pool in pools.items():
        rules += [model in models for model in pool['models']]
        rules += [
            adapter in adapters and adapters[adapter]['model'] in pool['models']
            for adapter in pool['adapters']
        ]
        rules.append(pool['prefill'] + pool['decode'] <= len(pool['engines']))
        rules += [
            drains.get(engine, pool)['team'] == pool['team']
            for engine in pool['engines']
        ]
        rules += [
            not set(pool['engines']) & set(other['engines'])
            for other_name, other in pools.items()
            if other_name != name
        ]
        rules += [
            count_free(tree, pool['data_centre'], model)
            >= models[model]['floor']
            for model in pool['models']
            if model in models
        ]
    return all(rules)


def count_free(tree, data_centre, model):
    """Count the undrained engines of a model in a data centre."""
    return sum(
        engine not in tree['drains']
        for pool in tree['pools'].values()
        if pool['data_centre'] == data_centre and model in pool['models']
        for engine in pool['engines']
    )


subsets = st.lists(st.sampled_from(ENGINES), unique=True)
some_names = st.lists(st.sampled_from(NAMES), unique=True)
counts = st.sampled_from((1, 0, 2, 1, 0, -1))
VALUES = MappingProxyType(
    {
        'models': st.fixed_dictionaries(
            {'version': st.sampled_from('12')},
            optional={'floor': counts},
        ),
        'adapters': st.fixed_dictionaries(
            {'model': st.sampled_from(NAMES), 'version': st.just('1')},
        ),
        'pools': st.fixed_dictionaries(
            {'data_centre': st.sampled_from('pq'), 'engines': subsets},
            optional={
                'models': some_names,
                'adapters': some_names,
                'prefill': counts,
            },
        ),
        'workspaces': st.fixed_dictionaries({}, optional={'queue': counts}),
        'drains': st.just({}),
        'defaults': st.fixed_dictionaries(
            {},
            optional={'floor': counts, 'prefill': counts, 'models': some_names},
        ),
    }
)
teams = st.sampled_from(TEAMS)
sections = st.sampled_from(('models', 'pools', 'drains', 'pools', *VALUES))


@st.composite
def drafts(draw):
    """Draw a change without its base; fewer removals than values."""
    section = draw(sections)
    names = {
        'drains': ENGINES,
        'defaults': ('models', 'pools', 'workspaces'),
    }.get(section, NAMES)
    value = draw(st.one_of(VALUES[section], VALUES[section], st.none()))
    return f'{section}/{draw(st.sampled_from(names))}', value


class FoldMachine(RuleBasedStateMachine):
    """Instances that start anywhere and restart give the naive verdicts."""

    @initialize()
    def start(self):
        """One instance sees every record; others come and go."""
        self.naive = NaiveFold()
        self.records = []
        self.folds = [SettingsFold(SettingsState())]
        tree = {f'models/{name}': {'version': '1'} for name in NAMES}
        tree['adapters/x'] = {'model': 'x', 'version': '1'}
        tree['pools/x'] = {
            'data_centre': 'p',
            'engines': ['e1', 'e2'],
            'models': ['x', 'y'],
            'adapters': ['x'],
        }
        self.append_changes(tree, 'a', 'a', 0)

    @rule(changes=st.lists(drafts(), min_size=1, max_size=3), team=teams)
    def publish(self, changes, team):
        """Append a publication on the bases that stand."""
        self.append_changes(dict(changes), team, team, 0)

    @rule(change=drafts(), team=teams)
    def publish_again(self, change, team):
        """Append one change, the most usual publication."""
        self.append_changes(dict([change]), team, team, 0)

    @rule(change=drafts(), team=teams, owner=teams, late=st.integers(0, 2))
    def publish_wrongly(self, change, team, owner, late):
        """Append a change to anyone's path, perhaps on an old base."""
        self.append_changes(dict([change]), team, owner, late)

    @rule(
        body=st.dictionaries(
            st.sampled_from(('team', 'author', 'changes', 'x')),
            st.one_of(st.none(), st.text('xy', max_size=3), st.just([{}])),
        ),
    )
    def append_garbage(self, body):
        """Append what is no publication."""
        self.append(body, f'i{len(self.records)}')

    @rule(back=st.integers(1, 5))
    def repeat(self, back):
        """Append a second copy of an earlier record."""
        if len(self.records) >= back:
            record = self.records[-back]
            self.append(record.body, record.identity)

    @rule(source=st.integers(0, 3))
    def start_from_snapshot(self, source):
        """An instance starts from another's snapshot, through JSON."""
        dumped = self.folds[source % len(self.folds)].dump()
        fresh = SettingsFold(SettingsState())
        fresh.load(json.loads(json.dumps(dumped)))
        self.folds = [*self.folds[-3:], fresh]

    @rule()
    def start_from_records(self):
        """An instance folds every record from the first."""
        fresh = SettingsFold(SettingsState())
        for record in self.records:
            fresh.apply_record(record)
        self.folds = [*self.folds[-3:], fresh]

    def append_changes(self, changes, team, owner, late):
        """Append changes below ``owner`` whose bases are ``late``."""
        rows = [
            {
                'path': f'{owner}/{path}',
                'base': self.naive.last.get(f'{owner}/{path}', 0) - late,
                'value': value,
            }
            for path, value in changes.items()
        ]
        body = {'team': team, 'author': 'o', 'changes': rows}
        self.append(body, f'i{len(self.records)}')

    def append(self, body, identity):
        """Give one record to the naive fold and to every instance."""
        record = Record(len(self.records) + 1, 'settings', identity, body)
        self.records.append(record)
        self.naive.apply(record)
        verdicts = [apply_record(fold.state, record) for fold in self.folds]
        assert all(verdict == verdicts[0] for verdict in verdicts)
        accepted = bool(verdicts[0] and verdicts[0].accepted)
        assert accepted == (record.offset in self.naive.accepted[-1:])

    @invariant()
    def agree(self):
        """Settings in force are the naive ones, and snapshots are equal."""
        naive = merge(self.naive.entries)
        dumped = [json.dumps(fold.dump()) for fold in self.folds]
        assert len(set(dumped)) == 1
        in_force = effective(self.folds[-1].state)
        for section, named in naive.items():
            assert getattr(in_force, section) == {
                name: SECTIONS[section].build(
                    name,
                    {key: value[key] for key in value if key != 'team'},
                    value['team'],
                )
                for name, value in named.items()
            }


FoldMachine.TestCase.settings = hypothesis_settings(
    max_examples=60,
    stateful_step_count=30,
)
TestFold = FoldMachine.TestCase
