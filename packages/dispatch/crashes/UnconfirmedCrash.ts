import type { CrashRecord } from './CrashRecord';

/** What a task is charged with once an endpoint that has not been heard since its lease ran out is known to have crashed. */
export interface UnconfirmedCrash extends CrashRecord {
  /** Monotonic time from which nothing has been known. */
  readonly since: number;
}
