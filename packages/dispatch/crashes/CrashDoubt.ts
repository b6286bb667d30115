import type { CrashCharge } from './CrashCharge';

/** What a task is charged with once an endpoint that has not been heard since its lease ran out is known to have crashed. */
export interface CrashDoubt extends CrashCharge {
  /** Monotonic time from which nothing has been known. */
  readonly since: number;
}
