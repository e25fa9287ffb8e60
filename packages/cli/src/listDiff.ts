import microdiff from 'microdiff';

interface Named {
  readonly name: string;
}

const isNamed = (value: unknown): value is Named =>
  typeof value === 'object' && value !== null && 'name' in value;

/** Converts arrays of named items to maps by name, so that reordering is not a difference. */
const toMaps = (value: unknown): unknown => {
  if (Array.isArray(value) && value.length > 0 && value.every(isNamed)) {
    return Object.fromEntries(value.map((item: Named) => [item.name, toMaps(item)]));
  }
  if (Array.isArray(value)) {
    return value.map(toMaps);
  }
  if (typeof value === 'object' && value !== null) {
    return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, toMaps(item)]));
  }
  return value;
};

const MARKS = { CREATE: '+', REMOVE: '-', CHANGE: '~' } as const;

/** Formats the differences between two lists, one line per added, removed or changed value. */
export const diffLists = (before: unknown, after: unknown): readonly string[] =>
  microdiff(
    toMaps(before) as Record<string, unknown>,
    toMaps(after) as Record<string, unknown>,
  ).map((change) => {
    const path = change.path.join('.');
    const previous = 'oldValue' in change ? JSON.stringify(change.oldValue) : '';
    const next = 'value' in change ? JSON.stringify(change.value) : '';
    const values = change.type === 'CHANGE' ? `${previous} -> ${next}` : `${previous}${next}`;
    return `${MARKS[change.type]} ${path}: ${values}`;
  });
