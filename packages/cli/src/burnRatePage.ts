import * as vega from 'vega';
import * as vegaLite from 'vega-lite';
import * as burnRate from './burnRate.js';

const CHART_WIDTH = 720;
const CHART_HEIGHT = 220;
const PERCENTILES = [50, 75, 90, 95, 99, 99.9] as const;

const LEVEL_COLOR = {
  field: 'level',
  type: 'nominal',
  title: 'plan / model',
  legend: { labelLimit: 300 },
} as const;

const renderChart = async (spec: vegaLite.TopLevelSpec): Promise<string> => {
  const compiled = vegaLite.compile(spec).spec;
  const view = new vega.View(vega.parse(compiled), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
};

const makeSpec = (
  title: string,
  values: readonly object[],
  encoding: object,
): vegaLite.TopLevelSpec => ({
  title,
  width: CHART_WIDTH,
  height: CHART_HEIGHT,
  data: { values: [...values] },
  mark: { type: 'line', point: true },
  encoding,
});

const formatLevel = (level: burnRate.MergedLevel): string => `${level.plan} / ${level.model}`;

const renderBurnRateChart = (
  levels: readonly burnRate.MergedLevel[],
  objective: burnRate.Objective,
  title: string,
): Promise<string> =>
  renderChart(
    makeSpec(
      title,
      levels.flatMap((level) =>
        level.buckets.map((bucket) => ({
          time: bucket.startMs,
          burn: burnRate.computeBurnRate(level, objective, [bucket]),
          level: formatLevel(level),
        })),
      ),
      {
        x: { field: 'time', type: 'temporal', title: 'time' },
        y: {
          field: 'burn',
          type: 'quantitative',
          title: 'burn rate (1 = error budget used up exactly)',
          scale: { domainMin: 0, nice: true },
        },
        color: LEVEL_COLOR,
      },
    ),
  );

const renderLatencyChart = (levels: readonly burnRate.MergedLevel[]): Promise<string> =>
  renderChart(
    makeSpec(
      'Time to first token',
      levels.flatMap((level) =>
        PERCENTILES.map((percentile) => ({
          percentile: String(percentile),
          ms: level.firstToken.getValueAtPercentile(percentile),
          level: formatLevel(level),
        })),
      ),
      {
        x: {
          field: 'percentile',
          type: 'ordinal',
          title: 'percentile',
          sort: PERCENTILES.map(String),
        },
        y: { field: 'ms', type: 'quantitative', title: 'milliseconds', scale: { type: 'symlog' } },
        color: LEVEL_COLOR,
      },
    ),
  );

const escapeHtml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const renderRow = (level: burnRate.MergedLevel, row: burnRate.BurnRateRow): string => {
  const cells = [
    formatLevel(level),
    row.objective,
    row.pair,
    row.short.toFixed(2),
    row.long.toFixed(2),
  ];
  const attribute = row.isAlerting ? ' class="alert"' : '';
  return `<tr${attribute}>${cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`;
};

const STYLE = `body{font-family:sans-serif;margin:2rem;max-width:60rem}
table{border-collapse:collapse;margin-bottom:2rem}
td,th{border:1px solid #ccc;padding:.3rem .6rem;text-align:left}
tr.alert td{background:#fdd}`;

/** Renders the burn rates and latencies of service levels as one HTML page with charts. */
export const renderBurnRatePage = async (
  levels: readonly burnRate.MergedLevel[],
  nowMs: number,
): Promise<string> => {
  const charts = await Promise.all([
    renderBurnRateChart(levels, 'availability', 'Burn rate of availability'),
    renderBurnRateChart(levels, 'firstToken', 'Burn rate of time to first token'),
    renderBurnRateChart(levels, 'interToken', 'Burn rate of time between tokens'),
    renderLatencyChart(levels),
  ]);
  const rows = levels.flatMap((level) =>
    burnRate.listBurnRates(level, nowMs).map((row) => renderRow(level, row)),
  );
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title><style>${STYLE}</style></head>
<body>
<h1>Service-level burn</h1>
<p>${new Date(nowMs).toISOString()}. A burn rate of 1 uses up the error budget exactly. A row
is highlighted if its short and its long window both reach the threshold of the pair.</p>
<table><tr><th>plan / model</th><th>objective</th><th>windows</th><th>short</th><th>long</th></tr>
${rows.join('\n')}
</table>
${charts.join('\n')}
</body>
</html>
`;
};
