import type { JobState } from './JobState';

const JOB_STATES: ReadonlySet<string> = new Set<JobState>([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);

/** Job states as values of log records. */
export const jobStates = {
  /** Parses a state; undefined for any other text. */
  parseState: (text: string): JobState | undefined => (JOB_STATES.has(text) ? (text as JobState) : undefined),
} as const;
