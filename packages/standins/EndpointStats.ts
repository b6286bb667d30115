import type { Demand } from '../table/Demand';

/** Statistics of an endpoint stand-in, for tests. */
export interface EndpointStats {
  readonly worker: string;
  /** Maximum demand of concurrently running tasks, by resource. */
  readonly peak: Demand;
  readonly peakConnections: number;
  readonly capacity: Demand;
  readonly runningCount: number;
  /** Number of starts of each request, by `ROW REQUEST`. */
  readonly starts: Readonly<Record<string, number>>;
  /** Ids of the running tasks that are replicas of standing rows, whose replicas are always kept running. */
  readonly runningSeats: readonly string[];
}
