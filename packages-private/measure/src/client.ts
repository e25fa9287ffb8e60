import * as shared from '@jayrock/shared';
import * as undici from 'undici';

/** Result of a call as its caller received it; the status is 0 if the connection broke. */
export interface CallResult {
  readonly requestId: string;
  readonly status: number;
  /** True if the complete answer arrived, a stream with its end mark. */
  readonly isWhole: boolean;
  readonly text: string;
  readonly versionId: string;
  readonly code: string | null;
  readonly notRun: boolean | null;
  readonly firstByteMs: number;
  readonly elapsedMs: number;
  readonly sessionToken: string | null;
}

/** A request to send. */
export interface Call {
  readonly address: string;
  readonly customer: string;
  readonly path: string;
  readonly body: object;
  readonly idempotencyKey?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 60_000;
const agent = new undici.Agent({ connections: 4_096, headersTimeout: 0, bodyTimeout: 0 });

const readProblem = (
  text: string,
): { readonly code: string | null; readonly notRun: boolean | null } => {
  try {
    const value = JSON.parse(text) as { code?: string; notRun?: boolean };
    return { code: value.code ?? null, notRun: value.notRun ?? null };
  } catch {
    return { code: null, notRun: null };
  }
};

const readStreamText = (body: string): { readonly text: string; readonly isWhole: boolean } => {
  const lines = body.split('\n').filter((line) => line.startsWith('data: '));
  const isWhole = lines.at(-1) === 'data: [DONE]';
  const text = lines
    .filter((line) => line.includes('"choices"'))
    .map((line) => {
      const chunk = JSON.parse(line.slice(6)) as { choices: { delta: { content?: string } }[] };
      return chunk.choices[0]?.delta.content ?? '';
    })
    .join('');
  return { text, isWhole };
};

const readAnswer = (
  body: string,
  isStream: boolean,
): { readonly text: string; readonly isWhole: boolean } => {
  if (isStream) {
    return readStreamText(body);
  }
  try {
    const value = JSON.parse(body) as { choices?: { message: { content: string } }[] };
    return { text: value.choices?.[0]?.message.content ?? body, isWhole: true };
  } catch {
    return { text: body, isWhole: false };
  }
};

const makeBrokenResult = (
  call: Call,
  requestId: string,
  startedAtMs: number,
  code: string,
): CallResult => ({
  requestId,
  status: 0,
  isWhole: false,
  text: '',
  versionId: '',
  code,
  notRun: null,
  firstByteMs: Infinity,
  elapsedMs: Date.now() - startedAtMs,
  sessionToken: call.headers?.['x-jayrock-session'] ?? null,
});

/** Sends a request and reads its whole response; does not throw if the connection breaks. */
export const sendCall = async (call: Call): Promise<CallResult> => {
  const key = call.idempotencyKey ?? shared.requestId.makeRequestId();
  const requestId = `${call.customer}/${key}`;
  const startedAtMs = Date.now();
  try {
    const response = await undici.request(`http://${call.address}${call.path}`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer demo-${call.customer}`,
        'idempotency-key': key,
        ...call.headers,
      },
      body: JSON.stringify(call.body),
      signal: AbortSignal.timeout(call.timeoutMs ?? DEFAULT_TIMEOUT_MS),
    });
    const firstByteMs = Date.now() - startedAtMs;
    const body = await response.body.text();
    const isStream = String(response.headers['content-type']).includes('event-stream');
    const answer = readAnswer(body, isStream);
    const problem =
      response.statusCode === 200 && answer.isWhole
        ? { code: null, notRun: null }
        : readProblem(isStream ? (body.split('event: error\ndata: ')[1] ?? '') : body);
    return {
      requestId,
      status: response.statusCode,
      isWhole: response.statusCode < 400 && answer.isWhole,
      text: answer.text,
      versionId: String(response.headers['x-jayrock-version'] ?? ''),
      ...problem,
      firstByteMs,
      elapsedMs: Date.now() - startedAtMs,
      sessionToken: (response.headers['x-jayrock-session'] as string | undefined) ?? null,
    };
  } catch (error) {
    return makeBrokenResult(
      call,
      requestId,
      startedAtMs,
      error instanceof Error ? error.name : 'error',
    );
  }
};
