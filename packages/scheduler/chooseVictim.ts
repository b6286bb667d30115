import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import type { Demand } from '../table/Demand';
import { SCHEDULER } from './constants';
import { demandMath } from './demandMath';
import type { RowState } from './RowState';
import type { Task } from './Task';
import type { WorkerBooks } from './WorkerBooks';

interface VictimQuestion {
  readonly rows: ReadonlyMap<RowName, RowState>;
  readonly tasks: ReadonlyMap<RequestId, Task>;
  readonly books: WorkerBooks;
  /** Demand of the task that needs room. */
  readonly need: Demand;
}

const isEnough = (question: VictimQuestion, task: Task): boolean => {
  if (task.isYielding || !question.books.isPlaceable(task.worker)) {
    return false;
  }
  const room = demandMath.toSum(question.books.readRoom(task.worker), task.need);
  return demandMath.toFitCount(room, question.need) > 0;
};

/**
 * Chooses one preemptible task whose stop alone makes enough room: the one that has run the shortest,
 * among the first that are looked at, so that the least work is done again.
 */
export const chooseVictim = (question: VictimQuestion): Task | undefined => {
  let best: Task | undefined;
  let scanned = 0;
  for (const state of question.rows.values()) {
    if (!state.row.preemptible) {
      continue;
    }
    for (const id of state.running) {
      const task = question.tasks.get(id);
      scanned += 1;
      if (
        task !== undefined &&
        isEnough(question, task) &&
        (best === undefined || task.startedAt > best.startedAt)
      ) {
        best = task;
      }
      if (scanned >= SCHEDULER.preemptionScan) {
        return best;
      }
    }
  }
  return best;
};
