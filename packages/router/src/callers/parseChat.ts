import type * as core from '@jayrock/core';
import * as shared from '@jayrock/shared';
import * as zod from 'zod';

/** Characters counted as one token when the length of a prompt is estimated. */
const CHARACTERS_PER_TOKEN = 4;
/**
 * Leading characters of the first message that are hashed as the prompt's prefix, which engines are
 * likely to have cached.
 */
const PREFIX_CHARACTERS = 512;
/** Limit on the answer's length if the caller sets none, in tokens. */
const DEFAULT_MAX_TOKENS = 1_024;

const messageSchema = zod.object({
  role: zod.enum(['system', 'user', 'assistant', 'tool']),
  content: zod.string(),
});

const chatSchema = zod.object({
  model: zod.string().min(1),
  messages: zod.array(messageSchema).min(1),
  stream: zod.boolean().default(false),
  max_tokens: zod.number().int().positive().max(1_000_000).default(DEFAULT_MAX_TOKENS),
  adapter: zod.string().optional(),
});

/** Body of a chat-completions request. */
export type ChatBody = zod.infer<typeof chatSchema>;

/** A validated chat request. */
export interface ParsedChat {
  readonly body: ChatBody;
  readonly prompt: string;
  readonly shape: core.requestState.RequestShape;
}

const joinPrompt = (body: ChatBody): string =>
  body.messages.map((message) => `${message.role}: ${message.content}`).join('\n');

const makeShape = (body: ChatBody, prompt: string): core.requestState.RequestShape => ({
  kind: 'chat',
  target: body.model,
  adapter: body.adapter ?? null,
  path: '',
  streaming: body.stream,
  tokensIn: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
  maxTokens: body.max_tokens,
  prefix: shared.hash.hashText((body.messages[0]?.content ?? '').slice(0, PREFIX_CHARACTERS)),
  fingerprint: shared.hash.hashDigest(`${body.model}|${body.max_tokens}|${prompt}`),
});

/** Validates the body of a chat request; the error names the first invalid field. */
export const parseChat = (value: unknown): shared.outcome.Outcome<ParsedChat, string> => {
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return shared.outcome.makeFailed(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
  }
  const prompt = joinPrompt(parsed.data);
  return shared.outcome.makeOk({
    body: parsed.data,
    prompt,
    shape: makeShape(parsed.data, prompt),
  });
};
