import test from 'ava';
import * as fc from 'fast-check';
import type * as shared from '@jayrock/shared';
import * as core from '../src/index.js';
import * as fixtures from './fixtures.js';
import * as fakeShell from './fakeShell.js';

/** One action of a random history; `pick` selects one of the targets that exist at its time. */
interface Action {
  readonly kind:
    | 'arrive'
    | 'call'
    | 'first'
    | 'end'
    | 'fail'
    | 'repeat'
    | 'witness'
    | 'claim'
    | 'rate'
    | 'leave'
    | 'config'
    | 'hosts'
    | 'wait'
    | 'evidence';
  readonly pick: number;
  readonly flag: boolean;
}

const histories = fc.array(
  fc.record({
    kind: fc.constantFrom<Action['kind']>(
      'arrive',
      'arrive',
      'arrive',
      'call',
      'call',
      'first',
      'first',
      'end',
      'end',
      'fail',
      'repeat',
      'witness',
      'witness',
      'claim',
      'claim',
      'rate',
      'leave',
      'config',
      'hosts',
      'wait',
      'evidence',
    ),
    pick: fc.nat(1_000),
    flag: fc.boolean(),
  }),
  { minLength: 20, maxLength: 160 },
);

const FAILURES: readonly core.events.AttemptFailure[] = [
  'unreachable',
  'crashed',
  'silent',
  'failed',
  'busy',
  'garbage',
  'incomplete',
];
const CUSTOMERS = ['ada', 'ben', 'cleo'] as const;
const STEP_MS = 40;

const pickOne = <T>(items: readonly T[], pick: number): T | undefined =>
  items[pick % Math.max(1, items.length)];

/** Makes a configuration in which `pick` selects the states of the versions. */
const makeVariant = (pick: number, generation: number): shared.lists.Configuration => {
  const base = fixtures.makeConfiguration({}, generation);
  const states = ['stable', 'candidate', 'withdrawn'] as const;
  const models = base.models.models.map((model, index) => ({
    ...model,
    versions: model.versions.map((version, place) => ({
      ...version,
      state: place === 0 && pick % 3 === index ? ('withdrawn' as const) : version.state,
    })),
  }));
  const candidateState = states[pick % states.length] ?? 'stable';
  const changed = models.map((model) => ({
    ...model,
    versions: model.versions.map((version) =>
      version.name === 'v2' ? { ...version, state: candidateState } : version,
    ),
  }));
  return { ...base, models: { ...base.models, models: changed } };
};

interface HistoryResult {
  readonly shell: fakeShell.FakeShell;
  readonly customers: ReadonlyMap<string, string>;
  readonly configurations: ReadonlyMap<number, shared.lists.Configuration>;
  readonly unsent: ReadonlySet<string>;
  readonly unrepeatable: ReadonlySet<string>;
}

