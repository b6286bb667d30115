import type { ProcessId } from '../common/ProcessId';
import type { ForeignTask } from './ForeignTask';
import { toHolder } from './toHolder';
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
  if (unit.clearAt === undefined || takenAfter < unit.clearAt + context.marginMs) {
    return;
  }
  const foreign = new Map<string, ForeignTask>();
  for (const task of report.tasks) {
    const holder = toHolder(task.task);
    if (holder === context.self) {
      continue;
    }
    const known = unit.foreign.get(task.task);
    const endsAt = known?.endsAt ?? context.now + task.endsWithinMs + context.marginMs;
    foreign.set(task.task, { need: task.need, endsAt, holder });
  }
  unit.foreign = foreign;
  unit.isSettled = true;
};
