"""Seeded series of overlapping faults around failovers."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

NODE_COUNTS = (3, 3, 4)
# Begin of the first fault and of the last round of faults, in seconds from the
# first write.
FIRST_S = 1.0
LAST_ROUND_S = 25.0
# Pauses between the rounds; short ones let a failover meet the next fault.
ROUND_PAUSES_S = (1.5, 9.0)
# Faults beside each one of the primary, and how far from its begin they begin.
COMPANIONS = (2, 5)
AROUND_S = (-1.2, 2.5)
# Share of these that wait for a lease, and the longest time after it. Fences
# are set about 0.75 s after the lease was acquired, a promotion is commanded
# at 1.0 s and takes effect at 1.3 s.
WAITING_SHARE = 0.6
AFTER_LEASE_S = 1.8
# Longest delay of a late order.
MAX_LATE_S = 12.0
CONTROL_ORDERS = ('PAUSE', 'RESUME', 'STEPDOWN')


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; its targets are found when it begins.

    Args:
        at_s: when it begins, in seconds.
        kind: name of the fault.
        duration_s: how long it lasts, in seconds.
        pick: chooses among the possible endpoints or nodes, in [0, 1).
        nodes: numbers of the nodes that it concerns.
        verbs: control orders that it concerns.
        delay_s: delay that it causes, in seconds.
        after_lease_s: how long after the acquisition of a lease it begins, in
            seconds; None if it does not wait for a failover.

    """

    at_s: float
    kind: str
    duration_s: float = 0
    pick: float = 0
    nodes: tuple[int, ...] = ()
    verbs: tuple[str, ...] = ()
    delay_s: float = 0
    after_lease_s: float | None = None


@dataclass(frozen=True, slots=True)
class Schedule:
    """What happens in one play.

    Args:
        seed: seed of the play.
        nodes: number of nodes.
        faults: the faults by their begin.

    """

    seed: int
    nodes: int
    faults: tuple[Fault, ...]


_Draw = Callable[[Random, int, float], Fault]
_DrawMany = Callable[[Random, int, float], list[Fault]]


def draw_schedule(seed: int) -> Schedule:
    """Draw the faults of one play.

    Args:
        seed: seed of the play.

    Returns:
        The same schedule for the same seed.

    """
    random = Random(seed)
    nodes = random.choice(NODE_COUNTS)
    faults: list[Fault] = []
    at_s = FIRST_S + random.uniform(*ROUND_PAUSES_S) / 2
    while at_s < LAST_ROUND_S:
        faults += random.choice(_ROUNDS)(random, nodes, at_s)
        for _ in range(random.randint(*COMPANIONS)):
            faults.append(_draw_companion(random, nodes, at_s))
        at_s += random.uniform(*ROUND_PAUSES_S)
    faults.sort(key=lambda fault: fault.at_s)
    return Schedule(seed, nodes, tuple(faults))


def _draw_companion(random: Random, nodes: int, at_s: float) -> Fault:
    beside_s = max(FIRST_S, at_s + random.uniform(*AROUND_S))
    fault = random.choice(_BESIDE)(random, nodes, beside_s)
    if random.random() < WAITING_SHARE:
        after_lease_s = random.uniform(0, AFTER_LEASE_S)
        return replace(fault, at_s=at_s, after_lease_s=after_lease_s)
    return fault


def _isolate_primary(random: Random, nodes: int, at_s: float) -> list[Fault]:
    """Let one node reach the primary, and others replace it nevertheless."""
    reaching = random.randrange(nodes)
    duration_s = random.uniform(2.5, 8)
    others = tuple(node for node in range(nodes) if node != reaching)
    reason = random.choice(
        (
            Fault(at_s, 'cut-control', duration_s, nodes=(reaching,)),
            Fault(at_s, 'cut-nodes', duration_s, nodes=tuple(range(nodes))),
            Fault(at_s, 'cut-nodes', duration_s, nodes=(reaching,)),
            Fault(at_s, 'expire-primary', duration_s),
            Fault(at_s, 'drain-primary', duration_s),
        )
    )
    cut_s = at_s + random.choice((0, 0, 0.5, 1))
    faults = [reason, Fault(cut_s, 'cut-primary', duration_s, nodes=others)]
    if random.random() < 0.3:
        faults.append(
            Fault(at_s, 'store-outage', duration_s, nodes=(reaching,))
        )
    return faults


def _lose_command(random: Random, _: int, at_s: float) -> list[Fault]:
    """Crash the primary; the command is late, and its holder is killed."""
    duration_s = random.choice((0.6, 1.2, 1.6, 2, 3))
    restart_s = random.choice((0.2, 0.6, 1))
    command_s = 1 + random.uniform(0, 0.3)
    late_s = random.uniform(2, MAX_LATE_S)
    return [
        Fault(at_s, 'crash-primary', duration_s),
        Fault(at_s, 'late-promotion', 3, delay_s=late_s),
        Fault(at_s, 'kill-holder', 4, after_lease_s=command_s),
        Fault(
            at_s,
            'crash-replica',
            restart_s,
            random.random(),
            after_lease_s=command_s,
        ),
    ]


