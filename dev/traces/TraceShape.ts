import type { Demand } from '../../packages/table/Demand';
import type { Row } from '../../packages/table/Row';

/** How requests of one row arrive. */
interface Arrivals {
  readonly row: string;
  /** Requests a second at a time of the trace (milliseconds). */
  readonly ratePerSecond: (at: number) => number;
  /** Most requests a second ever; thinning draws below it. */
  readonly maxRatePerSecond: number;
  /** Mean run time in milliseconds; run times are log-normal. */
  readonly meanRunMs: number;
  readonly deadlineMs: number;
  /** Team of a request by a random number below 1; the row's own without it. */
  readonly chooseTeam?: (pick: number) => string;
}

/** What a generated trace is made from. */
export interface TraceShape {
  readonly name: string;
  /** What it plays, in one sentence. */
  readonly about: string;
  readonly seed: number;
  readonly lengthMs: number;
  readonly entries: number;
  readonly workers: number;
  readonly capacity: Demand;
  readonly rows: readonly Row[];
  readonly arrivals: readonly Arrivals[];
  /** Which entry box gets a request, by a random number below 1. */
  readonly chooseEntry?: (pick: number) => number;
  readonly slow?: Readonly<Record<string, number>>;
  /** A rack that is lost for a while. */
  readonly loss?: { readonly at: number; readonly until: number; readonly workers: readonly number[] };
  /** Requests that stand in the queue from the start. */
  readonly backlog?: readonly { readonly row: string; readonly count: number; readonly meanRunMs: number; readonly deadlineMs: number }[];
}
