import type { WorkerReport } from '../ownership/WorkerReport';

/** Report of a worker stand-in to the platform stand-in. */
export interface StandinReport extends WorkerReport {
  readonly worker: string;
  readonly hall: string;
}
