import type { CrashBlame } from './CrashBlame';
import type { EndpointId } from './EndpointId';

/** An endpoint that ended while a task ran there. */
export interface TaskCrash {
  readonly endpoint: EndpointId;
  readonly blame: CrashBlame;
  /** Age of the run when a look last listed it, in milliseconds. */
  readonly ageMs: number;
}