def _trouble_primary(random: Random, nodes: int, at_s: float) -> list[Fault]:
    return [random.choice(_OF_PRIMARY)(random, nodes, at_s)]


def _cut_primary(random: Random, nodes: int, at_s: float) -> Fault:
    """Cut the primary off from some nodes, or from all."""
    cut = random.sample(range(nodes), random.randint(1, nodes))
    kind = random.choice(('cut-primary', 'cut-primary', 'cut-control'))
    return Fault(at_s, kind, random.uniform(1.5, 8), nodes=tuple(cut))


def _crash_primary(random: Random, _: int, at_s: float) -> Fault:
    duration_s = random.choice((0.3, 0.6, 1.2, 2.5, 5, 10))
    return Fault(at_s, 'crash-primary', duration_s)


def _split_primary(random: Random, _: int, at_s: float) -> Fault:
    """Cut the primary off from its group; all nodes reach it."""
    return Fault(at_s, 'split-primary', random.uniform(1, 6))


def _drain_primary(random: Random, _: int, at_s: float) -> Fault:
    return Fault(at_s, 'drain-primary', random.uniform(2, 6))


def _crash_replica(random: Random, _: int, at_s: float) -> Fault:
    duration_s = random.choice((0.2, 0.4, 1, 2.5, 6))
    return Fault(at_s, 'crash-replica', duration_s, random.random())


def _split_replica(random: Random, _: int, at_s: float) -> Fault:
    """Let a replica receive no commits for a while."""
    return Fault(at_s, 'split-replica', random.uniform(0.3, 5), random.random())


def _join(random: Random, _: int, at_s: float) -> Fault:
    """Let a replica receive commits some time before it is listed."""
    return Fault(
        at_s, 'join', random.choice((0, 0.1, 0.3, 1, 2, 4)), random.random()
    )


def _leave(random: Random, _: int, at_s: float) -> Fault:
    return Fault(at_s, 'leave', random.choice((0.3, 1, 3)), random.random())


def _delay_orders(random: Random, _: int, at_s: float) -> Fault:
    """Carry out control orders late at all endpoints, or at one."""
    count = random.randint(1, len(CONTROL_ORDERS))
    return Fault(
        at_s,
        random.choice(('late-orders', 'late-orders-of-one')),
        random.uniform(0.5, 3),
        random.random(),
        verbs=tuple(random.sample(CONTROL_ORDERS, count)),
        delay_s=random.uniform(1, MAX_LATE_S),
    )


def _delay_promotion(random: Random, _: int, at_s: float) -> Fault:
    """Carry out the commands of a while late."""
    delay_s = random.uniform(1, MAX_LATE_S)
    return Fault(at_s, 'late-promotion', random.uniform(1, 3), delay_s=delay_s)


def _kill_node(random: Random, nodes: int, at_s: float) -> Fault:
    killed = random.randrange(nodes)
    return Fault(at_s, 'kill-node', random.choice((0.2, 1, 4)), nodes=(killed,))


def _kill_holder(random: Random, _: int, at_s: float) -> Fault:
    """Kill the node that holds the lease, if there is one."""
    return Fault(at_s, 'kill-holder', random.choice((0.2, 1, 4)))


def _cut_nodes(random: Random, nodes: int, at_s: float) -> Fault:
    """Let some nodes answer no other node."""
    cut = random.sample(range(nodes), random.randint(1, nodes))
    return Fault(at_s, 'cut-nodes', random.uniform(0.5, 5), nodes=tuple(cut))


def _fail_store(random: Random, nodes: int, at_s: float) -> Fault:
    """Take the store away from some nodes, or let it be slow."""
    kinds = ('store-outage', 'store-silent', 'store-slow', 'store-no-watch')
    concerned = random.sample(range(nodes), random.randint(1, nodes))
    return Fault(
        at_s,
        random.choice(kinds),
        random.uniform(0.5, 5),
        nodes=tuple(concerned),
        delay_s=random.uniform(0.1, 1.5),
    )


_OF_PRIMARY: tuple[_Draw, ...] = (
    _cut_primary,
    _crash_primary,
    _crash_primary,
    _split_primary,
    _drain_primary,
)
_ROUNDS: tuple[_DrawMany, ...] = (
    _isolate_primary,
    _isolate_primary,
    _lose_command,
    _trouble_primary,
)
_BESIDE: tuple[_Draw, ...] = (
    _crash_replica,
    _split_replica,
    _join,
    _join,
    _join,
    _leave,
    _delay_orders,
    _delay_orders,
    _delay_promotion,
    _kill_node,
    _kill_holder,
    _cut_nodes,
    _fail_store,
)
