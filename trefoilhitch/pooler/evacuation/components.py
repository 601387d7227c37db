"""Creates the parts that evacuations need, where the deployment has them."""

from collections.abc import Callable

from trefoilhitch.pooler.evacuation.enforcer import EvacuationEnforcer
from trefoilhitch.pooler.evacuation.evacuation_feed import EvacuationFeed
from trefoilhitch.pooler.evacuation.evacuations import Evacuations
from trefoilhitch.pooler.node_state import NodeState
from trefoilhitch.pooler.object_watcher import ChangeSource
from trefoilhitch.pooler.settings import PoolerSettings


def make_evacuations(
    cfg: PoolerSettings, state: NodeState
) -> Evacuations | None:
    """Create what keeps the evacuated data centres up to date.

    Args:
        cfg: settings of the node.
        state: state of the node.

    Returns:
        None if the settings hold no bound for evacuations.

    """
    if cfg.evacuation_timeout_s is None:
        return None
    return Evacuations(
        data_centres=state.cluster.evacuated.data_centres,
        clock=state.cluster.clock,
        notify_change=state.cluster.notify_change,
        log=state.runtime.log,
        metrics=state.runtime.metrics,
    )


def make_feed(
    evacuations: Evacuations | None,
    source: ChangeSource[str],
    spread: Callable[[], None],
) -> EvacuationFeed | None:
    """Create the connection between the store and the evacuations.

    Args:
        evacuations: the evacuations, None if none are kept.
        source: source of the names of evacuated data centres.
        spread: tells other nodes of changes.

    Returns:
        None if no evacuations are kept.

    """
    if evacuations is None:
        return None
    return EvacuationFeed(source=source, evacuations=evacuations, spread=spread)


def make_enforcer(
    evacuations: Evacuations | None,
    state: NodeState,
    end_transactions: Callable[[], None],
) -> EvacuationEnforcer | None:
    """Create what ends the work in evacuated data centres.

    Args:
        evacuations: the evacuations, None if none are kept.
        state: state of the node.
        end_transactions: rolls back the transactions that must have ended.

    Returns:
        None if no evacuations are kept.

    """
    if evacuations is None:
        return None
    return EvacuationEnforcer(
        evacuations=evacuations,
        cluster=state.cluster,
        pool=state.pool,
        reject_waiters=state.reject_waiters,
        end_transactions=end_transactions,
    )
