import { z } from 'zod';
import { parseJson } from '../common/parseJson';
import { toId } from '../common/toId';
import type { EndpointIncarnation } from './EndpointIncarnation';
import type { JobDefinition } from './JobDefinition';
import { JobProgress } from './JobProgress';
import type { TaskAddress } from './TaskAddress';

const naturalSchema = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

const crashRowsSchema = z
  .array(
    z.tuple([
      naturalSchema,
      naturalSchema,
      naturalSchema,
      z.array(
        z.tuple([z.string(), z.enum(['sole', 'shared', 'inherited', 'present', 'unproved']), z.number()]),
      ),
    ]),
  )
  .default([]);

const progressSchema = z.object({
  ending: z.enum(['completed', 'failed', 'cancelled']).optional(),
  endedAtMs: z.number(),
  /** True if the tasks are in the records of parts, and `ending` says nothing. */
  isDivided: z.boolean().default(false),
  tasks: z.array(
    z.tuple([
      naturalSchema,
      naturalSchema,
      naturalSchema,
      z.enum(['w', 'p', 'd']),
      naturalSchema,
      naturalSchema,
      z.string(),
      z.string(),
    ]),
  ),
  /** Confirmed crashes by task. Separate from `tasks` for compatibility with versions that neither read nor write them. */
  crashes: crashRowsSchema,
  /** Unconfirmed crashes by task. */
  doubts: crashRowsSchema,
  /** Runs of gangs in which a member has failed while others have not ended. Not given by earlier versions. */
  failedGangRuns: z.array(z.tuple([naturalSchema, naturalSchema, naturalSchema])).default([]),
});

type ParsedProgress = z.infer<typeof progressSchema>;

interface ProgressRecords {
  /** Text of the record of the job; undefined when there is none. */
  readonly text: string | undefined;
  /** Texts of the records of its parts, by number. */
  readonly parts?: ReadonlyMap<number, string>;
  /** Called for each malformed record, with its part or, for that of the job, undefined. Its tasks are as the other records say. */
  readonly handleMalformed?: (part: number | undefined) => void;
}

/** Applies the tasks of a record for which `isApplied` returns true. */
const applyTasks = (
  progress: JobProgress,
  parsed: ParsedProgress,
  isApplied: (address: TaskAddress) => boolean,
): void => {
  for (const [
    repetition,
    step,
    index,
    phase,
    runNumber,
    failureCount,
    endpoint,
    checkpoint,
  ] of parsed.tasks) {
    const address = { repetition, step, index };
    if (!isApplied(address)) {
      continue;
    }
    progress.recordRunPlaced(address, runNumber, toId<EndpointIncarnation>(endpoint));
    if (phase !== 'p') {
      progress.recordRunEnd(address, runNumber, phase === 'd' ? 'done' : 'interrupted', checkpoint);
    } else {
      progress.recordCheckpoint(address, checkpoint);
    }
    progress.setFailureCount(address, failureCount);
  }
  for (const [repetition, step, index, rows] of parsed.crashes) {
    for (const [endpoint, blame, ageMs] of rows) {
      const crash = { endpoint: toId<EndpointIncarnation>(endpoint), blame, ageMs };
      if (isApplied({ repetition, step, index })) {
        progress.recordCrash({ repetition, step, index }, crash);
      }
    }
  }
  for (const [repetition, step, index, rows] of parsed.doubts) {
    for (const [endpoint, blame, ageMs] of rows) {
      const crash = { endpoint: toId<EndpointIncarnation>(endpoint), blame, ageMs };
      if (isApplied({ repetition, step, index })) {
        progress.recordUnconfirmedCrash({ repetition, step, index }, crash);
      }
    }
  }
  for (const [repetition, step, run] of parsed.failedGangRuns) {
    if (isApplied({ repetition, step, index: 0 })) {
      progress.recordFailedGangRun(repetition, step, run);
    }
  }
};

/** Completes each gang with a member that is done: the end of one stands for all, and those of other parts may not have been written. */
const applyGangEnds = (definition: JobDefinition, progress: JobProgress): void => {
  for (const [step, { isGang }] of definition.steps.entries()) {
    for (let repetition = 0; isGang && repetition < definition.times; repetition += 1) {
      if (progress.listTasks(repetition, step).some(({ phase }) => phase === 'done')) {
        progress.recordGangDone(repetition, step);
      }
    }
  }
};

/**
 * Parses the log records of a job's progress; undefined when the only one is malformed. Its tasks are those of the parts and, where there is no part,
 * those of the record of the job, which may be older.
 */
export const parseProgress = (
  definition: JobDefinition,
  { text, parts = new Map(), handleMalformed }: ProgressRecords,
): JobProgress | undefined => {
  const parsed = text === undefined ? undefined : progressSchema.safeParse(parseJson(text));
  if (parsed?.success === false) {
    handleMalformed?.(undefined);
    if (parts.size === 0) {
      return undefined;
    }
  }
  const progress = new JobProgress(definition);
  const whole = parsed?.data;
  const isEnded = whole?.ending !== undefined && !whole.isDivided;
  const readParts = new Map<number, ParsedProgress>();
  for (const [part, partText] of isEnded ? [] : parts) {
    const parsedPart = progressSchema.safeParse(parseJson(partText));
    if (parsedPart.success) {
      readParts.set(part, parsedPart.data);
    } else {
      handleMalformed?.(part);
    }
  }
  const numbering = progress.getNumbering();
  if (whole !== undefined) {
    applyTasks(progress, whole, (address) => !readParts.has(numbering.getPart(address)));
  }
  for (const [part, parsedPart] of readParts) {
    applyTasks(progress, parsedPart, (address) => numbering.getPart(address) === part);
  }
  if (parts.size > 0 && !isEnded) {
    applyGangEnds(definition, progress);
  }
  if (isEnded) {
    progress.recordJobEnd(whole.ending!, whole.endedAtMs);
  }
  const progressParts = progress.getParts();
  [...parts.keys()].forEach((part) => progressParts.recordWrittenPart(part));
  if (whole?.isDivided === true) {
    progressParts.setForm('parts');
  } else if (parts.size > 0) {
    progressParts.setForm('dividing');
  }
  return progress;
};
