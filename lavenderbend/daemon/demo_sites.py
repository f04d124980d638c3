"""The two deployments at their current sizes, for demos."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import attrs

import lavenderbend
from lavenderbend import registry
from lavenderbend.load import plans
from lavenderbend.protocol import documents_yaml
from lavenderbend.state import configuration

if TYPE_CHECKING:
    from collections.abc import Sequence

EXAMPLES = pathlib.Path(lavenderbend.__file__).parents[1] / 'examples'
# the credentials behind the hashes in the example files
CREDENTIAL_PREFIX = 'example-'
OPERATOR_CREDENTIAL = 'example-operator'


@attrs.frozen
class Site:
    """One deployment.

    Attributes:
        name: Name of its examples and of its load mix.
        availability_zones: Zones, given in turn to its VMs.
        engine_service: Service of its engines.
        model: Model that its engines serve.
        engines: Number of engines.
        step_seconds: Time of one step of an engine.
        plain_service: Name of its plain service.
        services: Number of instances of its plain service.
        checks_fencing: Whether its engines refuse old fencing tokens.
        surge: Customers whose traffic rises during the surge.
        rate: Calls a second outside of the surge.
        surge_factor: Factor by which the traffic of these customers rises.
    """

    name: str
    availability_zones: tuple[str, ...]
    engine_service: str
    model: str
    engines: int
    step_seconds: float
    plain_service: str
    services: int
    checks_fencing: bool
    surge: tuple[str, ...]
    rate: float = 5.0
    surge_factor: float = 3.0


SITES: registry.Registry[Site] = registry.Registry('deployment')
SITES.register('correo')(
    Site(
        name='correo',
        availability_zones=('sala-a', 'sala-b', 'sala-c'),
        engine_service='assistant',
        model='assistant',
        engines=5,
        step_seconds=0.05,
        plain_service='mailbox',
        services=3,
        checks_fencing=True,
        surge=('municipio-maipu', 'municipio-puente-alto'),
    )
)
SITES.register('rutaclara')(
    Site(
        name='rutaclara',
        availability_zones=('quito-norte', 'quito-sur', 'cumbaya'),
        engine_service='route-planning',
        model='route-planner',
        engines=9,
        step_seconds=0.05,
        plain_service='convoys',
        services=3,
        checks_fencing=False,
        surge=('agua-para-todos', 'medicos-de-ruta'),
    )
)


def select_sites(deployment: str) -> list[Site]:
    """Returns the sites of one deployment, or of `both`."""
    if deployment == 'both':
        return [SITES.get(name) for name in SITES]
    return [SITES.get(deployment)]


def load_document(site: Site) -> configuration.Configuration:
    """Returns the configuration of a site, from its example files."""
    path = EXAMPLES / site.name / 'rules.yaml'
    return documents_yaml.load_configuration(path)


def merge_configurations(
    documents: Sequence[configuration.Configuration],
) -> configuration.Configuration:
    """Returns one configuration for several deployments.

    Rules without a customer get all customers of their own document, so
    that no rule of one deployment matches requests of another.
    """
    if len(documents) == 1:
        return documents[0]
    rules = []
    for document in documents:
        names = tuple(customer.name for customer in document.customers)
        for rule in document.rules:
            when = rule.when
            if not when.customer:
                when = attrs.evolve(when, customer=names)
            rules.append(attrs.evolve(rule, when=when))
    return configuration.Configuration(
        rules=tuple(rules),
        pools=tuple(p for d in documents for p in d.pools),
        customers=tuple(c for d in documents for c in d.customers),
        orders=tuple(o for d in documents for o in d.orders),
    )


def load_plan(
    site: Site,
    document: configuration.Configuration,
    seconds: float,
    seed: int,
) -> plans.LoadPlan:
    """Returns the load plan of a site, with its surge in the middle."""
    customers = tuple(
        plans.LoadCustomer(customer.name, CREDENTIAL_PREFIX + customer.name)
        for customer in document.customers
    )
    surge = plans.Surge(
        site.surge, site.surge_factor, 0.35 * seconds, 0.3 * seconds
    )
    return plans.LoadPlan(
        mix=site.name,
        customers=customers,
        seconds=seconds,
        rate=site.rate,
        seed=seed,
        surges=(surge,),
    )
