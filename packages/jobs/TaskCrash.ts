import type { CrashBlame } from './CrashBlame';
import type { EndpointIncarnation } from './EndpointIncarnation';

/** An endpoint that ended while a task ran there. */
export interface TaskCrash {
  readonly endpoint: EndpointIncarnation;
  readonly blame: CrashBlame;
  /** Age of the run when a look last listed it, in milliseconds. */
  readonly ageMs: number;
}
