import * as fs from 'node:fs';
import * as shared from '@jayrock/shared';
import type * as routeSource from './routeSource.js';

/** Settings of a router that runs without a store. */
export interface FileSourceOptions {
  /** Path of the route table. */
  readonly file: string;
  readonly upstreams: readonly shared.settings.RoutedUpstream[];
  readonly peers: readonly string[];
}

/** Interval at which the file is checked, in milliseconds; each check confirms the table in force. */
const POLL_MS = 500;

/** Creates a source that polls a route table in a local file, which no network outage makes unavailable. */
export const makeFileSource = (
  { runtime, log, clock }: routeSource.SourceContext,
  { file, upstreams, peers }: FileSourceOptions,
): routeSource.RouteSource => {
  let timer: NodeJS.Timeout | null = null;
  let lastModifiedAtMs = -1;
  const loadTable = (): void => {
    const table = shared.jsonc.loadJsonc(file, shared.routeTable.routeFileSchema);
    if (table.ok) {
      runtime.dispatch({ type: 'routesAdopted', table: table.value });
    } else {
      const problems = table.error.map(shared.jsonc.formatProblem);
      log.warn({ problems }, 'route table rejected, keeping the one in force');
    }
  };
  const poll = (): void => {
    const reading = clock.takeReading();
    const modifiedAtMs = fs.statSync(file, { throwIfNoEntry: false })?.mtimeMs;
    if (modifiedAtMs === undefined) {
      return;
    }
    if (modifiedAtMs !== lastModifiedAtMs) {
      lastModifiedAtMs = modifiedAtMs;
      loadTable();
    }
    clock.confirm(reading);
  };
  return {
    firstOutcome: Promise.resolve(),
    start: async () => {
      upstreams.forEach((upstream) =>
        runtime.dispatch({
          type: 'hostChanged',
          host: { ...upstream, state: 'live', bornAtMs: 0 },
        }),
      );
      runtime.dispatch({ type: 'seedAddressesChanged', addresses: peers });
      poll();
      timer = setInterval(poll, POLL_MS);
    },
    refresh: async () => poll(),
    recordCanaryOutcome: ({ order }) =>
      log.warn({ order }, 'roll-out outcome not recorded: no store configured'),
    // Without a store, guards are kept by the routers that run.
    recordGuard: () => undefined,
    leave: async () => undefined,
    sharedReads: null,
    countCalls: () => 0,
    stop: async () => {
      if (timer !== null) {
        clearInterval(timer);
      }
    },
  };
};
