import type { Demand } from '../table/Demand';

/** What an endpoint stand-in has witnessed. */
export interface EndpointRecord {
  readonly worker: string;
  /** Highest sums ever running together. */
  readonly peak: Demand;
  readonly peakConnections: number;
  readonly capacity: Demand;
  readonly runningCount: number;
  /** How often each request was started, by `ROW REQUEST`. */
  readonly starts: Readonly<Record<string, number>>;
  /** Names of standing replicas that were ever running twice at once here. */
  readonly runningSeats: readonly string[];
}
