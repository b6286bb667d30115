import type { Demand } from '../table/Demand';

/** One task on its way to an endpoint. */
export interface Dispatch {
  /** Id of the task at the worker: `PROCESS/...`. */
  readonly task: string;
  readonly row: string;
  readonly callerRequest: string;
  readonly need: Demand;
  readonly timeLimitMs: number;
  /** Monotonic time by which the worker has ended the task, in milliseconds; a renewed lease moves it. */
  readonly readEndsAt: () => number;
  readonly body: Buffer;
  readonly headers: Readonly<Record<string, string>>;
  /** Asked directly before the bytes are written. */
  readonly hasRight: () => boolean;
}
