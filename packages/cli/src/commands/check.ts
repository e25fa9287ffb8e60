import * as fs from 'node:fs';
import * as platform from '@jayrock/platform';
import * as shared from '@jayrock/shared';
import type * as zod from 'zod';
import * as output from '../output.js';

interface FileKind {
  readonly name: string;
  /** Top-level field that identifies a file of this kind. */
  readonly identifyingField: string;
  readonly schema: zod.ZodType;
}

const KINDS: readonly FileKind[] = [
  {
    name: 'settings',
    identifyingField: 'platform',
    schema: platform.deploymentSettings.settingsSchema,
  },
  {
    name: 'table of routes',
    identifyingField: 'routes',
    schema: shared.routeTable.routeFileSchema,
  },
  { name: 'plans list', identifyingField: 'plans', schema: shared.lists.plansListSchema },
  { name: 'models list', identifyingField: 'models', schema: shared.lists.modelsListSchema },
];

const readText = (file: string): string => {
  try {
    return fs.readFileSync(file, 'utf8');
  } catch {
    return '';
  }
};

const detectKind = (text: string): FileKind | undefined => {
  const fields = shared.jsonc.listTopLevelFields(text);
  return KINDS.find((kind) => fields.includes(kind.identifyingField));
};

interface CheckResult {
  readonly file: string;
  readonly kind: string;
  readonly problems: readonly shared.jsonc.FileProblem[];
}

const checkFile = (file: string): CheckResult => {
  const text = readText(file);
  const kind = detectKind(text);
  if (kind === undefined) {
    const message =
      text === ''
        ? 'cannot be read'
        : 'expected settings, a table of routes, a plans list or a models list';
    return { file, kind: 'unknown', problems: [{ file, line: 1, field: '(file)', message }] };
  }
  const parsed = shared.jsonc.parseJsonc(file, text, kind.schema);
  return { file, kind: kind.name, problems: parsed.ok ? [] : parsed.error };
};

/** Validates files, prints each problem with file, line and field, and returns the exit code. */
export const runCheck = (files: readonly string[], isJson: boolean): number => {
  const results = files.map(checkFile);
  if (isJson) {
    output.printJson(results);
  } else {
    results.forEach(({ file, kind, problems }) => {
      if (problems.length === 0) {
        output.printLine(`${file}: valid ${kind}`);
      }
      problems.forEach((problem) => output.printError(shared.jsonc.formatProblem(problem)));
    });
  }
  return results.every(({ problems }) => problems.length === 0)
    ? output.EXIT_CODE.ok
    : output.EXIT_CODE.failed;
};
