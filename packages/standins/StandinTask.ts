import type { ServerResponse } from 'node:http';
import type { Demand } from '../table/Demand';

/** A task that an endpoint stand-in runs. */
export interface StandinTask {
  readonly task: string;
  readonly row: string;
  readonly need: Demand;
  /** Monotonic time when its lease ends, in milliseconds. */
  endsAt: number;
  readonly response: ServerResponse;
  readonly timers: NodeJS.Timeout[];
}
