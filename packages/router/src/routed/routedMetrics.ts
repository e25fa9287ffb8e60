import * as hdr from 'hdr-histogram-js';

/** Counters and latencies of a router's routed requests. */
export interface RoutedMetrics {
  /** Counts a finished request by its outcome and, if it was answered, records its latency in milliseconds. */
  readonly recordEnd: (outcome: string, elapsedMs: number) => void;
  /** Counts a failed attempt by the kind of its failure. */
  readonly countFailure: (failure: string) => void;
  /** Renders all metrics and the given gauges as text, one per line. */
  readonly render: (gauges: Readonly<Record<string, number>>) => string;
}

const PERCENTILES = [50, 95, 99] as const;
/** Largest latency that the histogram distinguishes, in milliseconds; longer ones are clamped. */
const MAX_LATENCY_MS = 120_000;

/** Creates metrics with all counts at zero. */
export const makeRoutedMetrics = (): RoutedMetrics => {
  const outcomes = new Map<string, number>();
  const failures = new Map<string, number>();
  const latencies = hdr.build({
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
  });
  const add = (counts: Map<string, number>, name: string): void => {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  };
  return {
    recordEnd: (outcome, elapsedMs) => {
      add(outcomes, outcome);
      if (outcome === 'answered') {
        latencies.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(elapsedMs))));
      }
    },
    countFailure: (failure) => add(failures, failure),
    render: (gauges) =>
      [
        ...Array.from(outcomes).map(
          ([name, count]) => `jayrock_requests{outcome="${name}"} ${count}`,
        ),
        ...Array.from(failures).map(
          ([name, count]) => `jayrock_attempt_failures{failure="${name}"} ${count}`,
        ),
        ...PERCENTILES.map(
          (percent) =>
            `jayrock_answer_ms{percentile="${percent}"} ${latencies.getValueAtPercentile(percent)}`,
        ),
        ...Object.entries(gauges).map(([name, value]) => `jayrock_${name} ${value}`),
        '',
      ].join('\n'),
  };
};