const runHistory = (
  history: readonly Action[],
  policy = core.policy.DEFAULT_POLICY,
): HistoryResult => {
  const initial = fixtures.makeConfiguration();
  const driver = fixtures.makeReadyDriver(policy, initial);
  const shell = fakeShell.makeFakeShell(driver);
  const customers = new Map<string, string>();
  const configurations = new Map([[1, initial]]);
  const unsent = new Set<string>();
  const unrepeatable = new Set<string>();
  const pastEvents: core.events.UnstampedEvent[] = [];
  let nowMs = 0;
  const send = (event: core.events.UnstampedEvent): void => {
    pastEvents.push(event);
    shell.send(event, nowMs);
  };
  const arrive = (shape: core.requestState.RequestShape, pick: number): void => {
    const requestId = `q${customers.size}`;
    const customer = CUSTOMERS[Math.floor(pick / 3) % CUSTOMERS.length] ?? 'ada';
    customers.set(requestId, customer);
    if (shape.path === '/issue') {
      unrepeatable.add(requestId);
    }
    send({ type: 'requestArrived', requestId, customer, shape, pin: null, session: null });
  };
  const handlers: Readonly<Record<Action['kind'], (action: Action) => void>> = {
    arrive: ({ pick, flag }) =>
      arrive(
        fixtures.makeShape({
          target: ['small', 'large', 'auto'][pick % 3] ?? 'auto',
          streaming: flag,
          tokensIn: pick * 3,
          fingerprint: `f${pick % 20}`,
        }),
        pick,
      ),
    call: ({ pick, flag }) =>
      arrive(
        fixtures.makeShape({ kind: 'call', target: 'orders', path: flag ? '/issue' : '/find' }),
        pick,
      ),
    first: ({ pick }) => {
      const attempt = pickOne(shell.getLive(), pick);
      if (attempt !== undefined) {
        send({
          type: 'attemptFirstToken',
          requestId: attempt.requestId,
          attemptId: attempt.attemptId,
        });
      }
    },
    end: ({ pick }) => {
      const attempt = pickOne(shell.getLive(), pick);
      if (attempt !== undefined) {
        const { requestId, attemptId } = attempt;
        send({ type: 'attemptEnded', requestId, attemptId, tokensOut: pick, isBilled: true });
      }
    },
    fail: ({ pick, flag }) => {
      const attempt = pickOne(shell.getLive(), pick);
      const failure = FAILURES[pick % FAILURES.length] ?? 'failed';
      if (attempt !== undefined) {
        const isUnsent = failure === 'unreachable' && flag;
        if (isUnsent) {
          unsent.add(`${attempt.requestId}/${attempt.attemptId}`);
        }
        const { requestId, attemptId } = attempt;
        send({
          type: 'attemptFailed',
          requestId,
          attemptId,
          failure,
          isUnsent,
          tokensForwarded: 0,
        });
      }
    },
    // Sends an earlier event again, as a late or duplicate one.
    repeat: ({ pick }) => {
      const pastEvent = pickOne(
        pastEvents.filter(
          (event) => event.type !== 'requestArrived' && event.type !== 'claimResolved',
        ),
        pick,
      );
      if (pastEvent !== undefined) {
        shell.send(pastEvent, nowMs);
      }
    },
    witness: ({ pick }) => {
      const requestId = pickOne(shell.getAwaitedWitnesses(), pick);
      if (requestId !== undefined) {
        send({ type: 'entryWitnessed', requestId });
      }
    },
    claim: ({ pick }) => {
      const requestId = pickOne(shell.getAwaitedClaims(), pick);
      const results = ['granted', 'granted', 'mayHaveRun', 'unavailable', 'answered'] as const;
      if (requestId !== undefined) {
        const result = results[pick % results.length] ?? 'granted';
        send({ type: 'claimResolved', requestId, result });
      }
    },
    rate: ({ pick }) => {
      const requestId = pickOne(shell.getHeldAnswers(), pick);
      if (requestId !== undefined) {
        send({ type: 'answerRated', requestId, score: [0, 1, null][pick % 3] ?? null });
      }
    },
    leave: ({ pick }) => {
      const requestId = pickOne(Array.from(customers.keys()), pick);
      if (requestId !== undefined) {
        send({ type: 'callerGone', requestId });
      }
    },
    config: ({ pick }) => {
      const generation = configurations.size + 1;
      const configuration = makeVariant(pick, generation);
      configurations.set(generation, configuration);
      send({ type: 'configAdopted', configuration });
    },
    hosts: ({ pick }) => {
      const hosts = fixtures.makeHosts().map((host, index) => ({
        ...host,
        state: index === pick % 6 ? ('leaving' as const) : host.state,
      }));
      send({ type: 'hostsListed', hosts });
    },
    wait: ({ pick }) => {
      nowMs += pick * 3;
      shell.takeTimers(nowMs).forEach((timer) => send({ type: 'timerFired', timer }));
      send({ type: 'ticked' });
    },
    evidence: ({ pick }) =>
      send({
        type: 'crashEvidenceReceived',
        fingerprint: `f${pick % 20}`,
        crashes: [`elsewhere-${pick % 2}`],
      }),
  };
  history.forEach((action) => {
    nowMs += STEP_MS;
    handlers[action.kind](action);
  });
  return { shell, customers, configurations, unsent, unrepeatable };
};

/** Completes all open requests without further failures. */
const finishAll = ({ shell }: HistoryResult): void => {
  let nowMs = 10_000_000;
  for (let round = 0; round < 400 && shell.driver.getState().requests.size > 0; round += 1) {
    nowMs += 1_000;
    const at = nowMs;
    shell
      .getAwaitedClaims()
      .forEach((requestId) =>
        shell.send({ type: 'claimResolved', requestId, result: 'granted' }, at),
      );
    shell
      .getLive()
      .forEach(({ requestId, attemptId }) =>
        shell.send(
          { type: 'attemptEnded', requestId, attemptId, tokensOut: 1, isBilled: true },
          at,
        ),
      );
    shell
      .getHeldAnswers()
      .forEach((requestId) => shell.send({ type: 'answerRated', requestId, score: null }, at));
    shell
      .getAwaitedWitnesses()
      .forEach((requestId) => shell.send({ type: 'entryWitnessed', requestId }, at));
    shell.takeTimers(at).forEach((timer) => shell.send({ type: 'timerFired', timer }, at));
    shell.send({ type: 'ticked' }, at);
  }
};

