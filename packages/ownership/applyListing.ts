import type { ProcessId } from '../common/ProcessId';
import type { ForeignTask } from './ForeignTask';
import { toHolder } from './toHolder';
import type { UnitState } from './UnitState';
import type { WorkerReport } from './WorkerReport';

interface ListingContext {
  readonly self: ProcessId;
  readonly now: number;
  readonly marginMs: number;
}

/** Takes a complete list of what runs on a unit that is ours: what it does not name of others does not run there. */
export const applyListing = (
  unit: UnitState,
  tasks: WorkerReport['tasks'],
  context: ListingContext,
): void => {
  const foreign = new Map<string, ForeignTask>();
  for (const task of tasks) {
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
