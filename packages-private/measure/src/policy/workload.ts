import type * as core from '@jayrock/core';
import type * as rng from './rng.js';

/** What the callers of a routed class expect; times in milliseconds. */
export interface RoutedTerms {
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** A class of requests in a site's workload. */
export interface RequestClass {
  readonly name: string;
  /** Share of this class in all requests. */
  readonly share: number;
  readonly tokensIn: number;
  readonly tokensOut: number;
  /** Share of these requests that only the most expensive model answers well. */
  readonly hardShare: number;
  readonly prefix: number;
  readonly streaming: boolean;
  /** Terms of a routed request, or undefined for a plan request. */
  readonly terms?: RoutedTerms;
}

/** A request with properties that the router cannot observe: its difficulty and answer length. */
export interface WorkloadRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly requestClass: RequestClass;
  readonly tokensOut: number;
  readonly isHard: boolean;
  readonly atMs: number;
  readonly shape: core.requestState.RequestShape;
  /** Behaviour of a routed request's caller: `abusive` ones return at once and often, `leaving` ones wait for a short time only. */
  readonly caller?: 'patient' | 'abusive' | 'leaving';
}

/** Demand in requests a second, by time in milliseconds. */
export type DemandCurve = (atMs: number) => number;

/** Requests of Ledgerline's clerks: gap explanations, audit summaries and reconciliations. */
export const LEDGERLINE_CLASSES: readonly RequestClass[] = [
  {
    name: 'gap',
    share: 0.55,
    tokensIn: 160,
    tokensOut: 40,
    hardShare: 0.05,
    prefix: 11,
    streaming: true,
  },
  {
    name: 'audit',
    share: 0.3,
    tokensIn: 800,
    tokensOut: 140,
    hardShare: 0.5,
    prefix: 12,
    streaming: true,
  },
  {
    name: 'reconcile',
    share: 0.15,
    tokensIn: 2_000,
    tokensOut: 600,
    hardShare: 0.8,
    prefix: 13,
    streaming: false,
  },
];

/** Requests of Cremona's callers: ticking faults, part names and long diagnoses. */
export const CREMONA_CLASSES: readonly RequestClass[] = [
  {
    name: 'ticking',
    share: 0.4,
    tokensIn: 80,
    tokensOut: 50,
    hardShare: 0.1,
    prefix: 21,
    streaming: true,
  },
  {
    name: 'part',
    share: 0.35,
    tokensIn: 40,
    tokensOut: 12,
    hardShare: 0.02,
    prefix: 22,
    streaming: true,
  },
  {
    name: 'diagnosis',
    share: 0.25,
    tokensIn: 1_500,
    tokensOut: 700,
    hardShare: 0.9,
    prefix: 23,
    streaming: false,
  },
];

/** Share of each customer in the requests; a few customers are large, as at both sites. */
const CUSTOMER_SHARES = [0.25, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.05, 0.03, 0.02] as const;

/** Names of the customers in every workload. */
export const CUSTOMERS = CUSTOMER_SHARES.map((_, index) => `customer-${index}`);

/** Chooses an item with a probability proportional to its share; `fraction` is uniform in [0, 1). */
const chooseByShare = <T>(
  items: readonly T[],
  getShare: (item: T, index: number) => number,
  fraction: number,
): T => {
  const total = items.reduce((sum, item, index) => sum + getShare(item, index), 0);
  let remaining = fraction * total;
  const found = items.find((item, index) => {
    remaining -= getShare(item, index);
    return remaining < 0;
  });
  return found ?? (items.at(-1) as T);
};

const makeShape = (
  requestClass: RequestClass,
  requestId: string,
): core.requestState.RequestShape => ({
  kind: 'chat',
  target: 'auto',
  adapter: null,
  path: '',
  streaming: requestClass.streaming,
  tokensIn: requestClass.tokensIn,
  maxTokens: 2_000,
  prefix: requestClass.prefix,
  fingerprint: requestId,
});

/** Draws a request from a mix of classes. */
const drawRequest = (
  classes: readonly RequestClass[],
  draws: rng.Rng,
  index: number,
  atMs: number,
): WorkloadRequest => {
  const requestClass = chooseByShare(classes, (item) => item.share, draws.next());
  const requestId = `r${index}`;
  return {
    requestId,
    customer: chooseByShare(CUSTOMERS, (_, rank) => CUSTOMER_SHARES[rank] ?? 0, draws.next()),
    requestClass,
    tokensOut: Math.max(2, Math.round(requestClass.tokensOut * (0.5 + draws.next()))),
    isHard: draws.next() < requestClass.hardShare,
    atMs,
    shape: makeShape(requestClass, requestId),
  };
};

/**
 * Draws the requests that arrive before `untilMs`: a Poisson process of `maxRate` requests a second,
 * thinned to the demand curve.
 */
export const drawWorkload = (
  classes: readonly RequestClass[],
  demand: DemandCurve,
  maxRate: number,
  untilMs: number,
  draws: rng.Rng,
): readonly WorkloadRequest[] => {
  const drawn: WorkloadRequest[] = [];
  for (let atMs = 0; atMs < untilMs; atMs += draws.nextExponential(1_000 / maxRate)) {
    if (draws.next() < demand(atMs) / maxRate) {
      drawn.push(drawRequest(classes, draws, drawn.length, atMs));
    }
  }
  return drawn;
};
