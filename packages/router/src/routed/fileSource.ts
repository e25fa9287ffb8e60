import * as fs from 'node:fs';
import * as shared from '@jayrock/shared';
import type * as routeSource from './routeSource.js';

/** What a router without a store is told by its settings. */
export interface FileSourceOptions {
  /** Path of the table of routes. */
  readonly file: string;
  readonly upstreams: readonly shared.settings.RoutedUpstream[];
  readonly peers: readonly string[];
}

/** Time between two looks at the file, in milliseconds; also how often the table is confirmed. */
const LOOK_MS = 500;

/** Makes a source that follows a file on this machine; the file is always in reach. */
export const makeFileSource = (
  { node, log, clock }: routeSource.SourceContext,
  { file, upstreams, peers }: FileSourceOptions,
): routeSource.RouteSource => {
  let timer: NodeJS.Timeout | null = null;
  let lastStamp = -1;
  const adopt = (): void => {
    const table = shared.jsonc.loadJsonc(file, shared.routeTable.routeFileSchema);
    if (table.ok) {
      node.dispatch({ type: 'routesAdopted', table: table.value });
    } else {
      const problems = table.error.map(shared.jsonc.formatProblem);
      log.warn({ problems }, 'routes not adopted, those in force stay');
    }
  };
  const look = (): boolean => {
    const reading = clock.takeReading();
    const stamp = fs.statSync(file, { throwIfNoEntry: false })?.mtimeMs;
    if (stamp === undefined) {
      return false;
    }
    if (stamp !== lastStamp) {
      lastStamp = stamp;
      adopt();
    }
    clock.confirm(reading);
    return true;
  };
  return {
    start: async () => {
      upstreams.forEach((upstream) =>
        node.dispatch({
          type: 'hostChanged',
          host: { ...upstream, state: 'live', bornAtMs: 0 },
        }),
      );
      node.dispatch({ type: 'contactsChanged', addresses: peers });
      look();
      timer = setInterval(look, LOOK_MS);
    },
    refresh: async () => look(),
    recordCanaryOutcome: ({ order }) =>
      log.warn({ order }, 'roll-out has no store to be recorded in'),
    leave: async () => undefined,
    countCalls: () => 0,
    stop: async () => {
      if (timer !== null) {
        clearInterval(timer);
      }
    },
  };
};
