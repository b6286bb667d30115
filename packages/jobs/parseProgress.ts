import { z } from 'zod';
import { parseJson } from '../common/parseJson';
import { toId } from '../common/toId';
import type { EndpointIncarnation } from './EndpointIncarnation';
import type { JobDefinition } from './JobDefinition';
import { JobProgress } from './JobProgress';

const wholeSchema = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

const crashRowsSchema = z
  .array(
    z.tuple([
      wholeSchema,
      wholeSchema,
      wholeSchema,
      z.array(
        z.tuple([z.string(), z.enum(['sole', 'shared', 'inherited', 'present', 'unproved']), z.number()]),
      ),
    ]),
  )
  .default([]);

const progressSchema = z.object({
  ending: z.enum(['completed', 'failed', 'cancelled']).optional(),
  endedAtMs: z.number(),
  tasks: z.array(
    z.tuple([
      wholeSchema,
      wholeSchema,
      wholeSchema,
      z.enum(['w', 'p', 'd']),
      wholeSchema,
      wholeSchema,
      z.string(),
      z.string(),
    ]),
  ),
  /** Confirmed crashes by task. Separate from `tasks` for compatibility with versions that neither read nor write them. */
  crashes: crashRowsSchema,
  /** Unconfirmed crashes by task. */
  doubts: crashRowsSchema,
  /** Runs of gangs in which a member has failed while others have not ended. Not given by earlier versions. */
  failedGangRuns: z.array(z.tuple([wholeSchema, wholeSchema, wholeSchema])).default([]),
});

/** Parses the log record of a job's progress; undefined when it is malformed. */
export const parseProgress = (definition: JobDefinition, text: string): JobProgress | undefined => {
  const parsed = progressSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return undefined;
  }
  const progress = new JobProgress(definition);
  for (const [repetition, step, index, phase, runNumber, failureCount, endpoint, checkpoint] of parsed.data
    .tasks) {
    const address = { repetition, step, index };
    progress.recordRunPlaced(address, runNumber, toId<EndpointIncarnation>(endpoint));
    if (phase !== 'p') {
      progress.recordRunEnd(address, runNumber, phase === 'd' ? 'done' : 'interrupted', checkpoint);
    } else {
      progress.recordCheckpoint(address, checkpoint);
    }
    progress.setFailureCount(address, failureCount);
  }
  for (const [repetition, step, index, rows] of parsed.data.crashes) {
    for (const [endpoint, blame, ageMs] of rows) {
      progress.recordCrash(
        { repetition, step, index },
        { endpoint: toId<EndpointIncarnation>(endpoint), blame, ageMs },
      );
    }
  }
  for (const [repetition, step, index, rows] of parsed.data.doubts) {
    for (const [endpoint, blame, ageMs] of rows) {
      progress.recordUnconfirmedCrash(
        { repetition, step, index },
        { endpoint: toId<EndpointIncarnation>(endpoint), blame, ageMs },
      );
    }
  }
  for (const [repetition, step, run] of parsed.data.failedGangRuns) {
    progress.recordFailedGangRun(repetition, step, run);
  }
  if (parsed.data.ending !== undefined) {
    progress.recordJobEnd(parsed.data.ending, parsed.data.endedAtMs);
  }
  return progress;
};
