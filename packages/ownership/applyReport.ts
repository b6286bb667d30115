import type { ProcessId } from '../common/ProcessId';
import { applyListing } from './applyListing';
import type { UnitState } from './UnitState';
import type { WorkerReport } from './WorkerReport';

interface ReportContext {
  readonly self: ProcessId;
  /** Local time when the report was asked for. */
  readonly askedAt: number;
  readonly now: number;
  readonly marginMs: number;
}

/**
 * Takes a worker's report for a unit that is ours. It counts only when it was taken after everybody else had stopped
 * placing there, plus the margin for a request under way: then what it does not list is not running.
 */
export const applyReport = (unit: UnitState, report: WorkerReport, context: ReportContext): void => {
  const takenAfter = context.askedAt - report.ageMs;
  const isLater = unit.clearAt !== undefined && takenAfter >= unit.clearAt + context.marginMs;
  // An older report may lack what arrived before the endpoint shut earlier owners out and listed it.
  if (isLater && takenAfter >= unit.listedAt) {
    applyListing(unit, report.tasks, context);
  }
};
