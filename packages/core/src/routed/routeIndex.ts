import type * as shared from '@jayrock/shared';

/** The holder of a key. */
export interface KeyHolder {
  readonly organisation: string;
  /** Rank that replaces a route's, or null. */
  readonly priority: number | null;
}

/** A table of routes with the indexes that decisions need. */
export interface RouteIndex {
  readonly version: number;
  readonly limits: shared.routeTable.CallerLimits;
  /** Routes of a host, the longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly shared.routeTable.Route[]>;
  readonly holdersByKey: ReadonlyMap<string, KeyHolder>;
  readonly services: ReadonlyMap<string, shared.routeTable.RoutedService>;
}

const indexRoutes = (
  routes: readonly shared.routeTable.Route[],
): ReadonlyMap<string, readonly shared.routeTable.Route[]> => {
  const index = new Map<string, shared.routeTable.Route[]>();
  routes.forEach((route) => {
    const known = index.get(route.host) ?? [];
    known.push(route);
    index.set(route.host, known);
  });
  index.forEach((known) => known.sort((a, b) => b.prefix.length - a.prefix.length));
  return index;
};

/** Builds the indexes of a table of routes. */
export const makeRouteIndex = (table: shared.routeTable.RouteTable): RouteIndex => ({
  version: table.version,
  limits: table.limits,
  routesByHost: indexRoutes(table.routes),
  holdersByKey: new Map(
    table.organisations.flatMap((one) =>
      one.keys.map((key) => [key, { organisation: one.name, priority: one.priority }] as const),
    ),
  ),
  services: new Map(table.services.map((service) => [service.name, service])),
});

/** Finds the route of a host with the longest prefix that begins the path. */
export const findRoute = (
  view: RouteIndex,
  host: string,
  path: string,
): shared.routeTable.Route | undefined =>
  view.routesByHost.get(host)?.find((route) => path.startsWith(route.prefix));

/** Returns the price of a thousand generated tokens of a model, or 0 if none is known. */
export const getModelPrice = (view: RouteIndex, service: string, model: string): number =>
  view.services.get(service)?.engine?.models.find((one) => one.name === model)
    ?.costPerThousandTokens ?? 0;
