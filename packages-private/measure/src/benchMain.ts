import * as cac from 'cac';
import * as reducerBench from './bench/reducerBench.js';
import * as streamBench from './bench/streamBench.js';

const IN_FLIGHT_COUNTS = [10, 1_000, 10_000] as const;
const STREAM_COUNTS = [1, 100, 200, 2_000] as const;

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const runReducer = (): void => {
  printLine('reducer: cost of an event, by requests in flight');
  IN_FLIGHT_COUNTS.forEach((inFlight) => {
    const { microseconds, bytes } = reducerBench.measureReducer(inFlight);
    printLine(
      `  ${String(inFlight).padStart(6)} in flight  ${microseconds.toFixed(2)} µs an event  ${Math.round(bytes)} bytes allocated`,
    );
  });
};

const runStreams = async (): Promise<void> => {
  printLine('relay: the router against calling the stand-in directly, in the same run');
  await STREAM_COUNTS.reduce(async (before, streams) => {
    await before;
    const row = await streamBench.measureStreams(streams);
    printLine(
      `  ${String(streams).padStart(5)} streams  first token added p50 ${row.addedFirstMs.p50.toFixed(2)} ms  p99 ${row.addedFirstMs.p99.toFixed(2)} ms` +
        `  direct p50 ${row.direct.p50.toFixed(1)} p99 ${row.direct.p99.toFixed(1)}  routed p50 ${row.routed.p50.toFixed(1)} p99 ${row.routed.p99.toFixed(1)}` +
        `  CPU ${row.cpuMicrosPerToken.toFixed(0)} µs a token  ${(row.bytesPerStream / 1_024).toFixed(0)} KB a stream`,
    );
  }, Promise.resolve());
  const rate = await streamBench.measureThroughput();
  printLine(
    `  one process: ${rate.requestsPerSecond.toFixed(0)} requests/s and ${rate.tokensPerSecond.toFixed(0)} tokens/s, router CPU ${(rate.cpuShare * 100).toFixed(0)} % of a core, not whole ${rate.failed}`,
  );
};

const cli = cac.cac('bench');
cli
  .command('', 'Measure the reducer and the relay')
  .option('--only <part>', 'reducer or relay')
  .action(async (options: { readonly only?: string }) => {
    if (options.only !== 'relay') {
      runReducer();
    }
    if (options.only !== 'reducer') {
      await runStreams();
    }
    process.exit(0);
  });
cli.help();
cli.parse();
