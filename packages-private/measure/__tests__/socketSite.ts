import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as stores from '@jayrock/stores';
import * as router from '@jayrock/router';
import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as client from '../src/client.js';

/** A router on loopback in front of two engines and one plain service. */
export interface SocketSite {
  readonly address: string;
  readonly peers: string;
  readonly running: router.startRouter.RunningRouter;
  readonly engines: readonly standIns.engine.Engine[];
  readonly plain: standIns.plainService.PlainService;
  readonly setModels: (models: shared.lists.ModelsList) => Promise<void>;
  readonly readLedger: () => Promise<readonly shared.ledgerEntry.LedgerEntry[]>;
  readonly send: (body: object, change?: Partial<client.Call>) => Promise<client.CallResult>;
  readonly close: () => Promise<void>;
}

const PORT = 25_000;
const SMALL_BODY_BYTES = 20_000;

/** Makes the models list of a socket site. */
export const makeModels = (
  change: Partial<shared.lists.ModelsList> = {},
): shared.lists.ModelsList =>
  shared.lists.modelsListSchema.parse({
    services: [
      { name: 'pool', kind: 'engines' },
      {
        name: 'orders',
        kind: 'plain',
        routes: [{ path: '/issue', repeatable: false, costMicros: 5 }],
      },
    ],
    models: ['small', 'large', 'hidden'].map((name, index) => ({
      name,
      service: 'pool',
      costPerThousandTokensMicros: 100 * (index + 1),
      versions: [
        { name: 'v1', state: 'stable' },
        { name: 'v2', state: 'stable' },
      ],
    })),
    ...change,
  });

const makePlans = (): shared.lists.PlansList =>
  shared.lists.plansListSchema.parse({
    plans: [{ name: 'both', models: ['small', 'large'], services: ['orders'] }],
    customers: ['ada', 'ben'].map((name) => ({
      name,
      plan: 'both',
      keyHash: shared.hash.hashDigest(`demo-${name}`),
    })),
  });

const makeSettings = (
  ip: string,
  upstreams: readonly { readonly id: string; readonly address: string; readonly service: string }[],
  maxBodyBytes: number,
): shared.settings.Settings =>
  shared.settings.settingsSchema.parse({
    zone: 'a',
    callers: `${ip}:${PORT}`,
    peers: `${ip}:${PORT + 1}`,
    status: `${ip}:${PORT + 2}`,
    peerSecret: 'shared-secret-of-the-tests',
    platform: {
      kind: 'embedded',
      plansFile: 'plans.jsonc',
      modelsFile: 'models.jsonc',
      upstreams: upstreams.map((upstream) => ({ ...upstream, zone: 'a' })),
    },
    limits: {
      maxBodyBytes,
      headersTimeoutMs: 300,
      silentStreamMs: 400,
      firstByteTimeoutMs: 1_000,
      maxLedgerEntries: 1_000,
    },
    logLevel: 'silent',
  });

/**
 * Starts a site on its own loopback address; another upstream may take the place of the plain service's. Throws if the
 * settings are invalid.
 */
export const startSite = async (
  ip: string,
  plainAddress?: string,
  maxBodyBytes = SMALL_BODY_BYTES,
): Promise<SocketSite> => {
  const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'jayrock-site-'));
  const writeLists = (models: shared.lists.ModelsList): void => {
    fs.writeFileSync(path.join(dir, 'models.jsonc'), JSON.stringify(models));
    fs.writeFileSync(path.join(dir, 'plans.jsonc'), JSON.stringify(makePlans()));
  };
  writeLists(makeModels());
  const loaded = ['small', 'large', 'hidden'].flatMap((name) => [`${name}@v1`, `${name}@v2`]);
  const engines = await Promise.all(
    ['engine-1', 'engine-2'].map((id) =>
      standIns.engine.startEngine({
        id,
        slots: 8,
        loaded,
        msPerToken: 5,
        msPerThousandPromptTokens: 1,
      }),
    ),
  );
  const plain = await standIns.plainService.startPlainService({ id: 'orders-1', workMs: 1 });
  const settings = makeSettings(
    ip,
    [
      ...engines.map(({ id, address }) => ({ id, address, service: 'pool' })),
      { id: plain.id, address: plainAddress ?? plain.address, service: 'orders' },
    ],
    maxBodyBytes,
  );
  const started = await router.startRouter.startRouter(
    settings,
    settings.platform as router.openPlatform.OwnPlatform,
    dir,
  );
  if (!started.ok) {
    throw new Error(started.error.map(shared.jsonc.formatProblem).join('\n'));
  }
  const running = started.value;
  return {
    address: settings.callers,
    peers: settings.peers,
    running,
    engines,
    plain,
    setModels: async (models) => {
      await stores.configEdits.editOnce(
        running.platform.store,
        stores.configEdits.makeListEdit(({ plans }) => shared.outcome.makeOk({ plans, models })),
      );
      const stored = await stores.configStore.readHead(running.platform.store);
      const generation = stored.ok ? stored.value.head?.generation : undefined;
      await standIns.control.waitUntil(
        () => running.runtime.getState().config?.generation === generation,
      );
    },
    readLedger: async () => {
      await standIns.control.waitUntil(() => running.runtime.getState().ledger.pending.size === 0);
      const found = await running.platform.store.list('ledger/', 'ledger');
      return found.ok
        ? found.value.flatMap((row) => JSON.parse(row.value) as shared.ledgerEntry.LedgerEntry[])
        : [];
    },
    send: (body, change = {}) =>
      client.sendCall({
        address: settings.callers,
        customer: 'ada',
        path: '/v1/chat/completions',
        body,
        ...change,
      }),
    close: async () => {
      await running.stop();
      await Promise.all([...engines, plain].map((standIn) => standIn.close()));
    },
  };
};

/** Makes the body of a chat request. */
export const makeChat = (prompt: string, change: object = {}): object => ({
  model: 'small',
  stream: true,
  max_tokens: 200,
  messages: [{ role: 'user', content: prompt }],
  ...change,
});
