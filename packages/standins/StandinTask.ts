import type { ServerResponse } from 'node:http';
import type { Demand } from '../table/Demand';

/** Task that an endpoint stand-in runs. */
export interface StandinTask {
  readonly taskId: string;
  readonly row: string;
  readonly demand: Demand;
  /** Monotonic time at which its lease ends, in milliseconds. */
  leaseEndsAt: number;
  readonly response: ServerResponse;
  readonly timers: NodeJS.Timeout[];
}
