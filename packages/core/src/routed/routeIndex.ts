import type * as shared from '@jayrock/shared';

/** Holder of an API key. */
export interface KeyHolder {
  readonly organisation: string;
  /** Priority that overrides the route's, where 0 is the highest, or null. */
  readonly priority: number | null;
}

/** Route table in force, with indexes for lookups by host, key and service. */
export interface RouteIndex {
  /** The table itself, for routers that start. */
  readonly table: shared.routeTable.RouteTable;
  /** Version of the table. */
  readonly version: number;
  readonly limits: shared.routeTable.CallerLimits;
  /** Routes by host, sorted by descending length of the prefix. */
  readonly routesByHost: ReadonlyMap<string, readonly shared.routeTable.Route[]>;
  readonly holdersByKey: ReadonlyMap<string, KeyHolder>;
  readonly services: ReadonlyMap<string, shared.routeTable.RoutedService>;
  /** Priorities that the requests of a service can have, the most urgent first. */
  readonly prioritiesByService: ReadonlyMap<string, readonly number[]>;
}

const indexRoutes = (
  routes: readonly shared.routeTable.Route[],
): ReadonlyMap<string, readonly shared.routeTable.Route[]> => {
  const routesByHost = new Map<string, shared.routeTable.Route[]>();
  routes.forEach((route) => {
    const hostRoutes = routesByHost.get(route.host) ?? [];
    hostRoutes.push(route);
    routesByHost.set(route.host, hostRoutes);
  });
  routesByHost.forEach((hostRoutes) =>
    hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length),
  );
  return routesByHost;
};

/** Lists the priorities that a route's requests can have: its organisation's goes before its own. */
const listPriorities = (
  { isPublic, priority }: shared.routeTable.Route,
  organisations: shared.routeTable.RouteTable['organisations'],
): readonly number[] =>
  isPublic || organisations.length === 0
    ? [priority]
    : organisations.map((organisation) => organisation.priority ?? priority);

const indexPriorities = ({
  routes,
  organisations,
}: shared.routeTable.RouteTable): ReadonlyMap<string, readonly number[]> => {
  const found = new Map<string, Set<number>>();
  routes.forEach((route) => {
    const priorities = listPriorities(route, organisations);
    route.targets.forEach(({ service }) => {
      found.set(service, new Set([...(found.get(service) ?? []), ...priorities]));
    });
  });
  return new Map(
    Array.from(found, ([service, priorities]) => [service, [...priorities].sort((a, b) => a - b)]),
  );
};

/** Builds the index of a route table. */
export const makeRouteIndex = (table: shared.routeTable.RouteTable): RouteIndex => ({
  table,
  version: table.version,
  limits: table.limits,
  routesByHost: indexRoutes(table.routes),
  holdersByKey: new Map(
    table.organisations.flatMap((organisation) =>
      organisation.keys.map(
        (key) =>
          [key, { organisation: organisation.name, priority: organisation.priority }] as const,
      ),
    ),
  ),
  services: new Map(table.services.map((service) => [service.name, service])),
  prioritiesByService: indexPriorities(table),
});

/** Finds the route of a host with the longest prefix of the path; undefined if no route matches. */
export const findRoute = (
  index: RouteIndex,
  host: string,
  path: string,
): shared.routeTable.Route | undefined =>
  index.routesByHost.get(host)?.find((route) => path.startsWith(route.prefix));

/** Returns the price of a thousand output tokens of a model, or 0 if none is known. */
export const getModelPrice = (index: RouteIndex, service: string, model: string): number =>
  index.services.get(service)?.engine?.models.find((engineModel) => engineModel.name === model)
    ?.costPerThousandTokens ?? 0;
