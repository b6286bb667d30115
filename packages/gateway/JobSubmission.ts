import type { JobStep } from '../jobs/JobStep';

/** What a caller hands in, checked and in the product's own form. */
export interface JobSubmission {
  readonly spec: string;
  readonly steps: readonly JobStep[];
  readonly times: number;
  readonly firstRunMs: number;
  readonly intervalMs: number;
}
