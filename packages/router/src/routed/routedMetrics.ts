import * as hdr from 'hdr-histogram-js';

/** Counters and latencies of one router's routed requests. */
export interface RoutedMetrics {
  readonly recordEnd: (outcome: string, elapsedMs: number) => void;
  readonly countFailure: (failure: string) => void;
  /** Renders all figures as text, one a line. */
  readonly render: (gauges: Readonly<Record<string, number>>) => string;
}

const PERCENTILES = [50, 95, 99] as const;
const HIGHEST_MS = 120_000;

/** Makes empty metrics. */
export const makeRoutedMetrics = (): RoutedMetrics => {
  const outcomes = new Map<string, number>();
  const failures = new Map<string, number>();
  const answered = hdr.build({
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 2,
  });
  const add = (counts: Map<string, number>, name: string): void => {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  };
  return {
    recordEnd: (outcome, elapsedMs) => {
      add(outcomes, outcome);
      if (outcome === 'answered') {
        answered.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(elapsedMs))));
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
            `jayrock_answer_ms{percentile="${percent}"} ${answered.getValueAtPercentile(percent)}`,
        ),
        ...Object.entries(gauges).map(([name, value]) => `jayrock_${name} ${value}`),
        '',
      ].join('\n'),
  };
};
