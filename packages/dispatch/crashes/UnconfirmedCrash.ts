import type { CrashRecord } from './CrashRecord';

/** Crash record that a task gets if an endpoint that was unreachable when its lease expired proves to have crashed. */
export interface UnconfirmedCrash extends CrashRecord {
  /**
   * Monotonic time at which the expiry of the lease was noticed, or the record was recovered; -Infinity when another incarnation's response must not
   * confirm the crash.
   */
  readonly since: number;
}
