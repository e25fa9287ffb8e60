/** Bundles the router into one file: `node build.mjs OUTFILE`. */
import * as path from 'node:path';
import * as process from 'node:process';
import * as esbuild from 'esbuild';

const directory = import.meta.dirname;
const schemaCompiler = path.join(directory, 'schemaCompiler.cjs');

await esbuild.build({
  entryPoints: [path.join(directory, '../src/main.ts')],
  outfile: process.argv[2],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
  // A router that starts is charged for all code that it loads.
  alias: {
    undici: path.join(directory, 'undici.cjs'),
    'hdr-histogram-js': path.join(directory, 'histograms.cjs'),
    '@fastify/ajv-compiler': schemaCompiler,
    '@fastify/fast-json-stringify-compiler': schemaCompiler,
  },
  banner: {
    js: "import { createRequire as jayrockRequire } from 'node:module'; const require = jayrockRequire(import.meta.url);",
  },
});
