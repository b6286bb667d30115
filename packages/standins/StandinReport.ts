import type { WorkerReport } from '../ownership/WorkerReport';

/** What a worker stand-in reports to the platform stand-in. */
export interface StandinReport extends WorkerReport {
  readonly worker: string;
  readonly hall: string;
}
