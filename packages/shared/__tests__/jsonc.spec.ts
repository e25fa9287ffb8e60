import test from 'ava';
import * as zod from 'zod';
import * as jsonc from '../src/jsonc.js';

const schema = zod.strictObject({
  zone: zod.string(),
  limits: zod.strictObject({ size: zod.number() }),
});

test('an invalid field is reported with its file, line and path', (t) => {
  const text = '// settings\n{\n  "zone": "mid-a",\n  "limits": { "size": "big" }\n}\n';
  const parsed = jsonc.parseJsonc('router.jsonc', text, schema);
  t.false(parsed.ok);
  const problem = parsed.ok ? undefined : parsed.error[0];
  t.is(problem?.line, 4);
  t.is(problem?.field, 'limits.size');
  t.regex(
    problem === undefined ? '' : jsonc.formatProblem(problem),
    /^router\.jsonc:4: limits\.size: /,
  );
});

test('a syntax error is reported with its line', (t) => {
  const parsed = jsonc.parseJsonc('router.jsonc', '{\n  "zone": \n}', schema);
  t.false(parsed.ok);
  t.is(parsed.ok ? 0 : parsed.error[0]?.line, 3);
});

test('comments and trailing commas are accepted', (t) => {
  const text = '{ "zone": "a", /* note */ "limits": { "size": 1, }, }';
  t.true(jsonc.parseJsonc('x', text, schema).ok);
});
