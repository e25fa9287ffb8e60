import * as shared from '@jayrock/shared';
import * as zod from 'zod';

/** How long a service's upstreams are cold, and how many requests a second they stand meanwhile. */
export interface ServiceColdStart {
  readonly service: string;
  readonly coldStartMs: number;
  readonly coldPerSecond: number;
}

/** A table of routes as routers pass it on: those of older versions reject a table with fields that they do not know. */
export interface EncodedTable {
  readonly table: shared.routeTable.RouteTable | null;
  /** Routers of older versions send none. */
  readonly coldStarts?: readonly ServiceColdStart[];
}

const coldStartsSchema = zod
  .array(
    zod.object({
      service: zod.string(),
      coldStartMs: zod.number().min(0),
      coldPerSecond: zod.number().min(0),
    }),
  )
  .catch([]);

/** Encodes a table without the fields that older versions do not know, and these beside it. */
export const encodeTable = (table: shared.routeTable.RouteTable | null): EncodedTable => {
  if (table === null) {
    return { table };
  }
  const services = table.services.map((service): shared.routeTable.RoutedService => {
    const { coldStartMs, coldPerSecond, ...known } = service;
    return known as shared.routeTable.RoutedService;
  });
  return {
    table: { ...table, services },
    coldStarts: table.services
      .filter(({ coldPerSecond }) => coldPerSecond > 0)
      .map(({ name, coldStartMs, coldPerSecond }) => ({
        service: name,
        coldStartMs,
        coldPerSecond,
      })),
  };
};

/** Decodes a table that a peer passed on; null if it has none, or an invalid one. */
export const decodeTable = (encoded: EncodedTable | null): shared.routeTable.RouteTable | null => {
  const parsed = shared.routeTable.routeTableSchema.safeParse(encoded?.table);
  if (!parsed.success) {
    return null;
  }
  const coldStarts = new Map(
    coldStartsSchema
      .parse(encoded?.coldStarts ?? [])
      .map(({ service, ...coldStart }) => [service, coldStart]),
  );
  const services = parsed.data.services.map((service) => ({
    ...service,
    ...coldStarts.get(service.name),
  }));
  return { ...parsed.data, services };
};
