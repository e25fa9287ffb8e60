import Table from 'cli-table3';

/** Exit codes of the command line. */
export const EXIT_CODE = {
  ok: 0,
  /** The command ran but failed: an invalid file or a rejected change. */
  failed: 1,
  /** The command line is invalid. */
  usage: 2,
  /** A concurrent change of another operator was applied first. */
  conflict: 3,
  /** The key-value service or a router could not be reached. */
  unreachable: 4,
} as const;

/** Prints a line on standard output. */
export const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Prints a line on standard error. */
export const printError = (text: string): void => {
  process.stderr.write(`${text}\n`);
};

/** Prints a value as JSON. */
export const printJson = (value: unknown): void => printLine(JSON.stringify(value, null, 2));

/** Renders rows with column headings as a table for a terminal. */
export const renderTable = (
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string => {
  const table = new Table({ head: [...headings], style: { head: [], border: [] } });
  rows.forEach((row) => table.push([...row]));
  return table.toString();
};
