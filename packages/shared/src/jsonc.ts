import * as fs from 'node:fs';
import * as jsonc from 'jsonc-parser';
import type * as zod from 'zod';
import * as outcome from './outcome.js';

/** A problem in a file, with its line and field. */
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

/** Returns the deepest existing node on a path; a missing field has the line of its parent. */
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

/** Lists the top-level fields of JSON with comments; tolerates syntax errors. */
export const listTopLevelFields = (text: string): readonly string[] => {
  const value: unknown = jsonc.parse(text);
  return typeof value === 'object' && value !== null ? Object.keys(value) : [];
};

/** Parses JSON with comments and validates it against a schema; fails with all problems found. */
export const parseJsonc = <T>(
  file: string,
  text: string,
  schema: zod.ZodType<T>,
): outcome.Outcome<T, readonly FileProblem[]> => {
  const errors: jsonc.ParseError[] = [];
  const root = jsonc.parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined) {
    const problems = errors.map((error) => makeSyntaxProblem(file, text, error));
    const noValue = { file, line: 1, field: '(file)', message: 'expected a JSON value' };
    return outcome.makeFailed(problems.length > 0 ? problems : [noValue]);
  }
  const parsed = schema.safeParse(jsonc.getNodeValue(root));
  return parsed.success
    ? outcome.makeOk(parsed.data)
    : outcome.makeFailed(
        parsed.error.issues.map((issue) => makeSchemaProblem(file, text, root, issue)),
      );
};

/** Reads and parses a file of JSON with comments; a read error is returned as a problem. */
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
