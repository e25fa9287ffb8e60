import type * as ava from 'ava';
import * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import type * as stores from '@jayrock/stores';
import test from 'ava';
import * as pino from 'pino';
import type * as messages from '../src/peers/messages.js';
import type * as rpcClient from '../src/peers/rpcClient.js';
import * as freshnessClock from '../src/routed/freshnessClock.js';
import * as prefixFeed from '../src/routed/prefixFeed.js';
import * as sharedStore from '../src/routed/sharedStore.js';
import * as routerRuntime from '../src/routerRuntime.js';

/** Time within which news has to be in force, in milliseconds. */
const NEWS_MS = 2_000;
/** Time after which a router whose links are sound again counts as in touch, in milliseconds. */
const STABLE_MS = 3_000;
/** Number of routers from which on a few of them read the store for the others. */
const FLEET = 12;
const ROUTER_COUNT = 40;
/** Bounds of the time for which links are cut, in milliseconds. */
const MIN_CUT_MS = 1.5 * NEWS_MS;
const MAX_CUT_MS = 3.5 * NEWS_MS;
const STEP_MS = 10;

const makeMembers = (routerId: string, peerCount: number): core.memberTable.MemberTable =>
  Array.from({ length: peerCount }, (_, index) => `r${index}`).reduce(
    (table, id) =>
      core.memberTable.mergeUpdate(
        table,
        { id, address: `${id}:1`, zone: 'a', status: 'alive', incarnation: 0 },
        0,
      ),
    core.routerState.makeState({ routerId, zone: 'a', address: 'z:1', ledgerCapacity: 1 }).members,
  );

/** A router whose links to the store and to its readers can be cut. */
interface CutRouter {
  /** Cuts the links for a time, in milliseconds, in which an upstream goes; resolves at its end. */
  readonly cut: (durationMs: number) => Promise<void>;
  /** Resolves once the router knows that the upstream is gone. */
  readonly known: Promise<void>;
  readonly countCalls: () => number;
}

const startCutRouter = (t: ava.ExecutionContext, id: string, peerCount: number): CutRouter => {
  const members = makeMembers(id, peerCount);
  let isCut = false;
  let revision = 5;
  let calls = 0;
  /** Answers a wait for changes; null if the link is cut when it begins or would end. */
  const serveWait = async (
    after: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<stores.prefixStore.PrefixChanges | null> => {
    const isHeard = !isCut;
    const startedAtMs = performance.now();
    const isWithin = (ms: number): boolean => performance.now() - startedAtMs < ms;
    while (isWithin(timeoutMs)) {
      if (isHeard && !isCut && (after < revision || !isWithin(waitMs))) {
        const changes = [{ key: 'servers/u', value: null, revision }];
        return { era: 1, revision, changes: after < revision ? changes : [] };
      }
      // eslint-disable-next-line no-await-in-loop -- each step follows the one before
      await shared.delay.wait(STEP_MS);
    }
    return null;
  };
  const callReader = async (
    _address: string,
    method: string,
    { after, waitMs, isFailing = false }: messages.PeerParams<'waitForPrefix'>,
    timeoutMs: number,
  ): Promise<messages.PeerResult<'waitForPrefix'>> => {
    if (method === 'readPrefix') {
      return null;
    }
    const startedAtMs = performance.now();
    const changes = await serveWait(after, isFailing ? 0 : waitMs, timeoutMs);
    return changes === null
      ? null
      : {
          changes,
          heldMs: performance.now() - startedAtMs,
          ageMs: 0,
          isFailing: false,
          isLarge: false,
        };
  };
  const log = pino.pino({ level: 'silent' });
  const reads = sharedStore.makeSharedStore(
    {
      runtime: { getState: () => ({ members }) } as unknown as routerRuntime.Runtime,
      client: { call: callReader } as unknown as rpcClient.RpcClient,
      log,
      getNewsMs: () => NEWS_MS,
    },
    {
      readPrefix: async () => shared.outcome.makeOk({ era: 1, revision, entries: [] }),
      waitForChanges: async (_: string, after: number, waitMs: number, timeoutMs: number) => {
        calls += 1;
        const changes = await serveWait(after, waitMs, timeoutMs);
        return changes === null
          ? shared.outcome.makeFailed('unknown')
          : shared.outcome.makeOk(changes);
      },
    } as unknown as stores.prefixStore.PrefixStore,
  );
  let resolveKnown: () => void = () => undefined;
  const known = new Promise<void>((resolve) => {
    resolveKnown = resolve;
  });
  const feed = prefixFeed.startPrefixFeed(
    reads.store,
    {
      prefix: sharedStore.ALL_KEYS,
      getWaitMs: () => NEWS_MS,
      clock: freshnessClock.makeFreshnessClock(),
    },
    { handleSnapshot: async () => undefined, handleChange: () => resolveKnown() },
    log,
  );
  t.teardown(feed.stop);
  return {
    cut: async (durationMs) => {
      isCut = true;
      revision += 1;
      await shared.delay.wait(durationMs);
      isCut = false;
    },
    known,
    countCalls: () => calls,
  };
};

Object.entries({ 'with readers': FLEET, alone: 0 }).forEach(([name, peerCount]) => {
  test.serial(
    `a router whose links were cut has dropped what went meanwhile once it is in touch (${name})`,
    async (t) => {
      const routers = Array.from({ length: ROUTER_COUNT }, (_, index) =>
        startCutRouter(t, `z${index}`, peerCount),
      );
      await shared.delay.wait(NEWS_MS);
      const results = await Promise.all(
        routers.map(async ({ cut, known, countCalls }, index) => {
          const cutMs = MIN_CUT_MS + ((MAX_CUT_MS - MIN_CUT_MS) * index) / ROUTER_COUNT;
          const before = countCalls();
          await cut(cutMs);
          const rate = (countCalls() - before) / (cutMs / 1_000);
          const endedAtMs = performance.now();
          await known;
          return { lateMs: performance.now() - endedAtMs, rate };
        }),
      );
      const rate = results.reduce((sum, result) => sum + result.rate, 0) / ROUTER_COUNT;
      t.log(`${rate.toFixed(2)} calls a router and second while cut`);
      // After an outage, removals wait for entries that may be written again.
      const droppedMs = Math.max(...results.map(({ lateMs }) => lateMs)) + prefixFeed.REWRITE_MS;
      t.true(droppedMs <= STABLE_MS, `${Math.round(droppedMs)} ms`);
    },
  );
});
