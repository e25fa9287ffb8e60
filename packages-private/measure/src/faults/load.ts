import * as shared from '@jayrock/shared';
import * as standIns from '@jayrock/stand-ins';
import * as client from '../client.js';
import * as site from '../site.js';
import type * as fleets from './fleet.js';

/** A request with its result after all tries; times in milliseconds of the wall clock. */
export interface TrackedRequest {
  readonly kind: 'chat' | 'long' | 'find' | 'issue';
  readonly requestId: string;
  readonly prompt: string;
  readonly finalResult: client.CallResult;
  /** Refusals with "not run" of tries that did start the request on an upstream. */
  readonly falseNotRun: number;
  readonly tries: number;
  readonly endedAtMs: number;
  readonly startedAtMs: number;
}

/** A load that runs until it is stopped. */
export interface RunningLoad {
  readonly results: TrackedRequest[];
  readonly stop: () => Promise<readonly TrackedRequest[]>;
}

/** Options of a load. */
export interface LoadOptions {
  /** Time between two requests. */
  readonly intervalMs: number;
  /** Seed of the sequence of kinds. */
  readonly seed: string;
}

const MAX_TRIES = 6;
const HEALTH_INTERVAL_MS = 500;
const RETRY_BACKOFF_MS = 150;
const MAX_TOKENS = 400;

type Kind = TrackedRequest['kind'];

const KIND_BOUNDS: readonly (readonly [number, Kind])[] = [
  [0.5, 'chat'],
  [0.6, 'long'],
  [0.8, 'find'],
  [1, 'issue'],
];

const pickKind = (fraction: number): Kind =>
  KIND_BOUNDS.find(([bound]) => fraction < bound)?.[1] ?? 'chat';

const PATHS: Readonly<Record<Kind, string>> = {
  chat: '/v1/chat/completions',
  long: '/v1/chat/completions',
  find: '/services/numbering-core/gaps',
  issue: '/services/numbering-core/blocks',
};

const makeBody = (kind: Kind, prompt: string): object =>
  kind === 'chat' || kind === 'long'
    ? {
        model: 'clerk-small',
        stream: true,
        max_tokens: MAX_TOKENS,
        messages: [{ role: 'user', content: prompt }],
      }
    : { item: prompt };

const countRuns = (fleet: fleets.Fleet, requestId: string): number =>
  (fleet.runCounts.get(requestId) ?? 0) +
  fleet.engines.filter((engine) => engine.startedRequests.has(requestId)).length;

/** Checks whether a caller would resend: not after "may have run" and not from quarantine. */
const shouldRetry = (result: client.CallResult): boolean =>
  !result.isWhole && result.code !== 'mayHaveRun' && result.code !== 'quarantined';

interface CheckedResult {
  readonly result: client.CallResult;
  /** True if the call was refused as "not run" although it started on an upstream. */
  readonly isFalseNotRun: boolean;
}

/**
 * Sends a request like a caller and resends it with the same idempotency key, until the answer is
 * complete, the result rules out a retry or the tries are used up.
 */
const sendTracked = async (
  fleet: fleets.Fleet,
  pickHost: () => string,
  kind: Kind,
  customer: string,
  prompt: string,
): Promise<TrackedRequest> => {
  const idempotencyKey = shared.requestId.makeRequestId();
  const startedAtMs = Date.now();
  const requestId = `${customer}/${idempotencyKey}`;
  const send = async (): Promise<CheckedResult> => {
    const before = countRuns(fleet, requestId);
    const result = await client.sendCall({
      address: pickHost(),
      customer,
      path: PATHS[kind],
      body: makeBody(kind, prompt),
      idempotencyKey,
      timeoutMs: 20_000,
    });
    const hasRun = countRuns(fleet, requestId) > before;
    return { result, isFalseNotRun: result.notRun === true && hasRun };
  };
  const sendUntilWhole = async (tries: number, falseNotRun: number): Promise<TrackedRequest> => {
    const checked = await send();
    const falseSoFar = falseNotRun + Number(checked.isFalseNotRun);
    if (!shouldRetry(checked.result) || tries >= MAX_TRIES) {
      const endedAtMs = Date.now();
      const finalResult = checked.result;
      return {
        kind,
        requestId,
        prompt,
        finalResult,
        falseNotRun: falseSoFar,
        tries,
        startedAtMs,
        endedAtMs,
      };
    }
    await standIns.control.wait(RETRY_BACKOFF_MS * tries);
    return sendUntilWhole(tries + 1, falseSoFar);
  };
  return sendUntilWhole(1, 0);
};

/** Starts a mixed load over the healthy routers in turn, like the platform's load balancer. */
export const startLoad = (fleet: fleets.Fleet, options: LoadOptions): RunningLoad => {
  const customers = site.loadPlans('ledgerline').customers.map((customer) => customer.name);
  const results: TrackedRequest[] = [];
  const inFlight = new Set<Promise<unknown>>();
  let healthy = fleet.hosts.map((host) => host.callers);
  let count = 0;
  const updateHealth = async (): Promise<void> => {
    const checks = await Promise.all(
      fleet.hosts.map(async (host) => {
        try {
          const response = await fetch(`http://${host.callers}/healthz`, {
            signal: AbortSignal.timeout(HEALTH_INTERVAL_MS),
          });
          return response.status === 200;
        } catch {
          return false;
        }
      }),
    );
    const nowHealthy = fleet.hosts.filter((_, index) => checks[index]).map((host) => host.callers);
    healthy = nowHealthy.length > 0 ? nowHealthy : healthy;
  };
  const pickHost = (): string => {
    count += 1;
    return healthy[count % healthy.length] ?? '';
  };
  const sendNext = (): void => {
    const index = results.length + inFlight.size;
    const fraction = shared.hash.hashToFraction(`${options.seed}|${index}`);
    const kind = pickKind(fraction);
    const customer = customers[index % customers.length] ?? '';
    const prompt = kind === 'long' ? `history ${index} len=300` : `gap ${index}`;
    const sent = sendTracked(fleet, pickHost, kind, customer, prompt).then((tracked) => {
      results.push(tracked);
      inFlight.delete(sent);
    });
    inFlight.add(sent);
  };
  const sends = setInterval(sendNext, options.intervalMs);
  const checks = setInterval(() => {
    updateHealth().catch(() => undefined);
  }, HEALTH_INTERVAL_MS);
  return {
    results,
    stop: async () => {
      clearInterval(sends);
      await Promise.all(inFlight);
      clearInterval(checks);
      return results;
    },
  };
};

/** Checks whether a complete chat answer is the expected one; true for calls of plain services. */
export const hasExpectedAnswer = (tracked: TrackedRequest): boolean =>
  tracked.kind === 'find' ||
  tracked.kind === 'issue' ||
  tracked.finalResult.text ===
    standIns.engine.makeAnswer(tracked.finalResult.versionId, tracked.prompt, MAX_TOKENS);
