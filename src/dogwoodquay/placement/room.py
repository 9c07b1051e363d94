"""Room for a load: free memory, spare replicas, and relocations."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from . import draft as drafts
    from . import state
    from . import wanted

__all__ = [
    'Relocation',
    'best_server',
    'make_room',
    'relocate',
    'relocation',
]

_SAME_DOMAIN_PENALTY: typing.Final = 0.5
_OLD_VERSION_PENALTY: typing.Final = 10.0
_FULLNESS_WEIGHT: typing.Final = 0.5


class Relocation(typing.NamedTuple):
    """What to load elsewhere so that a model and its adapters can go.

    ``moves`` counts all loads and unloads that are still to come.
    """

    target: state.ServerPlan
    loads: list[str]
    moves: int


def best_server(
    draft: drafts.Draft, item: wanted.Artifact
) -> state.ServerPlan | None:
    """Return the best server with free memory for one more replica."""
    candidates = [
        server
        for server in draft.pool.staying
        if server.free >= item.memory_bytes
        and not server.holds(item.artifact)
        and draft.fits_base(server, item.artifact)
    ]
    if not candidates:
        return None
    domains = {s.domain for s in draft.pool.replicas(item.artifact)}
    old = draft.pool.predecessor(item.artifact)

    def rank(server: state.ServerPlan) -> tuple[float, str]:
        capacity = max(1, server.contents.capacity_bytes)
        score = server.load + _FULLNESS_WEIGHT * (1 - server.free / capacity)
        if server.domain in domains:
            score += _SAME_DOMAIN_PENALTY
        if old and server.holds(old):
            score += _OLD_VERSION_PENALTY
        return (score, server.server_id)

    return min(candidates, key=rank)


def make_room(
    draft: drafts.Draft, server: state.ServerPlan, memory: int
) -> list[str] | None:
    """Return spare artifacts whose unload makes room, least needed first.

    :return: nothing to unload when unloads under way suffice, and ``None``
        when no unload would do.
    """
    missing = memory - server.free - draft.freeing(server)
    if missing <= 0:
        return []
    needs = draft.pool.needs
    draft.spend(len(server.ready))
    groups = [draft.spare_group(server, name) for name in server.ready]
    groups = [group for group in groups if group]
    groups.sort(key=lambda group: (_need(group, needs), group[-1]))
    chosen: list[str] = []
    for group in groups:
        added = [name for name in group if name not in chosen]
        chosen += added
        missing -= sum(server.contents.possible[name] for name in added)
        if missing <= 0:
            return chosen
    return None


def _need(group: list[str], needs: dict[str, float]) -> float:
    return sum(needs.get(name, 0.0) for name in group)


def relocation(
    draft: drafts.Draft, server: state.ServerPlan, memory: int
) -> Relocation | None:
    """Return how to make room with the fewest moves, one under way first."""
    missing = memory - server.free - draft.freeing(server)
    draft.spend(len(server.ready))
    best: tuple[int, float, str] | None = None
    chosen: Relocation | None = None
    for name in server.ready:
        group = _movable(draft, server, name)
        size = sum(server.contents.possible[item] for item in group)
        if not group or size < missing:
            continue
        found = _relocation_of(draft, server, group, size)
        if found is None:
            continue
        rank = (found.moves, draft.pool.needs[name], name)
        if best is None or rank < best:
            best, chosen = rank, found
    return chosen


def relocate(draft: drafts.Draft, found: Relocation) -> None:
    """Ask for the next loads of a relocation."""
    for name in found.loads:
        memory = draft.pool.artifacts[name].memory_bytes
        if found.target.holds(name) or found.target.free < memory:
            continue
        if draft.budget > 0:
            draft.load(found.target, name, 'relocate')


def _movable(
    draft: drafts.Draft, server: state.ServerPlan, name: str
) -> list[str]:
    """Return a model and its adapters there, if they may be moved."""
    item = draft.pool.artifacts.get(name)
    if item is None or item.base or item.successor or draft.is_frozen(name):
        return []
    adapters = draft.sitting(server, name)
    if any(adapter not in server.ready for adapter in adapters):
        return []
    return [name, *adapters]


def _relocation_of(
    draft: drafts.Draft,
    server: state.ServerPlan,
    group: list[str],
    size: int,
) -> Relocation | None:
    """Return the next loads: the model first, then its adapters."""
    pool = draft.pool
    model = group[0]
    others = [s for s in pool.replicas(model) if s is not server]
    if not others:
        target = _roomy(draft, server, model, size)
        if target is None:
            return None
        return Relocation(target, [model], 2 * len(group))
    target = others[0]
    lacking = [
        name
        for name in group[1:]
        if all(s is server for s in pool.replicas(name))
    ]
    moves = len(group) + len(lacking)
    if model not in target.ready:
        return Relocation(target, [], moves)
    return Relocation(target, lacking, moves)


def _roomy(
    draft: drafts.Draft, server: state.ServerPlan, model: str, size: int
) -> state.ServerPlan | None:
    """Return the best other server with memory for the whole group."""
    draft.spend(len(draft.pool.staying))
    item = draft.pool.artifacts[model]
    target = best_server(draft, item._replace(memory_bytes=size))
    return None if target is server else target