const checkHistories = (name: string, check: (run: HistoryResult) => boolean): void => {
  test(name, (t) => {
    fc.assert(
      fc.property(histories, (history) => check(runHistory(history))),
      { seed: 20_261_204, numRuns: 150 },
    );
    t.pass();
  });
};

checkHistories(
  'a request runs only on models that its plan allows',
  ({ shell, customers, configurations }) =>
    shell.starts
      .filter((start) => start.versionId.includes('@'))
      .every((start) => {
        const lists = configurations.get(start.generation);
        const customer = lists?.plans.customers.find(
          (one) => one.name === customers.get(start.requestId),
        );
        const plan = lists?.plans.plans.find((one) => one.name === customer?.plan);
        return plan?.models.includes(core.versionId.getModelName(start.versionId)) === true;
      }),
);

checkHistories('a withdrawn version starts no new requests', ({ shell, configurations }) =>
  shell.starts
    .filter((start) => start.versionId.includes('@') && start.resumeFrom === 0)
    .every((start) => {
      const [model, version] = start.versionId.split('@');
      const lists = configurations.get(start.generation);
      const listedVersion = lists?.models.models
        .find((one) => one.name === model)
        ?.versions.find((one) => one.name === version);
      return listedVersion !== undefined && listedVersion.state !== 'withdrawn';
    }),
);

checkHistories('a non-idempotent request is sent at most once', (run) => {
  finishAll(run);
  return Array.from(run.unrepeatable).every(
    (requestId) =>
      run.shell.starts.filter(
        (start) =>
          start.requestId === requestId && !run.unsent.has(`${requestId}/${start.attemptId}`),
      ).length <= 1,
  );
});

checkHistories(
  'a refusal reports "not run" only if nothing can have been sent',
  ({ shell, unsent }) =>
    Array.from(shell.endings.entries()).every(([requestId, effects]) =>
      effects.every(
        (effect) =>
          effect.type !== 'refuse' ||
          !effect.notRun ||
          shell.starts.every(
            (start) =>
              start.requestId !== requestId || unsent.has(`${requestId}/${start.attemptId}`),
          ),
      ),
    ),
);

checkHistories('every request ends exactly once and leaves no load or queue entry', (run) => {
  finishAll(run);
  const state = run.shell.driver.getState();
  const isIdle = state.upstreams.every(
    (upstream) =>
      upstream.inFlight === 0 &&
      upstream.longInFlight === 0 &&
      upstream.suspectInFlight === 0 &&
      upstream.overdue === 0,
  );
  const isEmpty = state.services.every(
    (service) => service.attemptsInFlight === 0 && service.queue.size === 0,
  );
  const endsOnce = Array.from(run.customers.keys()).every(
    (requestId) => run.shell.endings.get(requestId)?.length === 1,
  );
  return state.requests.size === 0 && isIdle && isEmpty && endsOnce;
});

checkHistories('hedges and retries stay within their budgets', ({ shell }) => {
  const perRequest = new Map<string, number>();
  shell.starts.forEach((start) =>
    perRequest.set(start.requestId, (perRequest.get(start.requestId) ?? 0) + 1),
  );
  const state = shell.driver.getState();
  return (
    state.services.every((service) => service.hedgeBudget.tokens >= 0) &&
    state.retryBudgets.every((budget) => budget.tokens >= 0)
  );
});

checkHistories('an answer is forwarded only from an attempt of the same request', ({ shell }) =>
  shell.driver
    .getEffects()
    .filter((effect) => effect.type === 'forwardAttempt')
    .every((effect) =>
      shell.starts.some(
        (start) => start.requestId === effect.requestId && start.attemptId === effect.attemptId,
      ),
    ),
);

checkHistories('a leaving upstream gets no new requests', ({ shell }) =>
  shell.starts.every((start) => start.hostState === 'live'),
);
