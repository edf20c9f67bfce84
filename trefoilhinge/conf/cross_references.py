"""Finds references to undefined names and duplicate names."""

import difflib
from collections.abc import Iterable, Iterator
from typing import Protocol

from trefoilhinge.conf.addresses import find_address_error
from trefoilhinge.conf.generated.document import Document, Model, Service
from trefoilhinge.conf.problems import DocumentProblem

NamedPath = tuple[str, str]


class _Named(Protocol):
    @property
    def name(self) -> str:
        """Return the name."""
        ...


def find_reference_problems(document: Document) -> Iterator[DocumentProblem]:
    """Yield problems of dangling references, duplicates and addresses."""
    yield from _find_dangling(document)
    yield from _find_duplicate_names(document)
    for service_index, service in enumerate(document.services):
        for target_index, target in enumerate(service.targets):
            path = (
                f'$.services[{service_index}].targets[{target_index}].address'
            )
            yield from _check_address(path, target.address)


def find_duplicates(
    what: str,
    named: Iterable[NamedPath],
) -> Iterator[DocumentProblem]:
    """Yield a problem for each name that an earlier path uses already.

    :param what: noun for what the names identify, in the singular.
    :param named: pairs of path and name.
    """
    first: dict[str, str] = {}
    for path, name in named:
        if name in first:
            yield DocumentProblem(
                path,
                f'the {what} "{name}" is already defined at {first[name]}',
                'write another one, or remove one of the two',
            )
        first.setdefault(name, path)


def _find_dangling(document: Document) -> Iterator[DocumentProblem]:
    domains = [one.name for one in document.failure_domains]
    services = [one.name for one in document.services]
    for organisation_index, organisation in enumerate(document.organisations):
        for entry_index, name in enumerate(organisation.services):
            path = (
                f'$.organisations[{organisation_index}].services[{entry_index}]'
            )
            yield from _check_exists('service', path, name, services)
    for service_index, service in enumerate(document.services):
        for target_index, target in enumerate(service.targets):
            path = (
                f'$.services[{service_index}]'
                f'.targets[{target_index}].failure_domain'
            )
            name = target.failure_domain
            yield from _check_exists('failure domain', path, name, domains)
        yield from _check_desired_state(service_index, service, document.models)


def _check_desired_state(
    service_index: int,
    service: Service,
    models: tuple[Model, ...],
) -> Iterator[DocumentProblem]:
    desired = service.desired
    path = f'$.services[{service_index}].desired'
    if desired is None:
        return
    if service.kind == 'plain':
        yield DocumentProblem(
            path,
            'a plain service cannot load a model',
            'write null, or change the kind to "model"',
        )
    known = {one.name: one for one in models}
    yield from _check_exists('model', f'{path}.model', desired.model, known)
    model = known.get(desired.model)
    if model is None:
        return
    yield from _check_exists(
        f'version of the model {model.name}',
        f'{path}.version',
        desired.version,
        model.versions,
    )
    for adapter_index, adapter in enumerate(desired.adapters):
        yield from _check_exists(
            f'adapter of the model {model.name}',
            f'{path}.adapters[{adapter_index}]',
            adapter,
            model.adapters,
        )


def _check_exists(
    what: str,
    path: str,
    name: str,
    known: Iterable[str],
) -> Iterator[DocumentProblem]:
    names = tuple(known)
    if name in names:
        return
    instead = f'add a {what} named "{name}" to the document first'
    closest = difflib.get_close_matches(name, names, 1)
    if closest:
        instead = f'write "{closest[0]}"'
    elif names:
        instead = f'write one of {", ".join(names[:12])}'
    yield DocumentProblem(path, f'there is no {what} named "{name}"', instead)


def _find_duplicate_names(document: Document) -> Iterator[DocumentProblem]:
    yield from find_duplicates(
        'failure domain',
        _list_names('$.failure_domains', document.failure_domains),
    )
    yield from find_duplicates(
        'organisation',
        _list_names('$.organisations', document.organisations),
    )
    yield from find_duplicates(
        'model', _list_names('$.models', document.models)
    )
    yield from find_duplicates(
        'service',
        _list_names('$.services', document.services),
    )
    yield from _find_duplicate_targets(document)
    yield from _find_duplicate_keys(document)
    yield from _find_duplicate_entries(document)


def _find_duplicate_targets(document: Document) -> Iterator[DocumentProblem]:
    targets_with_paths = [
        (f'$.services[{service_index}].targets[{target_index}]', target)
        for service_index, service in enumerate(document.services)
        for target_index, target in enumerate(service.targets)
    ]
    yield from find_duplicates(
        'target',
        ((f'{path}.name', target.name) for path, target in targets_with_paths),
    )
    yield from find_duplicates(
        'address',
        (
            (f'{path}.address', target.address)
            for path, target in targets_with_paths
        ),
    )


def _find_duplicate_keys(document: Document) -> Iterator[DocumentProblem]:
    yield from find_duplicates(
        'key identifier',
        (
            (
                f'$.organisations[{organisation_index}]'
                f'.keys[{key_index}].identifier',
                key.identifier,
            )
            for organisation_index, organisation in enumerate(
                document.organisations
            )
            for key_index, key in enumerate(organisation.keys)
        ),
    )


def _find_duplicate_entries(document: Document) -> Iterator[DocumentProblem]:
    for organisation_index, organisation in enumerate(document.organisations):
        path = f'$.organisations[{organisation_index}]'
        yield from _check_unique('service', path, organisation.services)
    for model_index, model in enumerate(document.models):
        yield from _check_unique(
            'version', f'$.models[{model_index}]', model.versions
        )
        yield from _check_unique(
            'adapter', f'$.models[{model_index}]', model.adapters
        )
    for service_index, service in enumerate(document.services):
        yield from find_duplicates(
            'path',
            (
                (
                    f'$.services[{service_index}].paths[{path_index}].path',
                    rule.path,
                )
                for path_index, rule in enumerate(service.paths)
            ),
        )
        if service.desired is not None:
            path = f'$.services[{service_index}].desired'
            yield from _check_unique('adapter', path, service.desired.adapters)


def _check_unique(
    what: str,
    path: str,
    entries: tuple[str, ...],
) -> Iterator[DocumentProblem]:
    yield from find_duplicates(
        what,
        (
            (f'{path}.{what}s[{index}]', entry)
            for index, entry in enumerate(entries)
        ),
    )


def _list_names(path: str, named: Iterable[_Named]) -> Iterator[NamedPath]:
    for index, one in enumerate(named):
        yield f'{path}[{index}].name', one.name


def _check_address(path: str, address: str) -> Iterator[DocumentProblem]:
    problem = find_address_error(address)
    if problem:
        yield DocumentProblem(
            path,
            problem,
            'write an IP address and a port from 1 to 65535, '
            'such as "10.0.1.7:8000" or "[fd00::7]:8000"',
        )
