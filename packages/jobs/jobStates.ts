import type { JobState } from './JobState';

const STATES: ReadonlySet<string> = new Set<JobState>([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);

/** States of jobs as texts of the log. */
export const jobStates = {
  /** Reads a state; undefined when the text is none. */
  parseState: (text: string): JobState | undefined => (STATES.has(text) ? (text as JobState) : undefined),
} as const;
