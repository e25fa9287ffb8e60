import * as fs from 'node:fs';
import * as jsonc from 'jsonc-parser';
import type * as zod from 'zod';
import * as outcome from './outcome.js';

/** One problem in a file, at a line and field. */
export interface FileProblem {
  readonly file: string;
  /** Line number, counted from 1. */
  readonly line: number;
  /** Dotted path of the field, or `(file)` for the whole file. */
  readonly field: string;
  readonly message: string;
}

const findLineNumber = (text: string, offset: number): number =>
  text.slice(0, offset).split('\n').length;

/** Formats a problem as `file:line: field: message`. */
export const formatProblem = (problem: FileProblem): string =>
  `${problem.file}:${problem.line}: ${problem.field}: ${problem.message}`;

const makeSyntaxProblem = (file: string, text: string, error: jsonc.ParseError): FileProblem => ({
  file,
  line: findLineNumber(text, error.offset),
  field: '(file)',
  message: `expected valid JSON with comments: ${jsonc.printParseErrorCode(error.error)}`,
});

/** Finds the deepest node that exists on a path, so that a missing field names its parent's line. */
const findNearestNode = (root: jsonc.Node, path: readonly (string | number)[]): jsonc.Node =>
  path.length === 0
    ? root
    : (jsonc.findNodeAtLocation(root, [...path]) ?? findNearestNode(root, path.slice(0, -1)));

const makeSchemaProblem = (
  file: string,
  text: string,
  root: jsonc.Node,
  issue: zod.core.$ZodIssue,
): FileProblem => {
  const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
  return {
    file,
    line: findLineNumber(text, findNearestNode(root, path).offset),
    field: path.length === 0 ? '(file)' : path.join('.'),
    message: issue.message,
  };
};

/** Lists the top-level fields of JSON with comments, as far as it can be read. */
export const listTopLevelFields = (text: string): readonly string[] => {
  const value: unknown = jsonc.parse(text);
  return typeof value === 'object' && value !== null ? Object.keys(value) : [];
};

/** Parses JSON with comments and checks it against a schema. */
export const parseJsonc = <T>(
  file: string,
  text: string,
  schema: zod.ZodType<T>,
): outcome.Outcome<T, readonly FileProblem[]> => {
  const errors: jsonc.ParseError[] = [];
  const root = jsonc.parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined) {
    const problems = errors.map((error) => makeSyntaxProblem(file, text, error));
    const empty = { file, line: 1, field: '(file)', message: 'expected a JSON value' };
    return outcome.makeFailed(problems.length > 0 ? problems : [empty]);
  }
  const parsed = schema.safeParse(jsonc.getNodeValue(root));
  return parsed.success
    ? outcome.makeOk(parsed.data)
    : outcome.makeFailed(
        parsed.error.issues.map((issue) => makeSchemaProblem(file, text, root, issue)),
      );
};

/** Reads and parses a file of JSON with comments. */
export const loadJsonc = <T>(
  file: string,
  schema: zod.ZodType<T>,
): outcome.Outcome<T, readonly FileProblem[]> => {
  try {
    return parseJsonc(file, fs.readFileSync(file, 'utf8'), schema);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return outcome.makeFailed([{ file, line: 1, field: '(file)', message }]);
  }
};
