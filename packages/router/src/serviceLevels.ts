import type * as core from '@jayrock/core';
import type * as shared from '@jayrock/shared';
import * as hdr from 'hdr-histogram-js';
import type * as pendingRequest from './pendingRequest.js';

/** Width of one bucket of the burn-rate report, in milliseconds. */
const BUCKET_MS = 10_000;
/** Largest number of buckets kept: six hours, the longest window of the report. */
const MAX_BUCKETS = 2_160;
/** Largest latency that a histogram records, in milliseconds; longer ones are clamped to it. */
const MAX_LATENCY_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;

type LevelBucket = shared.serviceLevel.LevelBucket;
type LevelReport = shared.serviceLevel.LevelReport;

interface Series {
  readonly plan: string;
  readonly model: string;
  targets: shared.lists.Targets;
  readonly firstToken: hdr.Histogram;
  readonly interToken: hdr.Histogram;
  buckets: readonly LevelBucket[];
}

/** Service-level measurements by plan and model. */
export interface ServiceLevels {
  /** Records an ended request; exempt outcomes and customers without a plan are not counted. */
  readonly record: (
    state: core.routerState.RouterState,
    pending: pendingRequest.PendingRequest,
    outcome: string,
  ) => void;
  /** Returns the buckets and histograms of every plan and model. */
  readonly report: () => readonly LevelReport[];
}

const makeHistogram = (): hdr.Histogram =>
  hdr.build({
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

const makeSeries = (plan: shared.lists.Plan, model: string): Series => ({
  plan: plan.name,
  model,
  targets: plan.targets,
  firstToken: makeHistogram(),
  interToken: makeHistogram(),
  buckets: [],
});

const makeBucket = (startMs: number): LevelBucket => ({
  startMs,
  total: 0,
  slowFirstToken: 0,
  slowInterToken: 0,
  errors: 0,
  truncated: 0,
});

/** Outcomes that spend no error budget: those caused by the caller and refusals of a stopping router. */
const EXEMPT_OUTCOMES: ReadonlySet<string> = new Set([
  'callerGone',
  'modelNotAllowed',
  'modelUnknown',
  'adapterNotAllowed',
  'serviceNotAllowed',
  'notFound',
  'badRequest',
  'inProgress',
  'mayHaveRun',
  'quarantined',
  'costCeilingExceeded',
  'customerOverShare',
  'routerStopping',
]);

const GOOD_OUTCOMES: ReadonlySet<string> = new Set(['answered', 'replayed']);

const addSample = (series: Series, sample: Omit<LevelBucket, 'startMs'>, nowMs: number): void => {
  const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
  const last = series.buckets.at(-1);
  const isCurrent = last !== undefined && last.startMs === startMs;
  const current = isCurrent ? last : makeBucket(startMs);
  const next: LevelBucket = {
    startMs,
    total: current.total + sample.total,
    slowFirstToken: current.slowFirstToken + sample.slowFirstToken,
    slowInterToken: current.slowInterToken + sample.slowInterToken,
    errors: current.errors + sample.errors,
    truncated: current.truncated + sample.truncated,
  };
  const previous = isCurrent ? series.buckets.slice(0, -1) : series.buckets;
  series.buckets = [...previous, next].slice(-MAX_BUCKETS);
};

const computeInterTokenMs = (pending: pendingRequest.PendingRequest): number =>
  pending.firstTokenAtMs === null || pending.tokensForwarded < 2
    ? 0
    : (pending.lastTokenAtMs - pending.firstTokenAtMs) / (pending.tokensForwarded - 1);

/** Makes an empty set of service-level measurements. */
export const makeServiceLevels = (): ServiceLevels => {
  const seriesByKey = new Map<string, Series>();
  return {
    record: (state, pending, outcome) => {
      const { config } = state;
      const customer = config?.customers.get(pending.customer);
      const plan = config?.plans.get(customer?.plan ?? '');
      if (plan === undefined || EXEMPT_OUTCOMES.has(outcome)) {
        return;
      }
      const model = pending.versionId.split('@')[0] || pending.shape.target;
      const key = `${plan.name}|${model}`;
      const series = seriesByKey.get(key) ?? makeSeries(plan, model);
      series.targets = plan.targets;
      seriesByKey.set(key, series);
      const firstTokenMs =
        pending.firstTokenAtMs === null ? null : pending.firstTokenAtMs - pending.arrivedAtMs;
      const interTokenMs = computeInterTokenMs(pending);
      if (firstTokenMs !== null) {
        series.firstToken.recordValue(Math.min(MAX_LATENCY_MS, firstTokenMs));
        series.interToken.recordValue(Math.min(MAX_LATENCY_MS, Math.round(interTokenMs)));
      }
      const isGood = GOOD_OUTCOMES.has(outcome);
      addSample(
        series,
        {
          total: 1,
          slowFirstToken: Number(firstTokenMs !== null && firstTokenMs > plan.targets.firstTokenMs),
          slowInterToken: Number(interTokenMs > plan.targets.interTokenMs),
          errors: Number(!isGood),
          truncated: Number(!isGood && pending.tokensForwarded > 0 && pending.isSinkBegun),
        },
        Date.now(),
      );
    },
    report: () =>
      Array.from(seriesByKey.values()).map((series) => ({
        plan: series.plan,
        model: series.model,
        targets: series.targets,
        buckets: series.buckets,
        firstToken: hdr.encodeIntoCompressedBase64(series.firstToken),
        interToken: hdr.encodeIntoCompressedBase64(series.interToken),
      })),
  };
};
