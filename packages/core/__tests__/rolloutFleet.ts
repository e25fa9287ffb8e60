import * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import * as routedFixtures from './routedFixtures.js';

/** Interval between the reports of routers to each other, in milliseconds. */
export const REPORT_MS = 400;
/** Sizes of a fleet whose routers all report to each other, and of one in which a few report for all. */
export const FLEET_SIZES = [3, 14];
export const ORDER = { service: 'desk', to: 'v2', periodMs: 20_000, revision: 3 };

/** A router in a fleet; all times are those since the order. */
export interface FleetRouter {
  readonly id: string;
  readonly address: string;
  readonly getState: () => core.routerState.RouterState;
  /** Time on the router's steady clock. */
  readonly getClockMs: (atMs: number) => number;
  readonly send: (
    event: core.events.UnstampedEvent,
    atMs: number,
  ) => readonly core.effects.Effect[];
}

/** Time on a steady clock at the order; zero means "never" in the state. */
const CLOCK_START_MS = 1_000_000;

/** Makes a router that knows the others of its fleet and an upstream of each version. */
export const makeRouter = (
  index: number,
  size: number,
  getStoppedMs: (atMs: number) => number,
): FleetRouter => {
  const others = Array.from({ length: size }, (_, other) => other).filter(
    (other) => other !== index,
  );
  const empty = core.routerState.makeState({
    routerId: `r${index}`,
    zone: 'a',
    address: `r${index}:1`,
    ledgerCapacity: 1_000,
  });
  const members = others.reduce(
    (table, other) =>
      core.memberTable.mergeUpdate(
        table,
        { id: `r${other}`, address: `r${other}:1`, zone: 'a', status: 'alive', incarnation: 0 },
        0,
      ),
    empty.members,
  );
  let state: core.routerState.RouterState = { ...empty, members };
  let count = 0;
  const getClockMs = (atMs: number): number => CLOCK_START_MS + atMs - getStoppedMs(atMs);
  const send: FleetRouter['send'] = (event, atMs) => {
    count += 1;
    const random = shared.hash.hashToFraction(`${index}|${count}`);
    const stamped = { ...event, nowMs: getClockMs(atMs), random } as core.events.Event;
    const result = core.reduce.reduce(state, stamped);
    ({ state } = result);
    return result.effects;
  };
  send({ type: 'routesAdopted', table: routedFixtures.makeTable() }, 0);
  ['v1', 'v2'].forEach((version) =>
    send({ type: 'hostChanged', host: routedFixtures.makeHost(`on-${version}`, { version }) }, 0),
  );
  return { id: `r${index}`, address: `r${index}:1`, getState: () => state, getClockMs, send };
};

/** Sends each router's reports to their receivers, as they are on the wire. */
export const sendReports = (routers: readonly FleetRouter[], atMs: number): void =>
  routers.forEach((router) => {
    core.canaryReports
      .planReports(router.getState(), router.getClockMs(atMs))
      .forEach(({ address, report }) => {
        const received = JSON.parse(JSON.stringify(report)) as typeof report;
        routers
          .filter((receiver) => receiver.address === address)
          .forEach((receiver) =>
            receiver.send({ type: 'canaryReportReceived', ...received }, atMs),
          );
      });
  });

/** Sends the order, with the elapsed time that the router derives from the record. */
export const sendObserved = (router: FleetRouter, atMs: number, elapsedMs: number): void => {
  router.send({ type: 'canaryObserved', order: ORDER, stage: 'running', elapsedMs }, atMs);
};
