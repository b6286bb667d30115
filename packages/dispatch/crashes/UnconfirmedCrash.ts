import type { CrashRecord } from './CrashRecord';

/** Crash record that a task gets if an endpoint proves to have crashed, and loses if the endpoint responds again. */
export interface UnconfirmedCrash extends CrashRecord {
  /** Monotonic time before which a response of another incarnation confirms the crash; -Infinity if none does. */
  readonly confirmableUntil: number;
}
