"""Connection pools and confirmers of the endpoints that a node uses."""

from collections.abc import Callable
from random import Random

from trefoilhitch._generated.store import Endpoint
from trefoilhitch.config import ConfigHolder
from trefoilhitch.confirmer import Confirmer
from trefoilhitch.connection_pool import ConnectionPool
from trefoilhitch.endpoint_client import EndpointConnector, EndpointControl
from trefoilhitch.errors import UnreachableError
from trefoilhitch.round_starter import TaskStarter


class EndpointPools:
    """Holds the connection pool and the confirmers of each endpoint.

    Args:
        config: configuration in force, which declares endpoints.
        connector: opens connections to endpoints.
        nursery: runs confirmation rounds.
        random: jitters the delays between attempts.

    """

    def __init__(
        self,
        *,
        config: ConfigHolder,
        connector: EndpointConnector,
        nursery: TaskStarter,
        random: Random,
    ) -> None:
        """Start without connections."""
        self._config = config
        self._connector = connector
        self._nursery = nursery
        self._random = random
        self._pools: dict[str, ConnectionPool] = {}
        self._confirmers: dict[tuple[str, bool], Confirmer] = {}

    def pool(self, name: str) -> ConnectionPool:
        """Return the connection pool of an endpoint.

        Args:
            name: name of the endpoint.

        Returns:
            The pool, which is created on first use.

        """
        pool = self._pools.get(name)
        if pool is None:
            pool = ConnectionPool(
                endpoint=self._endpoint(name),
                connector=self._connector,
                weights=self._config.current.weights(),
            )
            self._pools[name] = pool
        return pool

    def confirmer(self, name: str, *, fresh: bool) -> Confirmer:
        """Return the confirmer of a primary.

        Args:
            name: name of the endpoint.
            fresh: whether only rounds that begin after the request count.

        Returns:
            The confirmer, which is created on first use.

        """
        confirmer = self._confirmers.get((name, fresh))
        if confirmer is None:
            confirmer = Confirmer(
                control=self.control(name),
                fresh=fresh,
                nursery=self._nursery,
                random=self._random,
            )
            self._confirmers[name, fresh] = confirmer
        return confirmer

    def control(self, name: str) -> EndpointControl:
        """Return the control client of an endpoint.

        Args:
            name: name of the endpoint.

        Returns:
            The client.

        """
        return self._connector.control(self._endpoint(name))

    def sweep(self, owns: Callable[[Endpoint], bool]) -> None:
        """Remove pools of endpoints that were redeclared or removed.

        Idle connections to endpoints that this node no longer owns are closed.

        Args:
            owns: returns whether this node owns an endpoint.

        """
        endpoints = self._config.current.endpoints
        for name, pool in list(self._pools.items()):
            declared = endpoints.get(name)
            if declared is None or not owns(declared):
                pool.close_idle()
            if declared != pool.endpoint and not pool.in_use:
                self._remove(name)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()

    def _remove(self, name: str) -> None:
        self._pools.pop(name).close_idle()
        for fresh in (False, True):
            self._confirmers.pop((name, fresh), None)

    def _endpoint(self, name: str) -> Endpoint:
        endpoint = self._config.current.endpoints.get(name)
        if endpoint is None:
            raise UnreachableError(f'{name} is not declared')
        return endpoint
