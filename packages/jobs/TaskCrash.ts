import type { CrashBlame } from './CrashBlame';
import type { EndpointIncarnation } from './EndpointIncarnation';

/** Crash of an endpoint while a task ran there. Its properties are also the fields of a log line. */
export interface TaskCrash {
  readonly endpoint: EndpointIncarnation;
  readonly blame: CrashBlame;
  /** Age of the run when a poll last listed it, in milliseconds. */
  readonly ageMs: number;
}
