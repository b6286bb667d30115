import { readFileSync } from 'node:fs';
import { z } from 'zod';
import type { Result } from '../common/Result';
import { formatError } from '../common/formatError';
import type { Trace } from './Trace';
import type { TraceLine } from './TraceLine';

interface TraceProblem {
  readonly line: number;
  readonly expected: string;
}

const headerSchema = z.object({
  kind: z.literal('header'),
  seed: z.number(),
  shareCount: z.int().min(1),
  shareIndex: z.int().min(0).default(0),
  entries: z.int().min(1).default(1),
  slow: z.record(z.string(), z.number().min(0)).default({}),
});

const digestSchema = z.object({ kind: z.literal('digest'), digest: z.string() });

const KINDS = ['request', 'finish', 'unplaced', 'cancel', 'workers', 'table', 'tick'] as const;
const lineSchema = z.object({
  at: z.number(),
  entry: z.int().min(0).default(0),
  event: z.looseObject({ kind: z.enum(KINDS) }),
  runMs: z.number().min(0).optional(),
  isLoss: z.boolean().optional(),
});

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** JSON has no Infinity: a deadline that is null means none. */
const toEvent = (line: z.infer<typeof lineSchema>): TraceLine => {
  const event = line.event as { kind: string; request?: { deadlineAt: number | null } };
  if (event.kind === 'request' && event.request?.deadlineAt === null) {
    event.request.deadlineAt = Infinity;
  }
  return line as unknown as TraceLine;
};

/** Reads a trace: JSON lines, a header first. The error names the line. */
export const readTrace = (file: string): Result<Trace, TraceProblem> => {
  let texts: string[];
  try {
    texts = readFileSync(file, 'utf8').trimEnd().split('\n');
  } catch (thrown) {
    return { ok: false, error: { line: 0, expected: `a readable file: ${formatError(thrown)}` } };
  }
  const header = headerSchema.safeParse(parseJson(texts[0] ?? ''));
  if (!header.success) {
    return { ok: false, error: { line: 1, expected: 'a header with kind, seed and shareCount' } };
  }
  const lines: TraceLine[] = [];
  const last = digestSchema.safeParse(parseJson(texts.at(-1) ?? ''));
  const eventTexts = texts.slice(1, last.success ? -1 : undefined);
  for (const [index, text] of eventTexts.entries()) {
    const line = lineSchema.safeParse(parseJson(text));
    if (!line.success) {
      const issue = line.error.issues[0];
      return {
        ok: false,
        error: { line: index + 2, expected: `an event: ${issue?.path.join('.')} ${issue?.message}` },
      };
    }
    lines.push(toEvent(line.data));
  }
  return { ok: true, value: { ...header.data, recordedDigest: last.data?.digest, lines } };
};
